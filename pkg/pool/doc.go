// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package pool selects the endpoint that serves a request.
//
// A Book is the table of the endpoints of all services. Its caller, a router's engine, holds a lock around
// every call: the package reads no clock, takes no lock and starts no goroutine; the current time and
// random draws are arguments. "This process" is the router, its peers are the other routers.
//
// # Endpoints
//
// Entry is an endpoint as the endpoint list has it. Book.Put and Book.Remove apply the list; an endpoint
// that disappeared during an outage of the list stays for a grace period, which Book.Expire ends. Endpoint
// adds to the entry what this process stores about the endpoint:
//
//   - Load: this process's attempts in flight (Endpoint.RecordSend adds one, the caller subtracts it), the
//     runs that the endpoint last reported, and the time until which it is expected to read prompts.
//   - Trust: a circuit breaker, fed by this process's attempts and by failure reports of peers. It
//     ejects an endpoint for up to 6 s.
//   - Pace: service time relative to usual work, as the endpoint reports it; 1 is usual, 2 takes twice
//     as long.
//   - What the endpoint announced in the head of an answer (Notice): a limit in requests per second from
//     all processes together, that it is leaving, and a rest period for this process (Retry-After).
//     Endpoint.RecordNotice applies a notice from an answer, RecordPeerNotice one that a peer relayed;
//     Changes is what it changed.
//
// An endpoint that restarts under the same ID is a new incarnation, identified by Entry.StartedAt. The
// announcements and the pace of its predecessor do not apply to it. Between processes, endpoints and
// incarnations are identified by hashes: HashOf, Endpoint.Hash and Endpoint.Incarnation.
//
// # Limits and shares
//
// Warmup limits the requests per second to endpoints that have just started. Senders lists the processes
// that share this allowance and the announced limits. Each computes its own share by rendezvous hashing
// (Weight), without messages. A process whose share of a limit is used up may borrow one request at a time
// from another one: Book.BorrowCandidates lists the endpoints for which to send a query,
// Endpoint.SetNextQuery bounds the rate of queries, Endpoint.Grant answers one, and Endpoint.RecordGrant
// stores a granted answer. Book.CloseZone and Book.OpenZone take an availability zone out of use and back.
//
// # Picking an endpoint
//
// Want describes a request; its times are in seconds. Book.Pick considers the endpoints that may serve the
// request and may be sent one now, and among them the trusted ones unless none is. A request without a
// prompt prefix goes to the less loaded of two drawn at random. A request with a prefix goes where its
// expected loss is least, in fractions of what the request earns: to a recorded holder of the prefix
// (Book.RecordHolder), to the prefix's home by rendezvous hash, among all endpoints or among those in this
// process's availability zone, or to one of a random sample. Reason names which of these it was, and
// Want.PassedOver is the best holder if another endpoint has a smaller loss. Where Pick returns no endpoint,
// Book.Unavailability counts the causes and returns when to retry.
package pool
