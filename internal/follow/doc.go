// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package follow keeps a process in step with one kind of stored objects: it
// reads them all, waits for changes, and begins again where the history was lost.
// It opens no connection of its own.
package follow
