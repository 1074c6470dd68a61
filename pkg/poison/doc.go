// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package poison detects requests that crash the endpoints which run them, also known as
// queries of death, and quarantines them.
//
// A request is identified by a Fingerprint, which its repeats share. A Detector collects the
// crashes under each request, as observed by this process or reported by others. A request
// under which several endpoints crashed is a suspect; Judge quarantines it once its crashes
// are unlikely to be chance and no other quarantined request explains them. The resulting
// Verdict is exchanged between processes and the store: of two verdicts on a request, the one
// with the higher Round wins.
//
// The package reads no clock, takes no lock and does no I/O: callers pass the time and
// serialise the calls.
package poison
