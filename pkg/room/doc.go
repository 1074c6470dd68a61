// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package room implements admission control in front of endpoints with a limited number of places
// (slots and queue positions): when a full endpoint is expected to accept a request again, in which
// order requests wait for that, whether a request is sent, waits or is refused, and when refused
// callers are asked to return. It performs no I/O, reads no clock and takes no lock; times and random
// numbers are arguments. Nothing in it is safe for concurrent use.
package room
