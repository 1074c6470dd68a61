// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package relay is the forwarding core of the router: it finds a request's route
// and workspace, chooses model, version and endpoint, makes attempts until there
// is an answer or no use in another attempt, and passes the answer on. It opens
// no connection of its own: attempts go out through Engine.Send.
package relay
