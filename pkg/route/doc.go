// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package route decides which model, version and endpoint a request goes to.
// A decision is a pure function of its inputs: it reads no clock, socket,
// global variable or map order, and takes its random numbers from a seed in
// the request. Every candidate version has a reason from a closed list, which
// says whether it was chosen and, if not, which rule excluded it; each reason
// names the setting to look at.
package route
