// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package poison detects what crashes the endpoints that answer it, also known as queries of
// death, and quarantines it: a request, or a part of prompts that several requests hold.
//
// Such a Subject is identified by a Fingerprint; that of a request is shared by its repeats. A
// Detector collects the crashes under each subject, as observed by this process or reported by
// others. A subject under which several endpoints crashed is a suspect; Judge quarantines it once
// its crashes are unlikely to be chance and no other quarantined subject explains them. A whole
// answer clears a suspect. The verdict on a part takes more evidence, as many requests hold it:
// see limits. The resulting Verdict is exchanged between processes and the store: of two verdicts
// on a subject, the one with the higher Round wins.
//
// The package reads no clock, takes no lock and does no I/O: callers pass the time and
// serialise the calls.
package poison
