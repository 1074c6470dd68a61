// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package clock tells when the process stood still: frozen, or on a VM that was suspended,
// whose monotonic clock does not count that time.
package clock
