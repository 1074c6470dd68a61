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
	mu sync.Mutex
	// conn is the open link; nil without one.
	conn *link.Conn
	// load is what the guard last said.
	load wire.Load
	// backoffUntil is until when the endpoint wants no run.
	backoffUntil time.Time
	// suspectAt is when the endpoint counts as silent; it moves with every
	// answered heartbeat.
	suspectAt time.Time
	// crashIncarnation is the incarnation of the guard that told of crashes, and crashSeq the number
	// of the last one.
	crashIncarnation string
	crashSeq         uint64
	// inFlight counts this entry's runs there that are not ended.
	inFlight int
	// settled lists runs whose bill is confirmed, for the next heartbeat.
	settled []wire.RunKey
	// opened is closed and replaced when a link opens.
	opened chan struct{}
	// heartbeatNow asks for a heartbeat at once.
	heartbeatNow chan struct{}
	// tried says that a link was tried once.
	tried bool
	// ctx is done when the VM is not to be linked to any more.
	ctx    context.Context
	cancel context.CancelFunc
	// done is closed when the peer's goroutine has done.
	done chan struct{}
}

// redialDelay is how long a broken link waits before it is opened again.
const redialDelay = config.Span(200 * time.Millisecond)

// maintainLink holds a link to p open and beats on it until ctx is done.
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

// sendHeartbeats sends heartbeats over c until it breaks or ctx is done.
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

// sendHeartbeat sends one heartbeat and reports false when the link is of no more use.
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
	ps.e.Holder.Newer(ctx, c, reply.Revision)
	if reply.Revision == ps.e.Holder.Revision() {
		ps.e.Holder.Heard()
	}
	ps.e.recordCrashes(p, c.Peer.Incarnation, reply.Load.Crashes)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tried = true
	p.setLoad(reply.Load, ps.e.Now())
	p.suspectAt = ps.e.settings.SuspectAfter.After(ps.e.Now())
	return true
}

// setLoad takes over what the guard says; p.mu is held. A guard that leaves is
// told at once when this entry has no run there.
func (p *peer) setLoad(l wire.Load, now time.Time) {
	startsLeaving := l.Leaving && !p.load.Leaving
	p.load = l
	// Without a rest it is zero: a request that looks now may have read the clock before.
	p.backoffUntil = time.Time{}
	if l.BackoffMs > 0 {
		p.backoffUntil = now.Add(time.Duration(l.BackoffMs) * time.Millisecond)
	}
	if startsLeaving && p.inFlight == 0 {
		p.requestHeartbeat()
	}
}

func (p *peer) requestHeartbeat() {
	select {
	case p.heartbeatNow <- struct{}{}:
	default:
	}
}

// beginRun counts a run that is about to be sent and returns the link for it, or
// nil if none may be sent.
func (p *peer) beginRun() *link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || p.load.Leaving {
		return nil
	}
	p.inFlight++
	return p.conn
}

// dropIfIdle ends the link of a peer that has no run of this entry, and reports
// whether it did.
func (p *peer) dropIfIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight > 0 {
		return false
	}
	p.cancel()
	return true
}

// endRun uncounts a run.
func (p *peer) endRun() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	if p.inFlight == 0 && p.load.Leaving {
		p.requestHeartbeat()
	}
}

// handleLoad takes the load that a guard tells at once.
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

// usable reports whether p may get new work; p.mu is held.
func (p *peer) usable(now time.Time) bool {
	return p.conn != nil && !p.load.Leaving && !p.load.Down && !now.Before(p.backoffUntil) && now.Before(p.suspectAt)
}
