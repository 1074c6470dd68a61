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

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/route"
)

// peers maintains the links of an entry to endpoints, as the VM list requires.
type peers struct {
	e *Entry
	// mu guards the fields below. It may be held when a peer's mu is locked, not the reverse.
	mu sync.Mutex
	// byVM holds the peers that get new runs, by VM name.
	byVM map[string]*peer
	// retired holds the peers that get no new runs but still have one in flight.
	retired []*peer
	// entries holds the live entry VMs of the latest VM list.
	entries []store.VM
	// endpoints holds the live endpoint VMs of the latest VM list, by name.
	endpoints map[string]store.VM
	// listed reports that the VM list was read at least once.
	listed bool
}

// listTimeout bounds one read of the VM list.
const listTimeout = 3 * time.Second

// pollVMs reads the VM list every ListInterval and applies it, until ctx is done. It then
// closes all links.
func (ps *peers) pollVMs(ctx context.Context) error {
	defer ps.dropAll()
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		vms, err := ps.e.VMs.List(call)
		cancel()
		if err == nil {
			ps.update(ctx, vms)
		} else {
			ps.e.Log.Warn("entry: The VM list could not be read; the latest one stays in use.", logs.Err(err))
		}
		tasks.Pause(ctx, ps.e.settings.ListInterval.After(time.Now()))
	}
	return nil
}

// update applies a VM list. It opens links to the endpoints that subset returns and retires
// all other peers; a retired peer is dropped once it has no run.
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
			ps.retired = append(ps.retired, p)
			delete(ps.byVM, name)
		}
	}
	ps.retired = slices.DeleteFunc(ps.retired, (*peer).dropIfIdle)
	for name, vm := range wanted {
		if _, ok := ps.byVM[name]; !ok {
			ps.byVM[name] = ps.start(ctx, vm)
		}
	}
}

// subset chooses at most n live endpoints of each pool by rendezvous hashing (Thaler and
// Ravishankar, 1998), so that the entries spread over the endpoints.
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

// rank compares two names by their rendezvous hash with self. The name with the greater
// hash comes first.
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

// linkCount returns the number of endpoints that the entry maintains a link to.
func (ps *peers) linkCount() int {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return len(ps.byVM)
}

// start adds a peer for an endpoint VM and starts the goroutine that maintains its link.
func (ps *peers) start(ctx context.Context, vm store.VM) *peer {
	p := &peer{vm: vm, opened: make(chan struct{}), heartbeatNow: make(chan struct{}, 1), done: make(chan struct{})}
	p.ctx, p.cancel = context.WithCancel(ctx)
	go func() {
		defer close(p.done)
		ps.maintainLink(p.ctx, p)
	}()
	return p
}

// dropAll closes all links and waits for their goroutines.
func (ps *peers) dropAll() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.byVM {
		p.cancel()
		<-p.done
	}
	for _, p := range ps.retired {
		p.cancel()
		<-p.done
	}
	clear(ps.byVM)
	ps.retired = nil
}

// ready reports whether the VM list was read and a link to every chosen endpoint was
// attempted.
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

// requestHeartbeats triggers a heartbeat on every link, so that a new revision of the
// settings reaches the guards at once.
func (ps *peers) requestHeartbeats() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.byVM {
		p.requestHeartbeat()
	}
}

// view returns the endpoints for a routing decision, and their peers in the same order.
// They are sorted by VM name, so that a decision can be replayed.
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
			InFlight:         p.inFlight,
			Versions:         p.load.Versions,
			Usable:           p.usable(now),
		}
		p.mu.Unlock()
	}
	return route.NewView(endpoints), list
}

// watchersPerZone is the number of entries per availability zone that watch the platform
// for new settings.
const watchersPerZone = 2

// watching reports whether this entry is one of the watchersPerZone entries of its zone
// that watch the platform, chosen by rendezvous hashing. An entry that knows of no other
// entries watches.
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
