// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package usage counts the requests of workspaces by windows of true time: at each router, and
// summed over a fleet from the reports that routers send one another.
//
// Counts only grow, and when reports are merged the larger count wins, as in a grow-only counter.
// Late, duplicated and lost reports therefore do no harm.
package usage
