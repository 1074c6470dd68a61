// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package fault holds the closed list of error kinds that traildrift returns
// to callers, and the table that maps each kind to an HTTP status, to the
// retries it allows and to advice for the caller. docs/ERRORS.md repeats the
// table.
//
// A Kind is itself an error and serves as a constant sentinel. An Error adds
// what is known about the request: whether it ran, and when the caller may
// retry.
package fault
