// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

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

// billAll bills the runs that no entry has reported as settled, as far as the writer has
// room, and returns the number of those that are left.
func (g *Guard) billAll() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, u := range g.unbilledLines {
		g.billLocked(key, u.line)
	}
	return len(g.unbilledLines)
}

// flushBills bills all runs that no entry has reported as settled and writes the lines. It
// takes several rounds if the writer's buffer cannot hold all lines. It returns an error
// if kill is done first.
func (g *Guard) flushBills(kill context.Context) error {
	for {
		left := g.billAll()
		if err := g.bills.Flush(kill); err != nil {
			return errors.Wrapf(err, "guard: %d runs are not billed", left)
		}
		if left == 0 {
			return nil
		}
	}
}

// billLocked passes a bill line to the writer; g.mu is held. If the writer's buffer
// is full, the line stays in unbilledLines and is tried again at the next sweep.
func (g *Guard) billLocked(key wire.RunKey, line bill.Line) {
	if !g.bills.TryAdd(line) {
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
