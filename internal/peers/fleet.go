// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"cmp"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fleet holds the registered routers, ranks them, and records how they answered this router's
// pulls. Create it with NewFleet. It is safe for concurrent use.
type Fleet struct {
	self string
	mu   sync.Mutex
	// byName holds the registered routers by name, including this one.
	byName map[string]Peer
	// byRank holds the routers of byName in the order of sortByRank; nil after a change.
	byRank []Peer
	// generation increases when a router that may send appears or expires; see SenderHashes.
	generation uint64
	// removedUntil holds, for routers whose registration was removed, the end of the time for which
	// they still count as senders; see removedSenderTTL.
	removedUntil map[string]time.Time
	// Now is the clock for the expiry of removed routers; set it before the first use.
	Now func() time.Time
	// backoffUntil holds until when no pull is sent to a peer, by name.
	backoffUntil map[string]time.Time
	// leaving is set once this router stops, and leaves the store to the others.
	leaving bool
	// noAnswerSince holds the time of the first of the pulls that a peer has not answered since its
	// last answer, by name.
	noAnswerSince map[string]time.Time
}

const (
	// minSources is the minimum number of sources, the routers from which the others pull, and of
	// readers, those that read the store. With two, one can fail and no other router is without
	// changes for more than a second.
	minSources = 2
	// maxPullersPerSource is the maximum average number of routers that pull from one source. With
	// 300 routers, two sources for all of them used 16% of a core, where the others used 3%.
	maxPullersPerSource = 40
)

// sourceCount returns the number of sources in a fleet of n routers.
func sourceCount(n int) int { return max(minSources, n/maxPullersPerSource) }

// readerCount returns the number of readers in a fleet of n routers. If there are more sources than
// readers, the sources are relays, which pull from the readers, so that the calls to the store do
// not grow with the fleet.
func readerCount(n int) int { return max(minSources, sourceCount(n)/maxPullersPerSource) }

// relayCount returns the number of relays in a fleet of n routers; 0 if all routers pull from the
// readers.
func relayCount(n int) int {
	if sourceCount(n) <= readerCount(n) {
		return 0
	}
	return sourceCount(n)
}

const (
	// noAnswerBackoff is the back-off from a peer that gave no answer, staleBackoff from one with a
	// stale copy: that one may soon be fresh, for example if it begins to read the store.
	noAnswerBackoff = 3 * time.Second
	staleBackoff    = time.Second
)

// NewFleet returns the fleet of the router named self, with no router registered.
func NewFleet(self string) *Fleet {
	return &Fleet{self: self, byName: make(map[string]Peer), backoffUntil: make(map[string]time.Time), noAnswerSince: make(map[string]time.Time), removedUntil: make(map[string]time.Time), Now: time.Now}
}

// Put stores the registration of a router, in place of an earlier one, and clears its back-off.
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

// Remove removes the registration of a router. The router counts as a sender for removedSenderTTL.
func (f *Fleet) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.byName[name]; ok {
		f.removedUntil[name] = f.Now().Add(removedSenderTTL)
	}
	delete(f.byName, name)
	f.byRank = nil
}

// ranked returns the routers by rank. The caller holds mu.
func (f *Fleet) ranked() []Peer {
	if f.byRank == nil {
		f.byRank = sortByRank(slices.Collect(maps.Values(f.byName)))
	}
	return f.byRank
}

// sortByRank sorts list by rank, the same way in every process, and returns it: first the most
// capable router of each availability zone, then the second of each, and so on. The readers and
// relays are thereby spread over the zones, on the VMs with the most capacity.
func sortByRank(list []Peer) []Peer {
	hash := make(map[string]uint64, len(list))
	for _, p := range list {
		hash[p.Name] = xxhash.Sum64String(p.Name)
	}
	byHash := func(a, b Peer) int {
		return cmp.Or(cmp.Compare(hash[a.Name], hash[b.Name]), cmp.Compare(a.Name, b.Name))
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Or(cmp.Compare(b.Millicores, a.Millicores), byHash(a, b)) })
	inZone, placeInZone := make(map[string]int), make(map[string]int, len(list))
	for _, p := range list {
		placeInZone[p.Name] = inZone[p.Zone]
		inZone[p.Zone]++
	}
	slices.SortFunc(list, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(placeInZone[a.Name], placeInZone[b.Name]), byHash(a, b))
	})
	return list
}

// removedSenderTTL is how long a router whose registration was removed counts as a sender. A router
// that stops still answers for some seconds, and one that others removed as unresponsive may be
// healthy and only unreachable for them, until it has registered again.
const removedSenderTTL = 15 * time.Second

// Generation returns a number that increases when a router that may send appears or expires.
func (f *Fleet) Generation() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireRemoved()
	return f.generation
}

// expireRemoved drops the removed routers whose time as senders is over. The caller holds mu.
func (f *Fleet) expireRemoved() {
	now := f.Now()
	for name, until := range f.removedUntil {
		if !now.Before(until) {
			delete(f.removedUntil, name)
			f.generation++
		}
	}
}

