// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package router is the process that forwards requests on a platform: its
// settings, its listeners, what it follows in the store, and its planned stop.
// What is spoken on the wire comes in through Wire.
package router
