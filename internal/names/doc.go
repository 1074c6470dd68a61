// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package names holds the test that compares docs/NAMES.md, the page of the names that leave
// the process, with the source. It has no other code.
package names
