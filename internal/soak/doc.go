// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package soak is the long randomised run: callers send requests to a fleet of
// real processes while faults are drawn from a seed, singly and together, and
// in the end everything that was answered is compared with what the stand-in
// endpoints really did and with the bills.
package soak
