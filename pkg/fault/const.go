// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fault

// Const is a constant sentinel error, for errors that pass between packages
// of a process. Errors that are returned to callers are of type Kind or Error.
type Const string

// Error returns the text of the sentinel.
func (c Const) Error() string { return string(c) }
