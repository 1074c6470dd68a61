// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package peers exchanges state between the routers of a fleet: stored objects by HTTP, and
// reports of what each router observed by UDP datagrams.
//
// # Registered routers
//
// Peer is the registration of a router, which each router stores for itself: the name of its VM,
// its address, availability zone, CPU capacity in millicores, and the token that others must
// present to it, which it also keeps in its Secret.
//
// Fleet holds the registered routers that one router knows; its caller applies the stored
// registrations with Put and Remove. It ranks the routers, the same way in every process: the most
// capable one of each availability zone, then the second of each, and so on. It has these uses:
//
//   - The first in rank read the store (ReadsStore; IsPrimaryReader ignores back-offs), and in large
//     fleets the next ones are relays (IsRelay). PickPeer and PickPrimary return the peer to pull
//     from, and PullAttempts how many to try in turn. RankExcept and TopRanked are for other
//     duties that are assigned by rank.
//   - RecordAnswer, RecordNoAnswer and RecordStale record the outcomes of pulls. A peer that gave
//     no answer or is stale is backed off from (BackOff): it gets no pulls for a while and does not
//     count in the rank. Unresponsive returns the peers whose registration may be removed.
//   - SenderCount and SenderHashes return the routers that may send requests to endpoints, by which
//     each computes its share of a limit. They include routers whose registration was removed
//     seconds ago. Generation increases when they change.
//   - CollectorRank is the rank by rendezvous hash for the crash reports of one request.
//
// # Pulls of stored objects
//
// Each router has a copy of the stored objects (mirror.Mirror). Two routers, the readers, read
// the store; the others pull changes from them by long polls over HTTP. In large fleets relays
// pull from the readers, and the rest, the followers, pull from the relays. The routers that a
// router pulls from are its sources.
//
// A copy is fresh if it was proven to be the newest at most 1.5 s ago, and stale otherwise; a relay
// requires 1.2 s. The age of one kind, FreshnessKind, decides. A response carries the age of that
// proof, measured without comparing the clocks of two VMs. A router that finds no fresh peer falls
// back to the store. A router that is cut off from the store pulls from any fresh peer.
//
// A Puller does the pulls of one router. It decides when this router reads the store itself:
// WaitToReadStore blocks until then. RetriesSlowly reports whether this router is one of those that
// retry a lost store less often, and Isolated whether it reaches the store but no fresh peer.
// A router that starts and is not a reader waits for its peers before it reads the store.
// SetPeersKnown records that the store has returned registered routers, and RecordStartingPeer that
// another starting router pulls from this one, which then reads the store at once. A Server answers
// the pulls of other routers.
//
// # Datagrams
//
// A Transport sends and receives datagrams, which are not acknowledged or repeated unless said
// otherwise. Each begins with the start of its recipient's token and holds one of:
//
//   - AttemptReport: load, failure and prompt prefix of one attempt at an endpoint, for the routers
//     that Recipients selects.
//   - roll.Report: what a router counted in the trial of a new version.
//   - CrashReport: an endpoint crashed under a request, or the request completed. It goes to the
//     request's collectors, the same few routers from every sender.
//   - poison.Verdict: a request that crashes endpoints is quarantined, suspected or released. New
//     verdicts go to all routers, and are sent again, at most MaxResentVerdicts at a time, to a few
//     routers drawn at random.
//   - Notice: a limit or a shutdown that an endpoint announced, or the answer to a LimitQuery.
//   - LimitQuery: asks a router for a grant out of its share of an endpoint's limit.
//   - UsageReport: the requests that a router counted by workspace, for the holder of the duties
//     and its deputies; a UsageAck answers it. Both carry gossip about the duties.
//   - A state query of a router that has just started (QueryState): verdicts and notices answer it.
//
// Traffic counts the bytes that a router sent, by kind, and logs them every 10 s.
package peers
