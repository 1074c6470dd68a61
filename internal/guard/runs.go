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

// phase is the state of a run.
type phase string

// Phases of a run. A tombstone is a run that was refused, or queried before it
// arrived; it is never started.
const (
	phaseQueued    phase = "queued"
	phaseRunning   phase = "running"
	phaseEnded     phase = "ended"
	phaseTombstone phase = "tombstone"
)

// record is the state of one attempt of a run. Guard.mu protects phase, reply,
// owner, settled and billed.
type record struct {
	key wire.RunKey
	// work is the work to run; its body is dropped when the run has ended.
	work wire.Work
	// phase moves from queued to running to ended, or from queued to tombstone.
	// It never leaves ended or tombstone.
	phase phase
	// buf holds the answer.
	buf *stream.Buffer
	// admitted is closed when the run gets its slot.
	admitted chan struct{}
	// ended is closed when the phase becomes ended or tombstone; reply is set
	// before that.
	ended chan struct{}
	reply wire.RunReply
	// ctx is done when the run is cancelled or its deadline has passed.
	ctx    context.Context
	cancel context.CancelFunc
	// owner is the link that the answer is sent over; a RunQuery replaces it.
	owner *link.Conn
	// evictAfter is recordRetention after the run's deadline. The record need not
	// be kept for longer, as a late message of the run is refused because of its
	// deadline.
	evictAfter time.Time
	// settled reports that the entry has billed the run, and so sends no further
	// query, or that there is nothing to bill. billed reports that the guard has
	// billed it instead; the entry may still query the run.
	settled, billed bool
}

// queueID returns the ID of the run in the admission queue.
func (r *record) queueID() string { return runID(r.key) }

// recordRetention is how long a record is kept after the deadline of its run.
const recordRetention = 30 * time.Second

// evictRecords removes the records of billed runs that have ended: those of
// repeatable runs as soon as the entry has billed them, others after evictAfter.
// g.mu is held.
func (g *Guard) evictRecords(now time.Time) {
	for key, r := range g.runs {
		over := r.phase == phaseEnded || r.phase == phaseTombstone
		early := r.phase == phaseEnded && r.work.Repeatable && r.settled
		if over && (early || (now.After(r.evictAfter) && (r.settled || r.billed))) {
			delete(g.runs, key)
		}
	}
}

// tombstone ends a run that has not started with a reply; g.mu is held.
func (g *Guard) tombstone(r *record, reply wire.RunReply) {
	r.phase = phaseTombstone
	r.reply = reply
	r.settled = true
	r.buf.Finish(0, reply.Err)
	close(r.ended)
}

// ownerOf returns the link that the answer of a run is sent over now.
func (g *Guard) ownerOf(r *record) *link.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	return r.owner
}

// newRecord creates and stores the record of a queued run; g.mu is held.
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
