// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fleet is what a router knows of the others. Use NewFleet.
type Fleet struct {
	self string
	mu   sync.Mutex
	// byName holds the registered routers, this one too.
	byName map[string]Peer
	// byRank holds them by rank; nil after a change. See rank.
	byRank []Peer
	// generation grows whenever a router that may send comes or goes; see Hashes.
	generation uint64
	// removedUntil holds until when a router that is not registered any more may still send.
	removedUntil map[string]time.Time
	// Now is the clock.
	Now func() time.Time
	// backoffUntil holds until when a peer that did not answer well is not asked.
	backoffUntil map[string]time.Time
	// leaving says that this router stops and leaves the store to the others.
	leaving bool
	// noAnswerSince holds since when a peer gives no answer at all.
	noAnswerSince map[string]time.Time
}

const (
	// minSources is how many routers the others ask at least, and how many ask the store: two,
	// so that one can fail without any other noticing more than a second.
	minSources = 2
	// maxPullersPerSource is how many routers one of them answers at most on average. In
	// a sweep of 300 routers, two that answered all used 16 % of
	// a core where the others used 3 %.
	maxPullersPerSource = 40
)

// sourceCount returns how many of n routers the others ask.
func sourceCount(n int) int { return max(minSources, n/maxPullersPerSource) }

// readerCount returns how many of n routers ask the store. Where more routers are asked, these are
// relays, which ask the readerCount: what is called of the store does not grow with the fleet.
func readerCount(n int) int { return max(minSources, sourceCount(n)/maxPullersPerSource) }

// relayCount returns how many of n routers pass on what the readers know; 0 where the others ask the
// readers themselves.
func relayCount(n int) int {
	if sourceCount(n) <= readerCount(n) {
		return 0
	}
	return sourceCount(n)
}

const (
	// noAnswerBackoff is how long a peer that gave no answer is not asked, illFor one that
	// was ill informed: it may be well informed soon, as one that begins to ask the
	// store.
	noAnswerBackoff = 3 * time.Second
	staleBackoff    = time.Second
)

// NewFleet returns a fleet of one.
func NewFleet(self string) *Fleet {
	return &Fleet{self: self, byName: make(map[string]Peer), backoffUntil: make(map[string]time.Time), noAnswerSince: make(map[string]time.Time), removedUntil: make(map[string]time.Time), Now: time.Now}
}

// Put takes over a registered router.
func (f *Fleet) Put(p Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, listed := f.byName[p.Name]
	_, sends := f.removedUntil[p.Name]
	if !listed && !sends {
		f.generation++
	}
	delete(f.removedUntil, p.Name)
	f.byName[p.Name] = p
	f.byRank = nil
	delete(f.backoffUntil, p.Name)
	delete(f.noAnswerSince, p.Name)
}

// Remove forgets a router.
func (f *Fleet) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.byName[name]; ok {
		f.removedUntil[name] = f.Now().Add(removedSenderTTL)
	}
	delete(f.byName, name)
	f.byRank = nil
}

// ranked returns the routers by rank; mu is held.
func (f *Fleet) ranked() []Peer {
	if f.byRank == nil {
		f.byRank = sortByRank(slices.Collect(maps.Values(f.byName)))
	}
	return f.byRank
}

// sortByRank orders routers, the same way everywhere: first the most able one of each
// availability zone, then the second of each, so that the few that read the store and
// answer the others are spread over the zones, on the VMs that bear it best.
func sortByRank(list []Peer) []Peer {
	hash := make(map[string]uint64, len(list))
	for _, p := range list {
		hash[p.Name] = xxhash.Sum64String(p.Name)
	}
	byHash := func(a, b Peer) int {
		return cmp.Or(cmp.Compare(hash[a.Name], hash[b.Name]), cmp.Compare(a.Name, b.Name))
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Or(cmp.Compare(b.Millicores, a.Millicores), byHash(a, b)) })
	inZone, place := make(map[string]int), make(map[string]int, len(list))
	for _, p := range list {
		place[p.Name] = inZone[p.Zone]
		inZone[p.Zone]++
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Or(cmp.Compare(place[a.Name], place[b.Name]), byHash(a, b)) })
	return list
}

// removedSenderTTL is how long a router that is not registered any more counts among those that may send:
// one that stops answers for some seconds more, and one that others removed as silent may be well
// and only not reach them, until it has registered again.
const removedSenderTTL = 15 * time.Second

// Generation returns a number that grows whenever a router that may send comes or goes.
func (f *Fleet) Generation() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireRemoved()
	return f.generation
}

// expireRemoved forgets the routers that send no more; mu is held.
func (f *Fleet) expireRemoved() {
	now := f.Now()
	for name, until := range f.removedUntil {
		if !now.Before(until) {
			delete(f.removedUntil, name)
			f.generation++
		}
	}
}

// SenderCount returns how many routers may send.
func (f *Fleet) SenderCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireRemoved()
	return len(f.byName) + len(f.removedUntil)
}

// SenderHashes returns what the routers are known by where each works out for itself what its part
// is, this one and all that may send, of which generation they are.
func (f *Fleet) SenderHashes() (self uint64, all []uint64, generation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireRemoved()
	all = make([]uint64, 0, len(f.byName)+len(f.removedUntil))
	for _, names := range []iter.Seq[string]{maps.Keys(f.byName), maps.Keys(f.removedUntil)} {
		for name := range names {
			all = append(all, xxhash.Sum64String(name))
		}
	}
	return xxhash.Sum64String(f.self), all, f.generation
}

// Len returns how many routers are registered.
func (f *Fleet) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byName)
}

