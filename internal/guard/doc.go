// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package guard is the process in the slot of each endpoint VM. It is the only
// way to the engine or plain service beside it: it admits runs, refuses what
// is withdrawn or seen before, keeps the record of every run, and bills.
package guard
