// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package config

// Err is a sentinel of this package.
type Err string

// Error returns the text of the sentinel.
func (e Err) Error() string { return string(e) }

// Errors of this package.
const (
	ErrSpan     Err = "a length of time such as 30s, 1.5h or 200ms is allowed"
	ErrRevision Err = "config: the revision would go back"
	ErrMissing  Err = "config: the head names a node that is not at hand"
	ErrCorrupt  Err = "config: a node does not match its hash"
)
