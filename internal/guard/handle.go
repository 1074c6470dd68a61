// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/assert"
	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/admit"
	"github.com/traildrift/traildrift/pkg/bill"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

// handleHeartbeat answers an entry's heartbeat with the load. A heartbeat confirms that
// the settings here are current unless the entry has newer ones, which the link has then
// tried to fetch without success.
func (g *Guard) handleHeartbeat(_ context.Context, c *link.Conn, p wire.Heartbeat) (wire.HeartbeatReply, error) {
	if p.Revision <= g.Holder.Revision() {
		g.Holder.Confirm()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if l, ok := g.links[c.Peer.Incarnation]; ok && l.conn == c {
		l.released = p.Released && g.leaving
	}
	for _, key := range p.Settled {
		g.settle(key)
	}
	return wire.HeartbeatReply{Stamp: g.Stamp(), Load: g.currentLoad()}, nil
}

// currentLoad returns the load to report to entries; g.mu is held.
func (g *Guard) currentLoad() wire.Load {
	now := g.Now()
	return wire.Load{
		Pool:      g.settings.Pool,
		Slots:     g.settings.Slots,
		Running:   g.queue.Running(),
		Queued:    g.queue.Waiting(),
		Leaving:   g.leaving,
		Down:      g.down,
		Versions:  g.versions,
		BackoffMs: max(g.backoffUntil.Sub(now).Milliseconds(), 0),
		Crashes:   g.recentCrashes(now),
	}
}

// handleRun runs the work of p and sends the answer in chunks over c. It replies
// when the run has ended, or at once with the reason if the run is refused.
func (g *Guard) handleRun(ctx context.Context, c *link.Conn, p wire.Run) (wire.RunReply, error) {
	r, refused := g.enqueue(c, &p)
	if refused != nil {
		g.metrics.refused.Inc(1)
		g.announceDown(c)
		return wire.RunReply{Stamp: g.Stamp(), Err: refused}, nil
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		link.SendAnswer(ctx, c, r.key, r.buf, 0)
	}()
	g.execute(r)
	<-done
	return g.replyOf(r), nil
}

// replyOf returns the reply to an ended run, with the current settings revision.
func (g *Guard) replyOf(r *record) wire.RunReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	reply := r.reply
	reply.Stamp = g.Stamp()
	return reply
}

