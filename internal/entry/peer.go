// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"context"
	"sync"
	"time"

	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/config"
)

// peer is one endpoint VM that the entry keeps a link to.
type peer struct {
	vm store.VM
	// mu guards all fields below but ctx, cancel and the channels heartbeatNow and done.
	mu sync.Mutex
	// conn is the open link; nil if there is none.
	conn *link.Conn
	// load is the latest load that the guard has reported.
	load wire.Load
	// backoffUntil is the end of the endpoint's backoff, until which it accepts no runs;
	// zero without backoff.
	backoffUntil time.Time
	// suspectAt is the time from which the endpoint is suspected of having failed. Every
	// answered heartbeat moves it to SuspectAfter from then.
	suspectAt time.Time
	// crashIncarnation is the incarnation of the guard that reported the latest crash, and
	// crashSeq the number of that crash.
	crashIncarnation string
	crashSeq         uint64
	// inFlight is the number of this entry's runs at the endpoint that have not ended.
	inFlight int
	// settled lists the runs whose bill line is confirmed, for the next heartbeat.
	settled []wire.RunKey
	// opened is closed and replaced when a link opens.
	opened chan struct{}
	// heartbeatNow triggers a heartbeat at once.
	heartbeatNow chan struct{}
	// tried reports that the first attempt to link has ended, with an answered heartbeat or
	// a failure.
	tried bool
	// ctx is done when the link to the VM is no longer kept; cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc
	// done is closed when the peer's goroutine has ended.
	done chan struct{}
}

// redialDelay is the delay before a broken or failed link is dialled again.
const redialDelay = config.Span(200 * time.Millisecond)

// maintainLink keeps a link to p open and sends heartbeats on it until ctx is done.
func (ps *peers) maintainLink(ctx context.Context, p *peer) {
	for ctx.Err() == nil {
		c, err := ps.e.Local.Dial(ctx, p.vm.Link)
		if err == nil {
			p.open(c)
			ps.sendHeartbeats(ctx, p, c)
			p.close(c)
			c.Close()
		}
		p.setTried()
		tasks.Pause(ctx, redialDelay.After(time.Now()))
	}
}

func (p *peer) setTried() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tried = true
}

func (p *peer) open(c *link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = c
	close(p.opened)
	p.opened = make(chan struct{})
}

func (p *peer) close(c *link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == c {
		p.conn = nil
	}
}

// sendHeartbeats sends heartbeats over c, every HeartbeatInterval and when requested, until
// c breaks, a heartbeat fails or ctx is done.
func (ps *peers) sendHeartbeats(ctx context.Context, p *peer, c *link.Conn) {
	for {
		if !ps.sendHeartbeat(ctx, p, c) {
			return
		}
		t := time.NewTimer(time.Until(ps.e.settings.HeartbeatInterval.After(time.Now())))
		select {
		case <-t.C:
		case <-p.heartbeatNow:
		case <-c.Done():
		case <-ctx.Done():
		}
		t.Stop()
		if ctx.Err() != nil || tasks.IsDone(c.Done()) {
			return
		}
	}
}

// sendHeartbeat sends one heartbeat and stores the reply. It returns false if it gets no
// answer within SuspectAfter or the link breaks; the link is then to be closed, and the
// settled runs are kept for the next heartbeat.
func (ps *peers) sendHeartbeat(ctx context.Context, p *peer, c *link.Conn) bool {
	p.mu.Lock()
	settled := p.settled
	p.settled = nil
	released := p.load.Leaving && p.inFlight == 0
	p.mu.Unlock()
	call, cancel := context.WithDeadline(ctx, ps.e.settings.SuspectAfter.After(time.Now()))
	defer cancel()
	var reply wire.HeartbeatReply
	err := c.Call(call, wire.MethodHeartbeat, wire.Heartbeat{Stamp: ps.e.Stamp(), Settled: settled, Released: released}, &reply)
	if err != nil {
		p.mu.Lock()
		p.settled = append(settled, p.settled...)
		p.mu.Unlock()
		return false
	}
	ps.e.Holder.CatchUp(ctx, c, reply.Revision)
	if reply.Revision == ps.e.Holder.Revision() {
		ps.e.Holder.Confirm()
	}
	ps.e.recordCrashes(p, c.Peer.Incarnation, reply.Load.Crashes)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tried = true
	p.setLoad(reply.Load, ps.e.Now())
	p.suspectAt = ps.e.settings.SuspectAfter.After(ps.e.Now())
	return true
}

// setLoad stores a load that the guard reported at now; p.mu is held. If the guard starts
// to leave and this entry has no run there, it requests a heartbeat at once, which reports
// Released.
func (p *peer) setLoad(l wire.Load, now time.Time) {
	startsLeaving := l.Leaving && !p.load.Leaving
	p.load = l
	// Zero rather than now: a concurrent request may have read the clock slightly earlier.
	p.backoffUntil = time.Time{}
	if l.BackoffMs > 0 {
		p.backoffUntil = now.Add(time.Duration(l.BackoffMs) * time.Millisecond)
	}
	if startsLeaving && p.inFlight == 0 {
		p.requestHeartbeat()
	}
}

// requestHeartbeat triggers a heartbeat at once. It does not block.
func (p *peer) requestHeartbeat() {
	select {
	case p.heartbeatNow <- struct{}{}:
	default:
	}
}

// beginRun counts a run that is about to be sent and returns the link for it. It returns
// nil if there is no link or the guard is leaving.
func (p *peer) beginRun() *link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || p.load.Leaving {
		return nil
	}
	p.inFlight++
	return p.conn
}

// dropIfIdle closes the link of a peer if this entry has no run there, and reports whether
// it did.
func (p *peer) dropIfIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight > 0 {
		return false
	}
	p.cancel()
	return true
}

// endRun ends a run that beginRun counted. It requests a heartbeat if the guard is leaving
// and this was the last run there.
func (p *peer) endRun() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	if p.inFlight == 0 && p.load.Leaving {
		p.requestHeartbeat()
	}
}

// handleLoad stores a load that a guard sends without waiting for the next heartbeat.
func (e *Entry) handleLoad(c *link.Conn, n wire.LoadNotice) {
	e.peers.mu.Lock()
	p, ok := e.peers.byVM[c.Peer.VM]
	e.peers.mu.Unlock()
	if !ok {
		return
	}
	e.recordCrashes(p, c.Peer.Incarnation, n.Load.Crashes)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == c {
		p.setLoad(n.Load, e.Now())
	}
}

// usable reports whether p may get new runs; p.mu is held.
func (p *peer) usable(now time.Time) bool {
	return p.conn != nil && !p.load.Leaving && !p.load.Down && !now.Before(p.backoffUntil) && now.Before(p.suspectAt)
}