// SenderCount returns the number of routers that may send requests to endpoints: the registered
// ones, and those removed less than removedSenderTTL ago.
func (f *Fleet) SenderCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireRemoved()
	return len(f.byName) + len(f.removedUntil)
}

// SenderHashes returns the hashes of the names of this router and of all that may send (see
// SenderCount), by which each router computes its own share of a limit, and the Generation that
// they belong to.
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

// Len returns the number of registered routers.
func (f *Fleet) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byName)
}

// PullAttempts returns the number of peers that this router pulls from in turn before it tries
// others or the store: the number of readers for a relay, of sources otherwise.
func (f *Fleet) PullAttempts(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isRelay(now) {
		return readerCount(len(f.byName))
	}
	return sourceCount(len(f.byName))
}

// IsRelay reports whether this router is a relay at now, by its rank among the routers that are not
// backed off from.
func (f *Fleet) IsRelay(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isRelay(now)
}

// isRelay is IsRelay for a caller that holds mu.
func (f *Fleet) isRelay(now time.Time) bool {
	n := len(f.byName)
	rank, ok := f.currentRank(now)
	return ok && rank >= readerCount(n) && rank < readerCount(n)+relayCount(n)
}

// Registered reports whether this router is registered.
func (f *Fleet) Registered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.byName[f.self]
	return ok
}

// ReadsStore reports whether this router is a reader at now, by its rank among the routers that are
// not backed off from. A router that is not registered reads the store for itself, unless it is
// leaving and another router is available.
func (f *Fleet) ReadsStore(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	rank, ok := f.currentRank(now)
	if ok {
		return rank < readerCount(len(f.byName))
	}
	return !f.leaving || rank == 0
}

// currentRank returns the number of other routers that precede this one by rank and are not backed
// off from; if this router is not registered, the number of all of them. The caller holds mu.
func (f *Fleet) currentRank(now time.Time) (rank int, registered bool) {
	return f.currentRankExcept(now, "")
}

// currentRankExcept is currentRank without the router named except. The caller holds mu.
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

// IsPrimaryReader reports whether this router is a reader if back-offs are ignored.
func (f *Fleet) IsPrimaryReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	rank, ok := f.currentRank(farFuture)
	return ok && rank < readerCount(len(f.byName))
}

// farFuture is a time at which every back-off has ended.
var farFuture = time.Unix(1<<40, 0)

// SetLeaving records that this router stops.
func (f *Fleet) SetLeaving() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
}

// PickPeer returns the peer for the next pull: one of this router's sources, in its own
// availability zone if there is one, or if all is set, any peer. Peers backed off from at now are
// left out. draw selects among the candidates, to spread the load over them. ok is false if there
// is none.
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

// PickSome returns at most n other routers: first those that are not backed off from at now, in random order, then the
// others by rank.
func (f *Fleet) PickSome(now time.Time, n int) []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	ready := f.available(now, len(f.byName))
	rand.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	for _, p := range f.ranked() {
		if p.Name != f.self && !now.After(f.backoffUntil[p.Name]) {
			ready = append(ready, p)
		}
	}
	return ready[:min(n, len(ready))]
}

// available returns at most limit other routers, the first by rank among those that are not backed
// off from at now. The caller holds mu.
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

// sources returns the peers from which this router pulls and that are not backed off from at now:
// the readers if there are no relays, or none is available, or this router is a reader or relay
// itself, and the relays otherwise. The caller holds mu.
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

// PickPrimary returns one of this router's sources, selected by draw, with back-offs ignored. ok is
// false if there is no other router.
func (f *Fleet) PickPrimary(draw uint64) (p Peer, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.sources(farFuture)
	if len(list) == 0 {
		return Peer{}, false
	}
	return list[draw%uint64(len(list))], true
}

// sameZone returns those of a list that are in this router's availability zone; the whole list if
// there are none or this router's zone is not known. The caller holds mu.
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

// BackOff lets no pull be sent to a peer until a time.
func (f *Fleet) BackOff(name string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backoffUntil[name] = until
}

// RecordStale records at now that a peer's copy is stale, and backs off from it for staleBackoff.
func (f *Fleet) RecordStale(name string, now time.Time) {
	f.BackOff(name, now.Add(staleBackoff))
}

// RecordNoAnswer records at now that a peer did not answer a pull, and backs off from it for
// noAnswerBackoff.
func (f *Fleet) RecordNoAnswer(name string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backoffUntil[name] = now.Add(noAnswerBackoff)
	if f.noAnswerSince[name].IsZero() {
		f.noAnswerSince[name] = now
	}
}

// RecordAnswer records that a peer answered a pull, whether its copy is fresh or not.
func (f *Fleet) RecordAnswer(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.noAnswerSince, name)
}

// HasAnswered reports whether a peer has answered the last pull.
func (f *Fleet) HasAnswered(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.noAnswerSince[name].IsZero()
}

// unresponsiveAfter is the time without an answer after which the registration of a peer may be
// removed. A router that was killed is back and registered again within seconds.
const unresponsiveAfter = 12 * time.Second

// Unresponsive returns the registered peers that at now have answered no pull for more than
// unresponsiveAfter.
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
