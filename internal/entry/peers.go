// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/route"
)

// peer is one endpoint VM that the entry keeps a link to.
type peer struct {
	vm store.VM
	mu sync.Mutex
	// conn is the open link; nil without one.
	conn *link.Conn
	// load is what the guard last said.
	load wire.Load
	// suspectAt is when the endpoint counts as silent; it moves with every
	// answered heartbeat.
	suspectAt time.Time
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

// peers keeps the links of an entry in step with the VM list.
type peers struct {
	e  *Entry
	mu sync.Mutex
	// byVM holds the peers by VM name.
	byVM map[string]*peer
	// entries holds the live entry VMs as last listed.
	entries []store.VM
	// endpoints holds the live endpoint VMs by name as last listed.
	endpoints map[string]store.VM
	// listed says that the VM list was read once.
	listed bool
}

// listWithin bounds one reading of the VM list.
const listWithin = 3 * time.Second

// follow reads the VM list until ctx is done.
func (ps *peers) follow(ctx context.Context) error {
	defer ps.dropAll()
	for {
		call, cancel := context.WithTimeout(ctx, listWithin)
		vms, err := ps.e.VMs.List(call)
		cancel()
		if err == nil {
			ps.update(ctx, vms)
		} else {
			ps.e.Log.Warn("peers: The VM list does not answer.", logs.Err(err))
		}
		t := time.NewTimer(time.Until(ps.e.settings.ListEvery.After(time.Now())))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return nil
		}
	}
}

// update links to the chosen subset of every pool and drops the rest.
func (ps *peers) update(ctx context.Context, vms []store.VM) {
	wanted := subset(ps.e.Common.VM, vms, ps.e.settings.LinksPerPool)
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.listed = true
	ps.endpoints = endpointVMs(vms)
	ps.entries = ps.entries[:0]
	for _, vm := range vms {
		if vm.Role == store.RoleEntry && vm.State == store.VMLive {
			ps.entries = append(ps.entries, vm)
		}
	}
	for name, p := range ps.byVM {
		if vm, ok := wanted[name]; !ok || vm.Link != p.vm.Link {
			p.drop()
			delete(ps.byVM, name)
		}
	}
	for name, vm := range wanted {
		if _, ok := ps.byVM[name]; !ok {
			ps.byVM[name] = ps.start(ctx, vm)
		}
	}
}

// subset chooses at most n live endpoints of each pool by rendezvous hashing
// (Thaler and Ravishankar, 1998), so that entries spread over the endpoints.
func subset(self string, vms []store.VM, n int) map[string]store.VM {
	pools := make(map[string][]store.VM)
	for _, vm := range endpointVMs(vms) {
		pools[vm.Pool] = append(pools[vm.Pool], vm)
	}
	out := make(map[string]store.VM)
	for _, pool := range pools {
		slices.SortFunc(pool, func(a, b store.VM) int { return rank(self, a.Name, b.Name) })
		for _, vm := range pool[:min(n, len(pool))] {
			out[vm.Name] = vm
		}
	}
	return out
}

// rank orders two names by their rendezvous hash with self, the greatest
// first.
func rank(self, a, b string) int {
	ha, hb := xxhash.Sum64String(self+"\x00"+a), xxhash.Sum64String(self+"\x00"+b)
	switch {
	case ha > hb:
		return -1
	case ha < hb:
		return 1
	default:
		return strings.Compare(a, b)
	}
}

func (ps *peers) start(ctx context.Context, vm store.VM) *peer {
	p := &peer{vm: vm, opened: make(chan struct{}), poke: make(chan struct{}, 1), ended: make(chan struct{})}
	p.gone, p.drop = context.WithCancel(ctx)
	go func() {
		defer close(p.ended)
		ps.keep(p.gone, p)
	}()
	return p
}

func (ps *peers) dropAll() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.byVM {
		p.drop()
		<-p.ended
	}
	clear(ps.byVM)
}

// redialAfter is how long a broken link waits before it is opened again.
const redialAfter = 200 * time.Millisecond

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
		t := time.NewTimer(redialAfter)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
}

func (p *peer) setTried() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tried = true
}

// ready reports whether the VM list was read and every link was tried.
func (ps *peers) ready() bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.byVM {
		p.mu.Lock()
		tried := p.tried
		p.mu.Unlock()
		if !tried {
			return false
		}
	}
	return ps.listed
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
		if ctx.Err() != nil || isDone(c.Done()) {
			return
		}
	}
}

func isDone(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
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
	var reply wire.BeatReply
	err := c.Call(call, wire.MethodBeat, wire.Beat{Stamp: ps.e.Stamp(), Settled: settled, Released: released}, &reply)
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
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tried = true
	p.setLoad(reply.Load)
	p.suspectAt = ps.e.settings.SuspectAfter.After(ps.e.Now())
	return true
}

// setLoad takes over what the guard says; p.mu is held. A guard that leaves is
// told at once when this entry has no run there.
func (p *peer) setLoad(l wire.Load) {
	news := l.Leaving && !p.load.Leaving
	p.load = l
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
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == c {
		p.setLoad(n.Load)
	}
}

// pokeAll asks every link for a heartbeat at once, so that a new revision
// spreads.
func (ps *peers) pokeAll() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.byVM {
		p.pokeNow()
	}
}

// usable reports whether p may get new work; p.mu is held.
func (p *peer) usable(now time.Time) bool {
	return p.conn != nil && !p.load.Leaving && !p.load.Down && now.Before(p.suspectAt)
}

// view returns the endpoints for a decision, and their peers in the same
// order: by VM name, so that a decision can be replayed.
func (ps *peers) view(now time.Time) (route.View, []*peer) {
	ps.mu.Lock()
	list := make([]*peer, 0, len(ps.byVM))
	for _, p := range ps.byVM {
		list = append(list, p)
	}
	ps.mu.Unlock()
	slices.SortFunc(list, func(a, b *peer) int { return strings.Compare(a.vm.Name, b.vm.Name) })
	endpoints := make([]route.Endpoint, len(list))
	for i, p := range list {
		p.mu.Lock()
		endpoints[i] = route.Endpoint{
			VM:               p.vm.Name,
			Pool:             p.vm.Pool,
			AvailabilityZone: p.vm.AvailabilityZone,
			Slots:            p.load.Slots,
			Running:          p.load.Running,
			Queued:           p.load.Queued,
			Sent:             p.sent,
			Versions:         p.load.Versions,
			Usable:           p.usable(now),
		}
		p.mu.Unlock()
	}
	return route.NewView(endpoints), list
}

// watchersPerZone is how many entries of a zone watch the platform.
const watchersPerZone = 2

// watching reports whether this entry is one of the few of its zone that watch
// the platform. One that knows of no entries watches.
func (ps *peers) watching() bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	before := 0
	self := ps.e.Common.VM
	zone := ps.e.Common.AvailabilityZone
	for _, vm := range ps.entries {
		if vm.AvailabilityZone == zone && vm.Name != self && rank(zone, vm.Name, self) < 0 {
			before++
		}
	}
	return before < watchersPerZone
}
