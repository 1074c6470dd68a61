// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package pool selects the endpoint that serves a request.
//
// A Book is the table of the endpoints of all services. Its caller feeds it and holds a lock around
// every call: the package reads no clock, takes no lock and starts no goroutine; the current time and
// random draws are arguments.
//
// # What the book stores
//
// Entry is an endpoint as the endpoint list has it: ID, address, service, availability zone, software
// version, slots (runs that it executes at once) and, if it reported one, the end of its warm-up.
// Book.Put and Book.Remove apply the list. Endpoint adds the state that this process keeps for it:
//
//   - Load: this process's attempts in flight, the runs that the endpoint last reported, and the time
//     until which it is expected to read prompts.
//   - Trust: a circuit breaker, fed by this process's attempts and by failure reports of peers. It
//     ejects an endpoint for up to 6 s.
//   - Pace: service time relative to usual work, as the endpoint reports it; 1 is usual, 2 takes twice
//     as long.
//   - What the endpoint announced in the heads of answers (Notice): a limit in requests per second,
//     that it is leaving, and a rest period in which it wants no requests from this process.
//
// An endpoint that restarts under the same ID is a new incarnation, identified by Entry.StartedAt. Its
// predecessor's announcements and pace do not apply to it.
//
// Warmup bounds the requests per second to endpoints that have just started. Senders lists the processes
// that share this allowance and the announced limits; each computes its own share by rendezvous
// hashing, without messages. A process whose share is used up may borrow one request at a time from
// another one: Book.BorrowCandidates lists the endpoints to ask for, Endpoint.Grant answers such a
// query, Endpoint.RecordGrant stores the answer. Book.CloseZone and Book.OpenZone take an availability
// zone out of use and back.
//
// # How an endpoint is picked
//
// Want describes a request; its times are in seconds. Book.Pick considers the endpoints that are
// listed, stay, may serve the request and may be sent one now, and that are trusted unless none is. A
// request without a prompt prefix goes to the less loaded of two drawn at random. A request with one
// goes where its expected loss is least, in fractions of what a request earns: among the endpoints that
// are recorded as holders of the prefix (Book.RecordHolder), its home by rendezvous hash, and a random
// sample. Reason names which of these it was, and Want.PassedOver the best holder if another endpoint
// won. Where Pick returns no endpoint, Book.Unavailability counts the causes and says when to retry.
package pool
