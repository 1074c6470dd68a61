// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package roll decides how new versions are rolled out. It performs no I/O and
// reads no clock.
//
// A Board holds the roll-outs that load a version on the VMs of a pool and raise
// its share of requests in waves. Board.Step takes the observed state and the time,
// updates the board and returns the load orders to send. The board is one object in
// the platform's store and each step is one conditional update of it: any process
// can continue an interrupted roll-out, and of two concurrent steps only one is
// stored.
//
// A Trial is a canary: it moves the sessions of a service to a new version in steps.
// A Judge compares the answers of the two versions by sequential tests; its Verdict
// decides whether the trial goes on, is rejected or is proven. Processes exchange
// their counts in a Report.
package roll
