// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"maps"
	"slices"
	"time"
)

// TopRanked returns at most limit other routers, the first by rank among those that are not backed
// off from at now.
func (f *Fleet) TopRanked(now time.Time, limit int) []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.available(now, limit)
}

// Get returns the registered router with a name; ok is false if there is none.
func (f *Fleet) Get(name string) (p Peer, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok = f.byName[name]
	return p, ok
}

// Names returns the names of the registered routers, in no particular order.
func (f *Fleet) Names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.byName))
}

// RankExcept returns the number of other routers that precede this one by rank, without those
// backed off from at now and the one named except. If this router is not registered, it counts all
// others.
func (f *Fleet) RankExcept(now time.Time, except string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	rank, _ := f.currentRankExcept(now, except)
	return rank
}