// enqueue creates the record of a run and offers the run to the queue. It returns
// the reason if the run is refused.
func (g *Guard) enqueue(c *link.Conn, p *wire.Run) (*record, *fault.Error) {
	now := g.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if refused := g.checkRun(c, p, now); refused != nil {
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

// checkRun returns why a run is refused before it is offered to the queue, or nil;
// g.mu is held.
func (g *Guard) checkRun(c *link.Conn, p *wire.Run, now time.Time) *fault.Error {
	if p.Guard != g.Identity.Incarnation {
		return fault.New(fault.EndpointLost, fault.NotRun, "The run was sent to another incarnation of the guard.")
	}
	if old, ok := g.runs[p.Key]; ok {
		g.metrics.duplicates.Inc(1)
		if old.phase == phaseTombstone {
			return old.reply.Err
		}
		return fault.New(fault.AlreadyRan, fault.MayHaveRun, "The guard has received the run before.")
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
		return fault.New(fault.EndpointLost, fault.NotRun, "The endpoint does not accept connections.")
	}
	if refused := g.backoffRefusal(now); refused != nil {
		return refused
	}
	return g.checkAllowed(g.Holder.Current(), &p.Work)
}

// execute waits for a slot, runs the work at the endpoint and records its end. It
// returns when the run has ended or has a tombstone.
func (g *Guard) execute(r *record) {
	defer r.cancel()
	select {
	case <-r.admitted:
	case <-r.ended:
		return
	case <-r.ctx.Done():
		if g.dequeue(r, fault.DeadlinePassed, "The run was given up in the queue.") {
			return
		}
		<-r.admitted
	}
	if !g.begin(r) {
		return
	}
	startedAt := g.Now()
	usage, err := g.endpoint.Run(r.ctx, r.key, &r.work, r.buf)
	g.detectCrash(r, startedAt, err)
	g.detectRefusal(err)
	if err != nil {
		if err.Cause != nil {
			g.Log.Info("guard: A run has failed at the endpoint.", zap.String("run", runID(r.key)), logs.Err(err))
		}
		g.announceDown(g.ownerOf(r))
	}
	g.end(r, usage, err)
}

// dequeue removes a waiting run from the queue and gives it a tombstone. It
// returns false if the run holds a slot by now.
func (g *Guard) dequeue(r *record, k fault.Kind, message string) bool {
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

// begin marks an admitted run as running and returns true. It returns false and
// gives the run a tombstone if the settings, a backoff of the engine, the run's
// context, the end of its link or the leaving of the guard forbid to start it.
func (g *Guard) begin(r *record) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	refused := g.checkAllowed(g.Holder.Current(), &r.work)
	if refused == nil {
		refused = g.backoffRefusal(g.Now())
	}
	switch {
	case refused != nil:
	case r.ctx.Err() != nil:
		refused = fault.New(fault.DeadlinePassed, fault.NotRun, "The run was cancelled or its deadline passed before it started.")
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
	g.metrics.started.Inc(1)
	return true
}

// end records the outcome of a run, stores its bill line for the case that no
// entry bills it, and frees its slot.
func (g *Guard) end(r *record, usage wire.Usage, err *fault.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.That(r.phase == phaseRunning, "runEndsOnce", zap.String("run", runID(r.key)))
	r.phase = phaseEnded
	r.work.Body = nil
	r.reply = wire.RunReply{Length: r.buf.Len(), Usage: usage, Err: err}
	r.buf.Finish(r.reply.Length, err)
	g.recordBackoff(r, err)
	if err != nil && err.Run == fault.NotRun {
		r.settled = true
	} else {
		g.unbilledLines[r.key] = unbilledLine{line: g.billLine(r, usage), entry: r.owner, writeAt: g.settings.BillAfter.After(r.work.Deadline)}
	}
	close(r.ended)
	g.admitNext(g.queue.Done(g.Now(), r.queueID(), nil))
}

// billLine returns the bill line of a run that has just ended.
func (g *Guard) billLine(r *record, u wire.Usage) bill.Line {
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

// handleRunQuery answers an entry whose link broke during a run. It sends the chunks
// that the entry lacks and replies when the run has ended.
func (g *Guard) handleRunQuery(ctx context.Context, c *link.Conn, p wire.RunQuery) (wire.RunReply, error) {
	r, reply := g.lookUp(c, &p)
	if r == nil {
		return reply, nil
	}
	link.SendAnswer(ctx, c, r.key, r.buf, p.Offset)
	select {
	case <-r.ended:
		return g.replyOf(r), nil
	case <-c.Done():
		return wire.RunReply{}, fault.EndpointLost
	}
}

// lookUp returns the run that p queries and makes c its owner. For an unknown run
// it stores a tombstone, so that the run is refused if it arrives later, and returns
// nil and the reply.
func (g *Guard) lookUp(c *link.Conn, p *wire.RunQuery) (*record, wire.RunReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Guard != g.Identity.Incarnation {
		return nil, wire.RunReply{Stamp: g.Stamp(), Err: fault.New(fault.EndpointLost, fault.MayHaveRun,
			"The guard was restarted; whether it ran the request before is not known.")}
	}
	if r, ok := g.runs[p.Key]; ok {
		r.owner = c
		return r, wire.RunReply{}
	}
	g.metrics.tombstones.Inc(1)
	r := g.newRecord(p.Key, wire.Work{Call: wire.Call{Deadline: p.Deadline}}, c)
	r.cancel()
	g.tombstone(r, g.refusal(fault.EndpointLost, "The run never arrived and is closed."))
	reply := r.reply
	reply.Stamp = g.Stamp()
	return nil, reply
}

// handleCancel ends a run whose answer is no longer needed.
func (g *Guard) handleCancel(_ *link.Conn, p wire.Cancel) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.runs[p.Key]; ok {
		r.cancel()
	}
}
