// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package poison

import (
	"maps"
	"slices"
	"time"
)

// Book is what one process knows of requests and the crashes of endpoints. Use NewBook.
type Book struct {
	// Held is called when a suspect is found to be held: others were at its crashes, which keep
	// it from being quarantined. Set it before the first crash; nil tells nobody.
	Held     func(p Fingerprint, crashes int)
	suspects map[Fingerprint]*suspect
	records  map[Fingerprint]*record
	// causes holds the requests under whose verdicts the crashes of an endpoint are, by its
	// hash.
	causes map[uint64][]Fingerprint
	// recent holds the crashes that word of came, whatever ran there; at most recentMost.
	recent []sighting
	// pending holds the suspects that are to be judged, and from when on: later crashes don't
	// put that off.
	pending map[Fingerprint]time.Time
}

// record is a verdict with what this process did about it.
type record struct {
	Verdict
	// changedAt is when it came or changed here, and triedAt when the request was let
	// through last, after its time.
	changedAt, triedAt time.Time
	// stored is the round that the store holds; 0 for none.
	stored int
}

const (
	// suspectFor is how long crashes under a request are remembered beyond the last of them.
	suspectFor = 10 * time.Minute
	// suspectsMost and recordsMost bound the memory; the oldest make room. Suspects of two
	// crashes each take 0.9 MB, records of three 0.5 MB and of crashesKept 5.5 MB.
	suspectsMost = 4096
	recordsMost  = 1024
	// recentMost bounds the crashes that are told apart from one another. They are kept as long as
	// suspects, whose older crashes would else seem to have come alone.
	recentMost = 256
	// tryEvery is how often a request is let through by one process once its time is over:
	// it crashes its endpoint and all processes know of it sooner.
	tryEvery = 5 * time.Second
	// tryStep is how much later the next process in rank lets it through.
	tryStep = 2 * time.Second
	// freshFor is how long a change is told again and again.
	freshFor = 10 * time.Second
)

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{suspects: make(map[Fingerprint]*suspect), records: make(map[Fingerprint]*record), causes: make(map[uint64][]Fingerprint), pending: make(map[Fingerprint]time.Time)}
}

// Empty reports whether nothing is known of any request.
func (b *Book) Empty() bool { return len(b.suspects) == 0 && len(b.records) == 0 }

// Counts returns how many requests are suspected and how many are quarantined.
func (b *Book) Counts() (suspects, quarantined int) {
	for _, r := range b.records {
		if r.InForce() {
			quarantined++
		}
	}
	return len(b.suspects), quarantined
}

// Crashes returns how many endpoints crashed under a request that is not quarantined.
func (b *Book) Crashes(p Fingerprint) int {
	if s := b.suspects[p]; s != nil {
		return len(s.crashes)
	}
	return 0
}

// EnoughWith reports whether a request under which endpoints crashed is to be judged if so many more
// have.
func (b *Book) EnoughWith(p Fingerprint, more int) bool {
	n := b.Crashes(p)
	return n > 0 && more > 0 && n+more >= crashesLeast
}

// Round returns the round of what is held of a request; 0 for nothing.
func (b *Book) Round(p Fingerprint) int {
	if r := b.records[p]; r != nil {
		return r.Round
	}
	return 0
}

// Crashed notes that an endpoint crashed under a request that had been there for so long; own says
// that this process saw it itself. It returns the verdicts that are new or changed by that at
// once; pending says that Judge is to follow.
func (b *Book) Crashed(now time.Time, p Fingerprint, endpoint uint64, age time.Duration, own bool) (changed []Verdict, pending bool) {
	e := Crash{endpoint, now}
	b.notice(e, own)
	r := b.records[p]
	if r != nil && r.InForce() && now.Before(r.Until) {
		if !b.grow(now, r, e) {
			return nil, false
		}
		return append([]Verdict{r.Verdict}, b.overrule(now, r.Crashes)...), false
	}
	if r != nil && len(r.Crashes) > 0 && b.explaining(e, p, 0) == nil {
		return b.quarantine(now, p, []Crash{e}), false
	}
	return nil, b.suspect(now, p, e, age)
}

