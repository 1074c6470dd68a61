// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"time"

	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/bill"
)

// unbilledLine is a bill line that waits for its entry.
type unbilledLine struct {
	line bill.Line
	// entry is the link of the entry that should bill it.
	entry *link.Conn
	// writeAt is when the guard writes it itself.
	writeAt time.Time
}

// billAll writes every line that no entry has confirmed.
func (g *Guard) billAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, u := range g.unbilledLines {
		g.billLocked(key, u.line)
	}
}

func (g *Guard) billLocked(key wire.RunKey, line bill.Line) {
	if !g.bills.Add(line) {
		return
	}
	delete(g.unbilledLines, key)
	if r, ok := g.runs[key]; ok {
		r.billed = true
	}
}

// settle notes that the entry has billed a run, and gives up its answer, which
// the entry had whole; g.mu is held.
func (g *Guard) settle(key wire.RunKey) {
	delete(g.unbilledLines, key)
	if r, ok := g.runs[key]; ok {
		r.settled = true
		r.buf.Release()
	}
}
