// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/assert"
	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/admit"
	"github.com/traildrift/traildrift/pkg/bill"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

// handleBeat answers an entry's heartbeat with the load.
func (g *Guard) handleBeat(_ context.Context, c *link.Conn, p wire.Beat) (wire.BeatReply, error) {
	g.Holder.Confirm()
	g.mu.Lock()
	defer g.mu.Unlock()
	if l, ok := g.links[c.Peer.Incarnation]; ok && l.conn == c {
		l.released = p.Released && g.leaving
	}
	for _, key := range p.Settled {
		g.settle(key)
	}
	return wire.BeatReply{Stamp: g.Stamp(), Load: g.load()}, nil
}

// load returns what the guard says of its endpoint; g.mu is held.
func (g *Guard) load() wire.Load {
	now := g.Now()
	return wire.Load{
		Pool:     g.settings.Pool,
		Slots:    g.settings.Slots,
		Running:  g.queue.Running(),
		Queued:   g.queue.Waiting(),
		Leaving:  g.leaving,
		Down:     g.down,
		Versions: g.versions,
		RestMs:   max(g.restsUntil.Sub(now).Milliseconds(), 0),
		Crashes:  g.recentCrashes(now),
	}
}

// handleRun does the work once, or says why not.
func (g *Guard) handleRun(ctx context.Context, c *link.Conn, p wire.Run) (wire.RunReply, error) {
	r, refused := g.enter(c, &p)
	if refused != nil {
		g.counts.refused.Inc(1)
		return wire.RunReply{Stamp: g.Stamp(), Err: refused}, nil
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		link.Follow(ctx, c, r.key, r.buf, 0)
	}()
	g.work(r)
	<-done
	return g.replyOf(r), nil
}

// replyOf returns the reply of an ended run with a fresh stamp.
func (g *Guard) replyOf(r *record) wire.RunReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	reply := r.reply
	reply.Stamp = g.Stamp()
	return reply
}

// enter records a run and offers it to the queue.
func (g *Guard) enter(c *link.Conn, p *wire.Run) (*record, *fault.Error) {
	now := g.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if refused := g.mayEnter(c, p, now); refused != nil {
		return nil, refused
	}
	r := g.newRecord(p.Key, p.Work, c)
	v := g.queue.Offer(now, admit.Item{
		ID:       r.queueID(),
		Patient:  p.Work.Priority == config.Patient,
		Arrived:  now,
		Deadline: p.Work.Deadline,
	})
	if v.Refused != "" {
		refused := fault.New(v.Refused, fault.NotRun, "The endpoint has no room.").WithRetryAt(v.RetryAt)
		g.tombstone(r, wire.RunReply{Err: refused})
		return nil, refused
	}
	if v.Admitted {
		close(r.admitted)
	}
	return r, nil
}

// mayEnter returns why a run is refused at once; g.mu is held.
func (g *Guard) mayEnter(c *link.Conn, p *wire.Run, now time.Time) *fault.Error {
	if p.Guard != g.Identity.Incarnation {
		return fault.New(fault.EndpointLost, fault.NotRun, "The run was meant for another incarnation.")
	}
	if old, ok := g.runs[p.Key]; ok {
		g.counts.duplicates.Inc(1)
		if old.phase == phaseTombstone {
			return old.reply.Err
		}
		return fault.New(fault.AlreadyRan, fault.MayHaveRun, "The run was seen before.")
	}
	if c.Superseded() {
		return fault.New(fault.EndpointLost, fault.NotRun, "The link was replaced by a newer one.")
	}
	if !p.Work.Deadline.After(now) {
		return fault.New(fault.DeadlinePassed, fault.NotRun, "The deadline has passed.")
	}
	if g.leaving {
		return fault.New(fault.Stopping, fault.NotRun, "The endpoint is leaving.")
	}
	if g.down {
		return fault.New(fault.EndpointLost, fault.NotRun, "The endpoint takes no connection.")
	}
	if refused := g.resting(now); refused != nil {
		return refused
	}
	return g.notAllowed(g.Holder.Current(), &p.Work)
}

// work waits for a slot and does the run; it returns once the run is over.
func (g *Guard) work(r *record) {
	defer r.cancel()
	select {
	case <-r.admitted:
	case <-r.ended:
		return
	case <-r.ctx.Done():
		if g.withdraw(r, fault.DeadlinePassed, "The run was given up in the queue.") {
			return
		}
		<-r.admitted
	}
	if !g.begin(r) {
		return
	}
	begun := g.Now()
	usage, err := g.endpoint.Run(r.ctx, r.key, &r.work, r.buf)
	g.askCrashed(r, begun, err)
	g.end(r, usage, err)
}

