// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package roll holds the states of roll-outs of versions. It is pure: a step
// takes the board and the time and returns the next board with what must be
// done. The board is one object at the platform and every step one conditional
// update of it, so any process may continue an interrupted roll-out and of two
// that do only one succeeds.
package roll
