// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package poison finds the requests that end the endpoints which run them. It reads no
// clock, takes no lock and does no I/O.
package poison
