// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package desk is the operator's desk: changing fleet settings, asking why a
// request went where it went, and reading bills and dumps.
package desk
