// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package router implements the process that forwards the requests of callers to the endpoints of a
// platform.
//
// A Router connects a relay.Engine, which decides where requests go, with the rest of the process:
// the settings file, the listeners, the mirror of the platform's store, the exchange with other
// routers, the duties that one VM at a time performs, and the planned stop. The protocols of the
// platform are supplied as a Wire. Main runs a router until a signal ends it.
package router
