// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package claim holds the append-only log of claims on idempotency keys and
// other names. The claim on a key records which request may run under it. The
// package does no I/O; internal/claims reads and writes the log on the
// platform.
//
// Keys hash to buckets. A bucket is a sequence of slices, and each slice is
// one object on the platform. Only the last slice of a bucket grows, until it
// holds at least FullSliceRecords records. A writer whose copy of a bucket is out
// of date fails the platform's conditional update and reads the bucket again, so
// the log depends on no lease and no clock.
package claim
