// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/epoch"
	"github.com/traildrift/traildrift/pkg/mixer"
	"github.com/traildrift/traildrift/pkg/room"
)

// Entry is an endpoint as the endpoint list has it.
type Entry struct {
	// ID identifies the endpoint; it is unique over all services.
	ID string
	// StartedAt is when this incarnation of the endpoint started, by the endpoint's own clock, and
	// identifies the incarnation; zero where endpoints have only one.
	StartedAt time.Time
	Service   string
	Addr      netip.AddrPort
	Zone      string
	// Version is the version of the endpoint's software.
	Version string
	// Slots is the number of runs that the endpoint executes at once.
	Slots int
	// Leaving is set once the endpoint accepts no new work.
	Leaving bool
	// ReceivedAt is when this process received the entry. WarmAt is when the endpoint's warm-up after
	// a start ends, as the entry reports it; WarmReported is false if the entry reports none.
	ReceivedAt, WarmAt time.Time
	WarmReported       bool
	// Revision is the revision of the listed entry; it only grows. Restored is set if the entry was read
	// after the store came back from an older copy, and may be older than the last one before.
	Revision epoch.Revision
	Restored bool
}

// Endpoint is the state of one endpoint.
type Endpoint struct {
	Entry
	Load  Load
	Trust Trust
	Pace  Pace
	// Place estimates when the endpoint accepts a request.
	Place room.Place
	hash  uint64
	warming
	// announced is what the endpoint announced about itself; cachedRank is this process's rank among its senders.
	announced  announced
	cachedRank cachedRank
	// zoneState, warmup and senders are shared with other endpoints of the book.
	zoneState *zone
	warmup    *Warmup
	senders   *senders
	// leaving is set once the endpoint was listed as leaving, announced it, or was removed while the list
	// was readable; it is never reset within an incarnation.
	leaving bool
	// emptySince is when the first entry of this incarnation was received, if there was an incarnation before: what was sent
	// to the endpoint earlier is not in its memory. It is zero for the first incarnation.
	emptySince time.Time
	// lastLeft says that the incarnation before was leaving when this one was listed.
	lastLeft bool
	// graceUntil is when an endpoint that was removed during an outage of the list is dropped; zero
	// for a listed one.
	graceUntil time.Time
	// removedAt is the revision of the removal because of which graceUntil is set.
	removedAt epoch.Revision
	// unconfirmedUntil is when an endpoint that had been removed, and is listed again by a store that came
	// back from an older copy, gets work again unless it has written a later entry; zero for others.
	unconfirmedUntil time.Time
}

// Book is the table of the endpoints of all services. Use NewBook.
type Book struct {
	byID   map[string]*Endpoint
	byHash map[uint64]*Endpoint
	// byService holds the endpoints of each service in the order of their hashes, which is the same
	// in every process.
	byService map[string][]*Endpoint
	prefixes  prefixTable
	// zones holds the state of the known availability zones, warmups the warm-up limits of each service,
	// and senders the processes that share those limits.
	zones   map[string]*zone
	warmups map[string]*Warmup
	senders *senders
	// removed maps removed endpoints to the revision of their removal, so that an older entry that
	// arrives late does not list them again.
	removed map[string]epoch.Revision
	// unlisted holds when endpoints that are no longer listed had started and what they announced. The list may lag by any
	// time and list them again in their state from before the announcement.
	unlisted map[string]pastAnnounced
	// pendingNotices holds notices that peers relayed for incarnations that are not listed here yet, by
	// the incarnation's hash.
	pendingNotices map[uint64]Notice
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{
		byID: make(map[string]*Endpoint), byHash: make(map[uint64]*Endpoint), byService: make(map[string][]*Endpoint), removed: make(map[string]epoch.Revision), unlisted: make(map[string]pastAnnounced), pendingNotices: make(map[uint64]Notice),
		zones: make(map[string]*zone), warmups: make(map[string]*Warmup), senders: new(senders),
	}
}

// maxUnlisted bounds each of the maps of endpoints that are not listed.
const maxUnlisted = 4096

