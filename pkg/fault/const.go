// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fault

// Const is a sentinel error that is a constant, for the errors that a package
// keeps to itself. What callers are told is a Kind.
type Const string

// Error returns the text of the sentinel.
func (c Const) Error() string { return string(c) }
