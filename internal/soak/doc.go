// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package soak runs randomised soak tests. Callers send requests to a fleet of real processes
// (internal/rig) while faults, drawn from a seed, are injected singly and in pairs.
//
// Run runs one soak test as its Options say. At the end it ends all faults and compares the
// answers that callers received with the runs that the fake endpoints executed and with the
// bill lines. A request that may not be repeated must have run at most once: exactly once if it
// was answered whole, and never if it was always reported as not run. Each whole answer must
// have a bill line, unless an entry and a guard were killed before they can be sure to have
// written it.
package soak