// Put applies a listed entry. It reports whether the endpoint is new, in use again, or changed to
// leaving or to another incarnation; false for an entry that is older than the stored one.
func (b *Book) Put(e Entry) bool {
	if e.Revision < b.removed[e.ID] {
		return false
	}
	p, ok := b.byID[e.ID]
	if !ok {
		b.add(e)
		return true
	}
	if e.Revision < p.Revision {
		return false
	}
	if !e.Restored {
		p.unconfirmedUntil = time.Time{}
	}
	changed := !p.graceUntil.IsZero() || e.Leaving && !p.leaving
	if e.StartedAt.IsZero() {
		// Processes of an earlier release send entries without a start time.
		e.StartedAt = p.StartedAt
	}
	if !e.StartedAt.Equal(p.StartedAt) && !p.StartedAt.IsZero() {
		changed = true
		p.begin(e.ReceivedAt)
	}
	p.Entry = e
	p.leaving = p.leaving || e.Leaving
	p.graceUntil = time.Time{}
	return changed
}

// begin drops what is known of an earlier incarnation and does not apply to the one whose first entry was received at now.
func (p *Endpoint) begin(now time.Time) {
	p.lastLeft = p.leaving
	p.leaving, p.announced, p.Load, p.Pace, p.Place = false, announced{}, Load{}, Pace{}, room.Place{}
	p.Trust.begin()
	p.warming, p.emptySince = warming{firstSeenAt: now}, now
}

// add inserts the entry of an endpoint that is not in the book.
func (b *Book) add(e Entry) {
	p := &Endpoint{Entry: e, zoneState: b.zone(e.Zone), warmup: b.warmup(e.Service), senders: b.senders}
	p.firstSeenAt = e.ReceivedAt
	switch s, ok := b.unlisted[e.ID]; {
	case !ok:
	case e.StartedAt.IsZero() || s.startedAt.Equal(e.StartedAt):
		p.announced = s.announced
	case !s.startedAt.IsZero():
		p.emptySince = e.ReceivedAt
	}
	p.leaving = e.Leaving || p.announced.leaving
	if _, wasRemoved := b.removed[e.ID]; wasRemoved && e.Restored {
		p.unconfirmedUntil = unconfirmedGrace.After(e.ReceivedAt)
	}
	b.byID[e.ID] = p
	b.insert(p)
	if n, ok := b.pendingNotices[p.Incarnation()]; ok {
		p.RecordPeerNotice(n, e.ReceivedAt)
		delete(b.pendingNotices, p.Incarnation())
	}
}

func (b *Book) insert(p *Endpoint) {
	p.hash = HashOf(p.ID)
	b.byHash[p.hash] = p
	list := b.byService[p.Service]
	i, _ := slices.BinarySearchFunc(list, p.hash, func(q *Endpoint, h uint64) int { return cmp.Compare(q.hash, h) })
	b.byService[p.Service] = slices.Insert(list, i, p)
}

// unconfirmedGrace is how long an endpoint that had been removed gets no work when a store that came back from
// an older copy lists it again. The store drops entries whose endpoints are silent within this time.
const unconfirmedGrace = config.Span(5 * time.Second)

// Remove removes an endpoint, unless the book has a newer revision of it. If graceUntil is later than
// now, as after an outage of the list, an endpoint that is not leaving is kept until then, as it may be
// listed again; until the earliest time of several calls.
func (b *Book) Remove(id string, revision epoch.Revision, now, graceUntil time.Time) {
	p, ok := b.byID[id]
	if !ok || revision < p.Revision {
		return
	}
	if !p.leaving && now.Before(graceUntil) {
		if p.graceUntil.IsZero() || graceUntil.Before(p.graceUntil) {
			p.graceUntil, p.removedAt = graceUntil, revision
		}
		return
	}
	b.drop(p, revision)
}

func (b *Book) drop(p *Endpoint, revision epoch.Revision) {
	putBounded(b.removed, p.ID, revision)
	if p.announced.isSet() || !p.StartedAt.IsZero() {
		putBounded(b.unlisted, p.ID, pastAnnounced{p.StartedAt, p.announced})
	}
	delete(b.byID, p.ID)
	delete(b.byHash, p.hash)
	b.byService[p.Service] = slices.DeleteFunc(b.byService[p.Service], func(q *Endpoint) bool { return q == p })
}

