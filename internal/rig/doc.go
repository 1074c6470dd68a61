// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package rig starts small fleets of real processes on loopback for tests and
// measurements: entries and guards as processes of their own, which can be
// killed, frozen and stopped, and stand-ins inside the caller's process, whose
// faults and counts are at hand. Every VM has an IP number of its own.
package rig
