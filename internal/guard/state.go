// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"time"

	"github.com/traildrift/traildrift/internal/wire"
)

// stateDump is the part of the state dump that a guard adds.
type stateDump struct {
	Load wire.Load `json:"load"`
	// Runs holds at most maxDumpedRuns of the records, in no particular order.
	Runs []runDump `json:"runs"`
	// Unbilled is the number of runs that no entry has reported as settled.
	Unbilled int `json:"unbilled"`
	// Held is the number of bill lines that the platform has not confirmed.
	Held int `json:"billsHeld"`
	// Links is the number of peers with a link.
	Links int `json:"links"`
}

// runDump is one record in the dump.
type runDump struct {
	// RunID is the ID of the attempt at the endpoint, as returned by runID.
	RunID    string    `json:"runID"`
	Phase    phase     `json:"phase"`
	Deadline time.Time `json:"deadline"`
	// Bytes is the number of bytes of the answer so far.
	Bytes int `json:"bytes"`
}

// maxDumpedRuns is the maximum number of runs in a dump.
const maxDumpedRuns = 100

// state returns the stateDump.
func (g *Guard) state() any {
	g.mu.Lock()
	defer g.mu.Unlock()
	held, _ := g.bills.Held()
	d := stateDump{Load: g.currentLoad(), Unbilled: len(g.unbilledLines), Held: held, Links: len(g.links)}
	for _, r := range g.runs {
		if len(d.Runs) == maxDumpedRuns {
			break
		}
		d.Runs = append(d.Runs, runDump{runID(r.key), r.phase, r.work.Deadline, r.buf.Len()})
	}
	return d
}