// putBounded stores a value for an endpoint that is not listed; a full map is cleared first.
func putBounded[K comparable, T any](m map[K]T, id K, v T) {
	if len(m) >= maxUnlisted {
		clear(m)
	}
	m[id] = v
}

// Expire drops the endpoints whose grace period ended before they were listed again, and returns
// their IDs.
func (b *Book) Expire(now time.Time) []string {
	var ids []string
	for id, p := range b.byID {
		if !p.graceUntil.IsZero() && !now.Before(p.graceUntil) {
			ids = append(ids, id)
			b.drop(p, max(p.Revision+1, p.removedAt))
		}
	}
	return ids
}

// ExtendGrace lets no grace period end before a time.
func (b *Book) ExtendGrace(until time.Time) {
	for _, p := range b.byID {
		if !p.graceUntil.IsZero() && p.graceUntil.Before(until) {
			p.graceUntil = until
		}
	}
}

// Same returns the endpoint of an entry that was taken from the book earlier; nil if it is not listed, or if another
// incarnation of it is.
func (b *Book) Same(e *Entry) *Endpoint {
	if b.Restarted(e) {
		return nil
	}
	return b.byID[e.ID]
}

// Restarted reports whether another incarnation is listed than that of an entry that was taken from the book earlier.
func (b *Book) Restarted(e *Entry) bool {
	p := b.byID[e.ID]
	return p != nil && !e.StartedAt.IsZero() && !e.StartedAt.Equal(p.StartedAt)
}

// Get returns the endpoint with an ID; nil if there is none.
func (b *Book) Get(id string) *Endpoint { return b.byID[id] }

// ByHash returns the endpoint with a hash (see HashOf); nil if there is none.
func (b *Book) ByHash(hash uint64) *Endpoint { return b.byHash[hash] }

// HashOf returns the hash that identifies an endpoint between processes.
func HashOf(id string) uint64 { return mixer.Mix(Hash(id)) }

// Hash returns the hash that identifies the endpoint between processes: HashOf of its ID.
func (p *Endpoint) Hash() uint64 { return p.hash }

// Incarnation returns the hash that identifies this incarnation of the endpoint between processes.
func (p *Endpoint) Incarnation() uint64 {
	if p.StartedAt.IsZero() {
		return p.hash
	}
	return mixer.Mix(p.hash ^ uint64(p.StartedAt.UnixMilli()))
}

// Count returns the number of endpoints of a service whose software version fits.
func (b *Book) Count(service string, fit func(version string) bool) (n int) {
	for _, p := range b.byService[service] {
		if fit(p.Version) {
			n++
		}
	}
	return n
}

// Versions returns the software versions of a service's endpoints, sorted.
func (b *Book) Versions(service string) []string {
	seen := make(map[string]bool)
	for _, p := range b.byService[service] {
		seen[p.Version] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// Size returns the number of endpoints of a service.
func (b *Book) Size(service string) int { return len(b.byService[service]) }

// Serving returns the number of endpoints of a service that may get work now: listed, in an open zone, in
// no rest period and not ejected. One that gets single attempts after it was ejected does not count.
func (b *Book) Serving(service string, now time.Time) (n int) {
	for _, p := range b.byService[service] {
		if p.usable(now) && p.announced.rest.over(now) && p.Trust.mayTry(now, 1) {
			n++
		}
	}
	return n
}

// Len returns the number of endpoints of all services.
func (b *Book) Len() int { return len(b.byID) }

// IsLeaving reports whether the endpoint was listed as leaving, announced it, or was removed while the
// list was readable.
func (p *Endpoint) IsLeaving() bool { return p.leaving }

// LastLeft reports whether the incarnation before this one was leaving, so that it ended as planned.
func (p *Endpoint) LastLeft() bool { return p.lastLeft }

// usable reports whether the endpoint may get new work: its zone is open, and it is listed.
func (p *Endpoint) usable(now time.Time) bool { return !p.zoneState.closed && p.listed(now) }

// listed reports whether the endpoint is listed or within its grace period, and neither leaving nor
// unconfirmed.
func (p *Endpoint) listed(now time.Time) bool {
	return !p.leaving && (p.graceUntil.IsZero() || now.Before(p.graceUntil)) && !now.Before(p.unconfirmedUntil)
}
