// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"time"

	"github.com/traildrift/traildrift/internal/wire"
)

// stateDump is what the dump shows of a guard.
type stateDump struct {
	Load     wire.Load `json:"load"`
	Runs     []runDump `json:"runs"`
	Unbilled int       `json:"unbilled"`
	Held     int       `json:"billsHeld"`
	Links    int       `json:"links"`
}

type runDump struct {
	RunID    string    `json:"runID"`
	Phase    phase     `json:"phase"`
	Deadline time.Time `json:"deadline"`
	Bytes    int       `json:"bytes"`
}

// maxDumpedRuns bounds the runs that a dump shows.
const maxDumpedRuns = 100

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
