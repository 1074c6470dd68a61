// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fleet is what a router knows of the others. Use NewFleet.
type Fleet struct {
	self string
	mu   sync.Mutex
	// ranked holds the registered routers, this one too, in an order that is
	// the same everywhere.
	ranked []Peer
	// shunned holds until when a peer that did not answer well is not asked.
	shunned map[string]time.Time
	// leaving says that this router stops and leaves the store to the others.
	leaving bool
	// silent holds since when a peer gives no answer at all.
	silent map[string]time.Time
}

const (
	// askersLeast is how many routers ask the store for all at least: two, so
	// that one can fail without any other noticing more than a second.
	askersLeast = 2
	// askedBy is how many routers one of them answers at most on average. In
	// a sweep of 300 routers, two that answered all used 16 % of
	// a core where the others used 3 %.
	askedBy = 40
)

// askers returns how many of n routers ask the store.
func askers(n int) int { return max(askersLeast, n/askedBy) }

const (
	// shunFor is how long a peer that gave no answer is not asked, illFor one that
	// was ill informed: it may be well informed soon, as one that begins to ask the
	// store.
	shunFor = 3 * time.Second
	illFor  = time.Second
)

// NewFleet returns a fleet of one.
func NewFleet(self string) *Fleet {
	return &Fleet{self: self, shunned: make(map[string]time.Time), silent: make(map[string]time.Time)}
}

// Put takes over a registered router.
func (f *Fleet) Put(p Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(p.Name)
	f.ranked = append(f.ranked, p)
	slices.SortFunc(f.ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	delete(f.shunned, p.Name)
	delete(f.silent, p.Name)
}

// Remove forgets a router.
func (f *Fleet) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(name)
}

func (f *Fleet) remove(name string) {
	f.ranked = slices.DeleteFunc(f.ranked, func(p Peer) bool { return p.Name == name })
}

// Len returns how many routers are registered.
func (f *Fleet) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ranked)
}

// Registered reports whether this router is among the registered ones.
func (f *Fleet) Registered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.ranked, func(p Peer) bool { return p.Name == f.self })
}

// Asker reports whether this router is one of those that ask the store for all.
// One that is not registered asks for itself, unless it leaves and others are there.
func (f *Fleet) Asker(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	rank := 0
	for _, p := range f.ranked {
		if p.Name == f.self {
			return rank < askers(len(f.ranked))
		}
		if now.After(f.shunned[p.Name]) {
			rank++
		}
	}
	return !f.leaving || rank == 0
}

// Leave notes that this router stops.
func (f *Fleet) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
}

// Next returns the peer to ask: one of the first that answered well; draw spreads
// the load over them. ok is false if there is none. From all, any peer is meant.
func (f *Fleet) Next(now time.Time, draw uint64, all bool) (p Peer, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var open []Peer
	for _, q := range f.ranked {
		if q.Name != f.self && now.After(f.shunned[q.Name]) {
			open = append(open, q)
		}
	}
	if !all {
		open = open[:min(askers(len(f.ranked)), len(open))]
	}
	if len(open) == 0 {
		return Peer{}, false
	}
	return open[draw%uint64(len(open))], true
}

// Shun leaves a peer alone for a while that was ill informed.
func (f *Fleet) Shun(name string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shunned[name] = now.Add(illFor)
}

// Fail notes that a peer gave no answer; it is left alone for a while.
func (f *Fleet) Fail(name string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shunned[name] = now.Add(shunFor)
	if f.silent[name].IsZero() {
		f.silent[name] = now
	}
}

// Heard notes that a peer gave an answer.
func (f *Fleet) Heard(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.silent, name)
}

// goneAfter is how long a peer must be silent for its registration to be
// removed. A killed one is back and registered anew within seconds.
const goneAfter = 12 * time.Second

// Gone returns the registered peers that have been silent for long.
func (f *Fleet) Gone(now time.Time) (gone []Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.ranked {
		if since := f.silent[p.Name]; !since.IsZero() && now.Sub(since) > goneAfter {
			gone = append(gone, p)
		}
	}
	return gone
}
