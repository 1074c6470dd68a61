// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package guard implements the guard, the process that runs on each endpoint VM
// in front of an engine or a plain service. All requests to that endpoint pass
// through it. Entries send it runs over internal/link.
//
// A guard starts each run at most once: it keeps a record of every run until
// after the run's deadline and refuses a run that it has received before. It
// queues runs for the endpoint's slots, refuses versions that the settings have
// withdrawn or do not allow, and sends the answer in chunks. After a broken link
// an entry queries the outcome of a run by its key.
//
// A guard reports the endpoint's load, crashes and backoff to all entries, has the
// engine load versions on the orders of roll-outs, and writes the bill line of a
// run if no entry does.
package guard
