// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"context"
	"time"

	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/stream"
)

// phase is how far a run has come.
type phase string

// The phases of a run. A tombstone is a run that was asked about before it was
// seen, or refused: it never runs.
const (
	phaseQueued    phase = "queued"
	phaseRunning   phase = "running"
	phaseEnded     phase = "ended"
	phaseTombstone phase = "tombstone"
)

// record is what the guard knows of one attempt.
type record struct {
	key  wire.RunKey
	work wire.Work
	// phase only moves forward: queued, running, ended; or to tombstone from
	// queued or at once. It never leaves ended or tombstone.
	phase phase
	buf   *stream.Buffer
	// admitted is closed when the run has its slot.
	admitted chan struct{}
	// ended is closed with the phase ended or tombstone; reply is set then.
	ended chan struct{}
	reply wire.RunReply
	// ctx is done when the run is no longer wanted.
	ctx    context.Context
	cancel context.CancelFunc
	// owner is the link that follows the run; a later Ask replaces it.
	owner *link.Conn
	// evictAfter is when the record may go: the run's deadline, after which a
	// late message of the same run is refused by its deadline.
	evictAfter time.Time
	// settled says that the entry has billed the run, and so asks no more, or
	// that there is nothing to bill. billed says that the guard did instead:
	// the entry may still ask.
	settled, billed bool
}

// queueID names the run in the admission queue.
func (r *record) queueID() string { return runID(r.key) }

// recordRetention is how long a record outlives the deadline of its run.
const recordRetention = 30 * time.Second

// evictRecords drops records whose time has come: those of repeatable runs once their
// entry has billed them, others after their deadline; g.mu is held.
func (g *Guard) evictRecords(now time.Time) {
	for key, r := range g.runs {
		over := r.phase == phaseEnded || r.phase == phaseTombstone
		early := r.phase == phaseEnded && r.work.Repeatable && r.settled
		if over && (early || (now.After(r.evictAfter) && (r.settled || r.billed))) {
			delete(g.runs, key)
		}
	}
}

// tombstone closes a run for good without running it; g.mu is held.
func (g *Guard) tombstone(r *record, reply wire.RunReply) {
	r.phase = phaseTombstone
	r.reply = reply
	r.settled = true
	r.buf.Finish(0, reply.Err)
	close(r.ended)
}

// newRecord enters a run; g.mu is held.
func (g *Guard) newRecord(key wire.RunKey, w wire.Work, owner *link.Conn) *record {
	r := &record{
		key:        key,
		work:       w,
		phase:      phaseQueued,
		buf:        stream.New(maxAnswerBytes),
		admitted:   make(chan struct{}),
		ended:      make(chan struct{}),
		owner:      owner,
		evictAfter: w.Deadline.Add(recordRetention),
	}
	r.ctx, r.cancel = context.WithDeadline(g.kill, w.Deadline)
	g.runs[key] = r
	return r
}
