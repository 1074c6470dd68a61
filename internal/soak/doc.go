// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package soak runs randomised soak tests. Callers send requests to a fleet of real processes
// (internal/rig) while faults, drawn from a seed, are injected singly and in pairs.
//
// At the end Run ends all faults and compares the answers that callers received with the runs
// that the fake endpoints executed and with the bill lines. A request that may not be repeated
// must have run at most once, one that was answered whole exactly once, and one that was
// always reported as not run never. Each whole answer must have a bill line.
package soak
