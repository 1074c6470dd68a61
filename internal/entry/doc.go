// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package entry implements the entry, the process that serves callers over HTTP. It
// accepts chat requests, calls to plain services and requests for tickets.
//
// For each request an entry finds the settings that apply, checks the workspace's limits,
// chooses a version and an endpoint (pkg/route), and sends the run to the guard of that
// endpoint over internal/link. The guard sends the answer in chunks, which the entry passes
// on. After a failed attempt it retries at another endpoint if the request may be repeated
// or did not run. After a broken link it queries the outcome of the run from the guard.
// Each request gets exactly one answer or error, at most one bill line and one trail
// record, which holds its routing decisions.
//
// A session pins its requests to one version, by a sealed token or by a name that is claimed
// in the claim log.
//
// An entry keeps links to a subset of the endpoints of each pool and sends heartbeats on
// them. The replies carry the load, the backoff and the crashes of the endpoint. Requests
// that crash endpoints are quarantined (pkg/poison). A few entries of each availability zone
// also watch the platform for new settings and drive roll-outs (internal/rolls).
//
// A request that must not run twice carries the caller's own key or a ticket. The entry
// enters a claim on the key in the claim log (internal/claims) before it starts the run, so
// that a repeat at any entry finds the claim and follows the run that holds it. A ticket
// names the one entry that may start its request and needs no claim. If the outcome of the
// first run is unknown, a repeat is refused.
//
// Main runs an entry until a signal stops it. New and Entry.Run do the same in parts, with
// Settings that are read from the process settings file.
package entry
