// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package fault holds the closed list of error kinds that traildrift answers
// with, and the one table that maps each kind to an answer.
//
// A Kind is itself an error, so it serves as a sentinel constant. An Error
// adds what is known about the request: whether it ran, and when the caller
// may come back.
package fault
