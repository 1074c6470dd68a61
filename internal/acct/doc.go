// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package acct accounts, from the logs of routers, for the time and the bytes of
// requests: which were late or failed and why, behind what they waited, what crossed
// availability zones, what the store was asked for, and how well the routers foretold
// the time to the head. It reads any number of logs, whose clocks may disagree.
package acct
