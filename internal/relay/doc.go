// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package relay is the forwarding core of the router. For each request it finds the route and the
// workspace, chooses a model, a version and an endpoint, and makes attempts until one is answered
// or no further attempt is allowed. It then passes the answer on to the caller.
//
// Engine holds all state. Its exported fields are functions that the router package sets: they send
// attempts to endpoints and reports to other routers, and read the state of the configuration, the
// endpoint list and the router list. The package opens no connection itself.
//
// Table is the configuration in force, Limits are the operator's settings for this VM. Request,
// Attempt and Reply are a caller's request, one try to have an endpoint answer it, and the head of
// the endpoint's answer. Mechanisms selects between ways of deciding and switches parts of the
// router off for comparison.
//
// Unless a name or comment says otherwise, times in float64 are in seconds and sizes of prompts are
// in tokens. "Head" is the status and header of an answer; the head of a stream comes with its
// first event.
package relay
