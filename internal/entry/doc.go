// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package entry is the process that callers reach: it finds the settings that
// apply to a request, decides where it goes, sends it there through a guard,
// answers exactly once, bills, and keeps the trail of its decisions.
package entry
