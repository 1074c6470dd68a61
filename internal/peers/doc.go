// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package peers lets the routers of a fleet share what they read of the store:
// a few of them ask the store, and the others ask these. One that is cut off from
// the store learns from any router that is not. Each answer says how old it is,
// measured without comparing clocks.
package peers
