// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"time"

	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/bill"
)

// unbilledLine is the bill line of a run that its entry has not reported as settled.
type unbilledLine struct {
	line bill.Line
	// entry is the link of the entry that should bill the run.
	entry *link.Conn
	// writeAt is when the guard writes the line if the entry has not billed the
	// run by then.
	writeAt time.Time
}

// billAll bills all runs that no entry has reported as settled.
func (g *Guard) billAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, u := range g.unbilledLines {
		g.billLocked(key, u.line)
	}
}

// billLocked passes a bill line to the writer; g.mu is held. If the writer's buffer
// is full, the line stays in unbilledLines and is tried again at the next sweep.
func (g *Guard) billLocked(key wire.RunKey, line bill.Line) {
	if !g.bills.Add(line) {
		return
	}
	delete(g.unbilledLines, key)
	if r, ok := g.runs[key]; ok {
		r.billed = true
	}
}

// settle records that the entry has billed a run, and releases the bytes of the
// answer, as the entry has received all of it; g.mu is held.
func (g *Guard) settle(key wire.RunKey) {
	delete(g.unbilledLines, key)
	if r, ok := g.runs[key]; ok {
		r.settled = true
		r.buf.Release()
	}
}