// suspect notes a crash under a request that is not quarantined, and reports whether it is to be
// judged for that.
func (b *Book) suspect(now time.Time, p Fingerprint, e Crash, age time.Duration) (pending bool) {
	s := b.suspectOf(p)
	if !s.add(e, age) || len(s.crashes) < crashesLeast {
		return false
	}
	if _, ok := b.pending[p]; !ok {
		b.pending[p] = now.Add(SettleFor)
	}
	return true
}

// suspectOf returns what is known of a suspect, for which room is made if it is new.
func (b *Book) suspectOf(p Fingerprint) *suspect {
	s := b.suspects[p]
	if s == nil {
		s = &suspect{}
		if len(b.suspects) >= suspectsMost {
			delete(b.suspects, oldest(b.suspects, func(s *suspect) time.Time { return s.at }))
		}
		b.suspects[p] = s
	}
	return s
}

// JudgedAt returns when a request is to be judged; ok is false if it is not.
func (b *Book) JudgedAt(p Fingerprint) (at time.Time, ok bool) {
	at, ok = b.pending[p]
	return at, ok
}

// notice keeps a crash among the recent ones.
func (b *Book) notice(e Crash, own bool) {
	for i := range b.recent {
		if r := &b.recent[i]; r.same(e) {
			r.own = r.own || own
			return
		}
	}
	if len(b.recent) >= recentMost {
		b.recent = b.recent[1:]
	}
	b.recent = append(b.recent, sighting{e, own})
}

// Whole notes that an endpoint answered a request whole, which proves that it does not crash
// what runs it. It returns the verdict that is lifted by that; nil for none.
func (b *Book) Whole(now time.Time, p Fingerprint) *Verdict {
	delete(b.suspects, p)
	return b.Lift(now, p)
}

// Lift ends the quarantine of a request, as if nothing had crashed under it, and returns the
// lifted verdict; nil if it was in none.
func (b *Book) Lift(now time.Time, p Fingerprint) *Verdict {
	r := b.records[p]
	if r == nil || !r.InForce() {
		return nil
	}
	v := r.next(now)
	v.Crashes = nil
	b.keep(now, v)
	return &v
}

// keep takes a verdict for the one that holds.
func (b *Book) keep(now time.Time, v Verdict) {
	r := b.records[v.Fingerprint]
	if r == nil {
		if len(b.records) >= recordsMost {
			b.forget(oldest(b.records, func(r *record) time.Time { return r.Until }))
		}
		r = &record{}
		b.records[v.Fingerprint] = r
	}
	b.unlink(r)
	r.Verdict, r.changedAt = v, now
	b.link(v.Fingerprint, v.Crashes)
}

// grow adds crashes to a record, and reports whether there were any that it lacked.
func (b *Book) grow(now time.Time, r *record, crashes ...Crash) (grown bool) {
	known := len(r.Crashes)
	if r.Crashes, grown = join(r.Crashes, crashes...); grown {
		b.link(r.Fingerprint, r.Crashes[known:])
		r.changedAt = now
	}
	return grown
}

// link notes what the crashes of a verdict came from, unlink takes that back.
func (b *Book) link(p Fingerprint, crashes []Crash) {
	for _, e := range crashes {
		b.causes[e.Endpoint] = append(b.causes[e.Endpoint], p)
	}
}

func (b *Book) unlink(r *record) {
	for _, e := range r.Crashes {
		list := slices.DeleteFunc(b.causes[e.Endpoint], func(p Fingerprint) bool { return p == r.Fingerprint })
		if b.causes[e.Endpoint] = list; len(list) == 0 {
			delete(b.causes, e.Endpoint)
		}
	}
}

// forget drops what is held of a request.
func (b *Book) forget(p Fingerprint) {
	b.unlink(b.records[p])
	delete(b.records, p)
}

