// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"maps"
	"slices"
	"time"
)

// TopRanked returns the first so many of the other routers by rank that are not left alone now.
func (f *Fleet) TopRanked(now time.Time, limit int) []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.available(now, limit)
}

// Get returns a registered router.
func (f *Fleet) Get(name string) (p Peer, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok = f.byName[name]
	return p, ok
}

// Names returns the names of the registered routers.
func (f *Fleet) Names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.byName))
}

// RankExcept returns how many other routers in touch come before this one by rank, but for one.
func (f *Fleet) RankExcept(now time.Time, except string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	rank, _ := f.currentRankExcept(now, except)
	return rank
}
