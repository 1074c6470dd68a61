// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package crowd plays callers that do not behave against a process, and measures what the process holds. It is for
// tests only, and runs on Linux only, as it reads the proc file system.
package crowd
