// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package route decides which model, version and endpoint a request goes to.
// A decision is a pure function of its inputs: it reads no clock, socket,
// global or map order, and random choices come from a seed in the request.
// Every candidate that is not taken has a reason from a closed list and the
// setting that decided it.
package route
