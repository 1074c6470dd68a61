// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package gauge measures the project's own processes on one machine: the added
// latency of the path, and the slopes that docs/CAPACITY.md is worked out
// from. Every run is bounded in time and goes to loopback only.
package gauge
