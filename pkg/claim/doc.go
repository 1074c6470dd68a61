// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package claim holds the append-only log of claims on keys: who may run the
// request of a key. It is pure; internal/claims writes it to the platform.
//
// Keys hash to buckets. A bucket is a chain of slices, and only the last slice
// that is not full may grow. A writer that believes something else collides at
// the platform's conditional update and reads again. No lease and no clock is
// trusted.
package claim
