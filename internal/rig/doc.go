// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package rig starts small fleets of real processes on loopback for tests and
// measurements.
//
// Each entry and each guard runs as a process of its own, which can be killed, frozen and
// stopped. The fakes of the platform, the engines and the services (internal/fakes) run in
// the caller's process, where faults can be set and counts be read. Every VM has its own IP
// number in 127.0.0.0/8.
//
// Start starts a Fleet as its Options say, with one guard and one engine or service for each
// endpoint of a Pool. Fleet.Close ends it. A Node is one VM of the fleet with its process, and
// Usage the CPU time, memory and link traffic of that process since its start. A Relay in front
// of the link of each guard injects link faults.
//
// The processes of a fleet run the caller's own program, which therefore calls Main first.
package rig