// Learn takes over what another process or the store holds, and reports whether that is a new
// verdict. Until is bounded by how long a verdict of its round may last.
func (b *Book) Learn(now time.Time, v Verdict) bool {
	if v.Round <= 0 {
		b.recall(v)
		return false
	}
	if most := now.Add(v.hold()); v.Until.After(most) {
		v.Until = most
	}
	r := b.records[v.Fingerprint]
	switch {
	case now.After(v.forgottenAt()) || r != nil && v.Round < r.Round:
		return false
	case r == nil || v.Round > r.Round:
		v.Crashes, _ = join(nil, v.Crashes...)
		delete(b.suspects, v.Fingerprint)
		b.keep(now, v)
	default:
		return b.grow(now, r, v.Crashes...)
	}
	return true
}

// Refuses returns the verdict for which a request is not to be sent now; nil if it may be.
// Once its time is over the process of rank 0 lets one through in each tryEvery, and those
// of further ranks later: the first that crashes its endpoint renews the verdict for all. rank
// returns this process's rank for a request.
func (b *Book) Refuses(now time.Time, p Fingerprint, rank func(p Fingerprint) int) *Verdict {
	r := b.records[p]
	if r == nil || !r.InForce() {
		return nil
	}
	if now.Before(r.Until) || now.Sub(r.triedAt) < tryEvery || now.Before(r.Until.Add(time.Duration(rank(p))*tryStep)) {
		return &r.Verdict
	}
	r.triedAt = now
	return nil
}

// Fresh returns the verdicts that other processes may not know yet, the latest first: those
// that changed lately, and those that the store lacks.
func (b *Book) Fresh(now time.Time, most int) []Verdict {
	var list []*record
	for _, r := range b.records {
		if now.Sub(r.changedAt) <= freshFor || r.InForce() && r.stored != r.Round {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *record) int { return b.changedAt.Compare(a.changedAt) })
	var fresh []Verdict
	for _, r := range list[:min(len(list), most)] {
		fresh = append(fresh, r.Verdict)
	}
	return fresh
}

// Unstored returns a verdict that the store lacks, or holds though it was lifted; nil for none.
// rank returns this process's rank for a request: those of further ranks wait, so that one
// writes.
func (b *Book) Unstored(now time.Time, step time.Duration, rank func(p Fingerprint) int) *Verdict {
	for _, r := range b.records {
		due := r.InForce() && r.stored != r.Round || !r.InForce() && r.stored > 0
		if due && now.Sub(r.changedAt) >= time.Duration(rank(r.Fingerprint))*step {
			v := r.Verdict
			return &v
		}
	}
	return nil
}

// Stored notes the round of a request's verdict that the store holds; 0 for none.
func (b *Book) Stored(p Fingerprint, round int) {
	if r := b.records[p]; r != nil {
		r.stored = round
	}
}

// Removed notes that the store holds no verdict of a request any more, as an operator or
// another process has removed it, and returns the verdict that is lifted by that; nil for
// none. One that was never stored, or was renewed since, stays.
func (b *Book) Removed(now time.Time, p Fingerprint) *Verdict {
	r := b.records[p]
	if r == nil {
		return nil
	}
	was := r.stored
	r.stored = 0
	if was != r.Round {
		return nil
	}
	return b.Lift(now, p)
}

// Expire forgets what is old, and returns the requests whose verdicts the store still holds.
func (b *Book) Expire(now time.Time) (stored []Fingerprint) {
	maps.DeleteFunc(b.suspects, func(_ Fingerprint, s *suspect) bool { return now.Sub(s.at) > suspectFor })
	b.recent = slices.DeleteFunc(b.recent, func(e sighting) bool { return now.Sub(e.At) > suspectFor })
	for p, r := range b.records {
		if now.Before(r.forgottenAt()) {
			continue
		}
		if r.stored > 0 {
			stored = append(stored, p)
		}
		b.forget(p)
	}
	return stored
}

// oldest returns the key of the value with the earliest time; the map is not empty.
func oldest[T any](in map[Fingerprint]*T, at func(*T) time.Time) (first Fingerprint) {
	var firstAt time.Time
	for p, v := range in {
		if t := at(v); firstAt.IsZero() || t.Before(firstAt) {
			first, firstAt = p, t
		}
	}
	return first
}