// withdraw takes a waiting run out of the queue; it reports false if the run
// is not waiting any more.
func (g *Guard) withdraw(r *record, k fault.Kind, message string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.phase == phaseTombstone {
		return true
	}
	if !g.queue.Remove(r.queueID()) {
		return false
	}
	g.tombstone(r, g.refusal(k, message))
	return true
}

// begin makes an admitted run a running one, unless it is no longer wanted or
// allowed.
func (g *Guard) begin(r *record) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	refused := g.notAllowed(g.Holder.Current(), &r.work)
	if refused == nil {
		refused = g.resting(g.Now())
	}
	switch {
	case refused != nil:
	case r.ctx.Err() != nil:
		refused = fault.New(fault.DeadlinePassed, fault.NotRun, "The run was given up before it started.")
	case tasks.IsDone(r.owner.Done()):
		refused = fault.New(fault.EndpointLost, fault.NotRun, "Nobody follows the run any more.")
	case g.leaving:
		refused = fault.New(fault.Stopping, fault.NotRun, "The endpoint is leaving.")
	}
	if refused != nil {
		g.tombstone(r, wire.RunReply{Err: refused})
		g.admitNext(g.queue.Done(g.Now(), r.queueID(), nil))
		return false
	}
	assert.That(r.phase == phaseQueued, "runStartsOnce", zap.String("run", runID(r.key)), zap.String("phase", string(r.phase)))
	r.phase = phaseRunning
	g.counts.started.Inc(1)
	return true
}

// end records how a run ended, holds its bill line and frees its slot.
func (g *Guard) end(r *record, usage wire.Usage, err *fault.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.That(r.phase == phaseRunning, "runEndsOnce", zap.String("run", runID(r.key)))
	r.phase = phaseEnded
	r.work.Body = nil
	r.reply = wire.RunReply{Length: r.buf.Len(), Usage: usage, Err: err}
	r.buf.Finish(r.reply.Length, err)
	g.rests(r, err)
	if err != nil && err.Run == fault.NotRun {
		r.settled = true
	} else {
		g.unbilled[r.key] = unbilled{line: g.line(r, usage), entry: r.owner, writeAt: g.settings.BillAfter.After(r.work.Deadline)}
	}
	close(r.ended)
	g.admitNext(g.queue.Done(g.Now(), r.queueID(), nil))
}

// line is what the guard would bill for a run.
func (g *Guard) line(r *record, u wire.Usage) bill.Line {
	w := &r.work
	return bill.Line{
		ID:        w.BillID,
		RequestID: r.key.RunID,
		Workspace: w.Workspace,
		Workload:  w.Workload,
		At:        g.Now(),
		Attempts: []bill.Attempt{{
			RunID:            r.key.RunID,
			Attempt:          r.key.Attempt,
			VM:               g.Common.VM,
			Model:            w.Model,
			Version:          w.Version,
			PromptTokens:     u.PromptTokens,
			CompletionTokens: u.CompletionTokens,
			Cost:             bill.CostOf(w.Cost, u.PromptTokens, u.CompletionTokens),
		}},
	}
}

// handleAsk says what became of a run after a broken link.
func (g *Guard) handleAsk(ctx context.Context, c *link.Conn, p wire.Ask) (wire.RunReply, error) {
	r, reply := g.lookUp(c, &p)
	if r == nil {
		return reply, nil
	}
	link.Follow(ctx, c, r.key, r.buf, p.Offset)
	select {
	case <-r.ended:
		return g.replyOf(r), nil
	case <-c.Done():
		return wire.RunReply{}, fault.EndpointLost
	}
}

// lookUp finds the run that is asked about. A run never seen gets a tombstone.
func (g *Guard) lookUp(c *link.Conn, p *wire.Ask) (*record, wire.RunReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Guard != g.Identity.Incarnation {
		return nil, wire.RunReply{Stamp: g.Stamp(), Err: fault.New(fault.EndpointLost, fault.MayHaveRun,
			"The guard was restarted; what its predecessor ran is not known.")}
	}
	if r, ok := g.runs[p.Key]; ok {
		r.owner = c
		return r, wire.RunReply{}
	}
	g.counts.tombstones.Inc(1)
	r := g.newRecord(p.Key, wire.Work{Call: wire.Call{Deadline: p.Deadline}}, c)
	r.cancel()
	g.tombstone(r, g.refusal(fault.EndpointLost, "The run never arrived and is closed."))
	reply := r.reply
	reply.Stamp = g.Stamp()
	return nil, reply
}

// handleCancel gives up a run that is no longer wanted.
func (g *Guard) handleCancel(_ *link.Conn, p wire.Cancel) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.runs[p.Key]; ok {
		r.cancel()
	}
}
