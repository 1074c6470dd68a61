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
	// restsUntil is until when the endpoint wants no run.
	restsUntil time.Time
	// suspectAt is when the endpoint counts as silent; it moves with every
	// answered heartbeat.
	suspectAt time.Time
	// crashesOf is the incarnation of the guard that told of crashes, and crashSeq the number
	// of the last one.
	crashesOf string
	crashSeq  uint64
	// sent counts this entry's runs there that are not ended.
	sent int
	// settled lists runs whose bill is confirmed, for the next heartbeat.
	settled []wire.RunKey
	// opened is closed and replaced when a link opens.
	opened chan struct{}
	// poke asks for a heartbeat at once.
	poke chan struct{}
	// tried says that a link was tried once.
	tried bool
	// gone is done when the VM is not to be linked to any more.
	gone context.Context
	drop context.CancelFunc
	// ended is closed when the peer's goroutine has ended.
	ended chan struct{}
}

// redialAfter is how long a broken link waits before it is opened again.
const redialAfter = config.Span(200 * time.Millisecond)

// keep holds a link to p open and beats on it until ctx is done.
func (ps *peers) keep(ctx context.Context, p *peer) {
	for ctx.Err() == nil {
		c, err := ps.e.Local.Dial(ctx, p.vm.Link)
		if err == nil {
			p.open(c)
			ps.beatOn(ctx, p, c)
			p.close(c)
			c.Close()
		}
		p.setTried()
		tasks.Pause(ctx, redialAfter.After(time.Now()))
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

// beatOn sends heartbeats over c until it breaks or ctx is done.
func (ps *peers) beatOn(ctx context.Context, p *peer, c *link.Conn) {
	for {
		if !ps.beat(ctx, p, c) {
			return
		}
		t := time.NewTimer(time.Until(ps.e.settings.BeatEvery.After(time.Now())))
		select {
		case <-t.C:
		case <-p.poke:
		case <-c.Done():
		case <-ctx.Done():
		}
		t.Stop()
		if ctx.Err() != nil || tasks.IsDone(c.Done()) {
			return
		}
	}
}

// beat sends one heartbeat and reports false when the link is of no more use.
func (ps *peers) beat(ctx context.Context, p *peer, c *link.Conn) bool {
	p.mu.Lock()
	settled := p.settled
	p.settled = nil
	released := p.load.Leaving && p.sent == 0
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
	ps.e.takeCrashes(p, c.Peer.Incarnation, reply.Load.Crashes)
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
	news := l.Leaving && !p.load.Leaving
	p.load = l
	// Without a rest it is zero: a request that looks now may have read the clock before.
	p.restsUntil = time.Time{}
	if l.BackoffMs > 0 {
		p.restsUntil = now.Add(time.Duration(l.BackoffMs) * time.Millisecond)
	}
	if news && p.sent == 0 {
		p.pokeNow()
	}
}

func (p *peer) pokeNow() {
	select {
	case p.poke <- struct{}{}:
	default:
	}
}

// begin counts a run that is about to be sent and returns the link for it, or
// nil if none may be sent.
func (p *peer) begin() *link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || p.load.Leaving {
		return nil
	}
	p.sent++
	return p.conn
}

// dropIfIdle ends the link of a peer that has no run of this entry, and reports
// whether it did.
func (p *peer) dropIfIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent > 0 {
		return false
	}
	p.drop()
	return true
}

// done uncounts a run.
func (p *peer) done() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent--
	if p.sent == 0 && p.load.Leaving {
		p.pokeNow()
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
	e.takeCrashes(p, c.Peer.Incarnation, n.Load.Crashes)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == c {
		p.setLoad(n.Load, e.Now())
	}
}

// usable reports whether p may get new work; p.mu is held.
func (p *peer) usable(now time.Time) bool {
	return p.conn != nil && !p.load.Leaving && !p.load.Down && !now.Before(p.restsUntil) && now.Before(p.suspectAt)
}
