// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"time"

	"github.com/traildrift/traildrift/internal/wire"
)

// dumped is what the dump shows of a guard.
type dumped struct {
	Load     wire.Load   `json:"load"`
	Runs     []dumpedRun `json:"runs"`
	Unbilled int         `json:"unbilled"`
	Held     int         `json:"billsHeld"`
	Links    int         `json:"links"`
}

type dumpedRun struct {
	RunID    string    `json:"runID"`
	Phase    phase     `json:"phase"`
	Deadline time.Time `json:"deadline"`
	Bytes    int       `json:"bytes"`
}

// dumpedRuns bounds the runs that a dump shows.
const dumpedRuns = 100

func (g *Guard) state() any {
	g.mu.Lock()
	defer g.mu.Unlock()
	held, _ := g.bills.Held()
	d := dumped{Load: g.load(), Unbilled: len(g.unbilled), Held: held, Links: len(g.links)}
	for _, r := range g.runs {
		if len(d.Runs) == dumpedRuns {
			break
		}
		d.Runs = append(d.Runs, dumpedRun{runID(r.key), r.phase, r.work.Deadline, r.buf.Len()})
	}
	return d
}
