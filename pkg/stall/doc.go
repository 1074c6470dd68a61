// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package stall detects endpoints that have fallen silent: they keep their connections open but send
// nothing. One process sees about one stream at each endpoint and cannot tell its pause from silence early;
// several processes whose streams at the endpoint are all overdue at the same time can. The package
// performs no I/O and reads no clock.
package stall
