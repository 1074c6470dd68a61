// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package pool knows the endpoints of services: which may get new work, how
// loaded each one is believed to be, and which of them a request goes to. It
// reads no clock and takes no lock; random draws are passed in.
package pool
