// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package peers exchanges state between the routers of a fleet.
//
// # Pulls of stored objects
//
// Each router has a copy of the stored objects (mirror.Mirror). Two routers, the readers, read
// the store; the others pull changes from them by long polls over HTTP. In large fleets relays
// pull from the readers, and the rest, the followers, pull from the relays. All routers rank the
// fleet alike, and the first in rank are readers, the next ones relays. A Puller does the pulls of
// one router and decides when it reads the store itself; a Server answers the pulls of others.
//
// A copy is fresh if it was proven to be the newest at most staleAfter ago. A response carries the
// age of that proof, measured without comparing the clocks of two VMs. A router that finds no
// fresh peer falls back to the store. A router that is cut off from the store pulls from any fresh
// peer.
//
// Fleet holds the registered routers, each as a Peer. It ranks them, picks the peer for the next
// pull, and backs off from peers that are stale or do not answer.
//
// # Datagrams
//
// A Transport sends and receives UDP datagrams, which are not acknowledged or repeated unless said
// otherwise. Each begins with the start of its recipient's token (Secret) and holds one of:
//
//   - AttemptReport: load, failure and prompt prefix of one attempt at an endpoint.
//   - roll.Report: what a router counted in the trial of a new version.
//   - CrashReport: an endpoint crashed under a request, or the request completed. It goes to the
//     request's collectors, the same few routers from every sender.
//   - poison.Verdict: a request that crashes endpoints is quarantined, suspected or released. New
//     verdicts go to all routers, and are sent again to a few drawn at random.
//   - Notice: a limit or a shutdown that an endpoint announced, or the answer to a LimitQuery.
//   - LimitQuery: asks a router for a grant out of its share of an endpoint's limit.
//   - UsageReport: the requests that a router counted by workspace, for the holder of the duties
//     and its deputies; a UsageAck answers it.
//   - A state query of a router that has just started: verdicts and notices answer it.
//
// Recipients bounds an attempt report to an availability zone. Traffic counts the bytes sent.
package peers
