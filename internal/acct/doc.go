// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package acct analyses the logs of routers for the command traildrift account. It reports which
// requests were late or not served and why, which other requests they waited for, how many bytes
// crossed availability zones, which calls were made to the store, and how well the routers
// predicted the time to the head. Of the mechanisms of docs/contention.md it reports which requests
// waited in a router or were refused, who bore the price of engine time, how well the ends of streams
// were predicted, and which streams were moved or found silent.
//
// An Account takes in any number of logs by Read; Finish then aligns their clocks, which may
// differ, and fills the tables. Tables, Write, WriteCSV and WritePlots give the result.
//
// A request is late if its head came after the target of its route (aimMs in the log), or if its
// stream paused for longer than the route's target for pauses (pauseAimMs). Requests of a route
// without aimMs are never late. The head is the status and header of an answer; the head of a
// stream comes with its first event.
package acct
