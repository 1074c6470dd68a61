// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package mirror keeps a copy of some kinds of stored objects in memory, from
// the store itself or from another process that has a newer copy. It opens no
// connection of its own.
package mirror
