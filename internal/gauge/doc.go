// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package gauge measures real processes of traildrift on one machine: the latency that entry
// and guard add to a call (Path), the cost of requests that may not be repeated (Claims), the
// effect of failures on callers (Recovery), and the slopes from which docs/CAPACITY.md is
// computed (Capacity).
//
// Each of them starts fleets of its own (internal/rig), prints its results and closes the
// fleets. Every measurement is bounded in time and uses loopback only. FitLine computes the
// slopes, as a Fit of the measured Points.
package gauge