// PullAttempts returns how many peers this router asks in a row before it does something else.
func (f *Fleet) PullAttempts(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isRelay(now) {
		return readerCount(len(f.byName))
	}
	return sourceCount(len(f.byName))
}

// IsRelay reports whether this router is one of those that pass on what the readers know.
func (f *Fleet) IsRelay(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isRelay(now)
}

// isRelay is Relay; mu is held.
func (f *Fleet) isRelay(now time.Time) bool {
	n := len(f.byName)
	rank, ok := f.currentRank(now)
	return ok && rank >= readerCount(n) && rank < readerCount(n)+relayCount(n)
}

// Registered reports whether this router is among the registered ones.
func (f *Fleet) Registered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.byName[f.self]
	return ok
}

// ReadsStore reports whether this router is one of those that ask the store for all.
// One that is not registered asks for itself, unless it leaves and others are there.
func (f *Fleet) ReadsStore(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	rank, ok := f.currentRank(now)
	if ok {
		return rank < readerCount(len(f.byName))
	}
	return !f.leaving || rank == 0
}

// currentRank returns how many others that are not shunned come before this router, or if it
// is not registered, how many there are; mu is held.
func (f *Fleet) currentRank(now time.Time) (rank int, registered bool) {
	return f.currentRankExcept(now, "")
}

// currentRankExcept is rankOf, but for one of the others; mu is held.
func (f *Fleet) currentRankExcept(now time.Time, except string) (rank int, registered bool) {
	for _, p := range f.ranked() {
		if p.Name == f.self {
			return rank, true
		}
		if p.Name != except && now.After(f.backoffUntil[p.Name]) {
			rank++
		}
	}
	return rank, false
}

// IsPrimaryReader reports whether this router is one of the first, whatever became of the others.
func (f *Fleet) IsPrimaryReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	rank, ok := f.currentRank(farFuture)
	return ok && rank < readerCount(len(f.byName))
}

// farFuture is when nobody is shunned any more.
var farFuture = time.Unix(1<<40, 0)

// SetLeaving notes that this router stops.
func (f *Fleet) SetLeaving() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
}

// PickPeer returns the peer to ask: of the first that answered well one in the own
// availability zone, if there is one; draw spreads the load over them. ok is false if
// there is none. From all, any peer is meant.
func (f *Fleet) PickPeer(now time.Time, draw uint64, all bool) (p Peer, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var candidates []Peer
	if all {
		candidates = f.available(now, len(f.byName))
	} else {
		candidates = f.sameZone(f.sources(now))
	}
	if len(candidates) == 0 {
		return Peer{}, false
	}
	return candidates[draw%uint64(len(candidates))], true
}

// available returns the first so many of the other routers by rank that are not shunned; mu is held.
func (f *Fleet) available(now time.Time, limit int) (list []Peer) {
	for _, p := range f.ranked() {
		if len(list) >= limit {
			break
		}
		if p.Name != f.self && now.After(f.backoffUntil[p.Name]) {
			list = append(list, p)
		}
	}
	return list
}

// sources returns the open routers that this one asks: the readers if it is one of the first or there
// are no relays, and otherwise the relays; mu is held.
func (f *Fleet) sources(now time.Time) []Peer {
	n := len(f.byName)
	first := readerCount(n) + relayCount(n)
	available := f.available(now, first)
	rank, ok := f.currentRank(now)
	if relayCount(n) == 0 || ok && rank < first || len(available) <= readerCount(n) {
		return available[:min(len(available), readerCount(n))]
	}
	return available[readerCount(n):]
}

// PickPrimary returns one of the first routers, whatever became of it; draw spreads the load over
// them. ok is false if there is none but this one.
func (f *Fleet) PickPrimary(draw uint64) (p Peer, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.sources(farFuture)
	if len(list) == 0 {
		return Peer{}, false
	}
	return list[draw%uint64(len(list))], true
}

// sameZone returns those of a list that are in this router's availability zone; the whole list
// if there are none, or if that zone is not known. mu is held.
func (f *Fleet) sameZone(list []Peer) []Peer {
	zone := f.byName[f.self].Zone
	if zone == "" {
		return list
	}
	var near []Peer
	for _, p := range list {
		if p.Zone == zone {
			near = append(near, p)
		}
	}
	if len(near) == 0 {
		return list
	}
	return near
}

// BackOff leaves a peer alone until a time.
func (f *Fleet) BackOff(name string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backoffUntil[name] = until
}

// RecordStale leaves a peer alone for a while that was ill informed.
func (f *Fleet) RecordStale(name string, now time.Time) {
	f.BackOff(name, now.Add(staleBackoff))
}

// RecordNoAnswer notes that a peer gave no answer; it is left alone for a while.
func (f *Fleet) RecordNoAnswer(name string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backoffUntil[name] = now.Add(noAnswerBackoff)
	if f.noAnswerSince[name].IsZero() {
		f.noAnswerSince[name] = now
	}
}

// RecordAnswer notes that a peer gave an answer.
func (f *Fleet) RecordAnswer(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.noAnswerSince, name)
}

// unresponsiveAfter is how long a peer must be silent for its registration to be
// removed. A killed one is back and registered anew within seconds.
const unresponsiveAfter = 12 * time.Second

// Unresponsive returns the registered peers that have been silent for long.
func (f *Fleet) Unresponsive(now time.Time) (list []Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.ranked() {
		if since := f.noAnswerSince[p.Name]; !since.IsZero() && now.Sub(since) > unresponsiveAfter {
			list = append(list, p)
		}
	}
	return list
}
