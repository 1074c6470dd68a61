// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package fakes holds small stand-ins for the systems traildrift meets: the
// object API, the VM list, a model engine and a plain service. They serve
// tests, the demo and measurements only. Each speaks the protocol that
// docs/PLATFORM.md writes down, takes faults on request, and counts what it
// did.
package fakes
