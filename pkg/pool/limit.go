// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import "time"

// LimitWord is what an answer says of its endpoint's limit.
type LimitWord int

// The words of a limit.
const (
	// NoWord leaves what is known as it is.
	NoWord LimitWord = iota
	// Limited names a limit.
	Limited
	// Unlimited says that there is none.
	Unlimited
)

// limit is what is known of an endpoint's limit. The zero value is none.
type limit struct {
	// named says that there is one, of perSecond requests a second.
	named     bool
	perSecond float64
	// namedAt is when it was first named, after a time without.
	namedAt time.Time
	// saidAt is when the last word that named it came, from the endpoint or from another
	// process.
	saidAt time.Time
	// sentAt is when this process sent its last request out of its own share, or granted it to
	// another process; it is kept without a limit too.
	sentAt time.Time
	// endedAt is when the last limit ended; zero if none did.
	endedAt time.Time
	// grantedUntil is until when this process may send one request in the place of another one
	// that has a share; zero for none.
	grantedUntil time.Time
	// askAt is when another process may be asked for that again.
	askAt time.Time
	// toldAt is when the others were told of the limit last.
	toldAt time.Time
}

const (
	// holdersLeast is how many processes share even the lowest limit, and holdersPerRequest how
	// many more do for each request a second. Each sends evenly, so that over any time the
	// endpoint gets what its limit allows, and at most one request more from each of them. Users
	// bear half as much again as the limit allows in 4 s, and 5 requests more: with the limit
	// itself and these that leaves a margin of 3/2 of a second's requests and 2 for processes
	// whose lists differ.
	holdersLeast      = 3
	holdersPerRequest = 0.5
	// limitLeast is the least limit that is kept to, in requests a second: one request in 4 s
	// finds out whether an endpoint that takes none takes some again.
	limitLeast = 0.25
	// doubtAfter is how long without a word of a limit a process that has no share in it waits at
	// least, before it sends one request to find out whether it still holds; doubtShare is the part
	// of the limit that all such requests together take.
	doubtAfter = 10 * time.Second
	doubtShare = 1. / 8
)

// take takes in what the endpoint says of its limit. It reports whether that changed what is known.
func (l *limit) take(n Notice, now time.Time) (changed bool) {
	switch n.Limit {
	case Limited:
		changed = !l.named || l.perSecond != n.PerSecond
		if !l.named {
			l.namedAt = now
		}
		l.named, l.perSecond, l.saidAt = true, n.PerSecond, now
	case Unlimited:
		if changed = l.named; changed {
			l.named, l.perSecond, l.endedAt = false, 0, now
		}
	}
	return changed
}

// Limit returns the requests a second that the endpoint takes from all processes together, by
// its last word; ok is false if it named no limit.
func (p *Endpoint) Limit() (perSecond float64, ok bool) {
	return p.said.limit.perSecond, p.said.limit.named
}

// within reports whether this process may send a request to an endpoint now, as far as the
// endpoint has named a limit.
//
// The processes share a limit without hearing of each other: what one sent is known to the others
// too late, and not at all to one that is cut off or has just started. Only what is left of a share
// is lent, by the process that has it.
func (p *Endpoint) within(now time.Time) bool {
	return !p.said.limit.named || !now.Before(p.limitedUntil()) || now.Before(p.said.limit.grantedUntil)
}

// sends counts a request that this process sends, as granted by another one if there is nothing
// left of its own share. It reports whether it was.
func (l *limit) sends(own bool, now time.Time) (granted bool) {
	if !own && now.Before(l.grantedUntil) {
		l.grantedUntil = time.Time{}
		return true
	}
	l.sentAt = now
	return false
}

// Holders returns how many of the processes that are known share the endpoint's limit, and whether
// this one does.
func (p *Endpoint) Holders() (holders int, self bool) {
	rank, n := p.rank()
	holders = min(n, holdersOf(max(p.said.limit.perSecond, limitLeast)))
	return holders, rank < holders
}

// Grant gives another process a request out of this one's share. Otherwise at is when there is one
// to give. A process that gives all away has nothing left for its own callers until then.
func (p *Endpoint) Grant(now time.Time) (granted bool, at time.Time) {
	at = p.limitedUntil()
	if _, self := p.Holders(); !self || now.Before(at) {
		return false, at
	}
	p.said.limit.sentAt = now
	return true, p.limitedUntil()
}

// Granted notes that another process granted a request that may be sent until a time.
func (p *Endpoint) Granted(until time.Time) { p.said.limit.grantedUntil = until }

// Asks notes that another process is asked for a grant and is not asked again before a time.
func (p *Endpoint) Asks(again time.Time) { p.said.limit.askAt = again }

// TellsLimit reports whether the others are to be told of the limit again, at most once in a time,
// and notes that they are.
func (p *Endpoint) TellsLimit(now time.Time, every time.Duration) bool {
	if !p.said.limit.named || now.Before(p.said.limit.toldAt.Add(every)) {
		return false
	}
	p.said.limit.toldAt = now
	return true
}

// Askable appends the endpoints that would take a request but for their limits, as far as others
// may be asked for a grant.
func (b *Book) Askable(dst []*Endpoint, now time.Time, w *Want) []*Endpoint {
	for _, p := range b.byService[w.Service] {
		if p.allowed(now, w) && p.said.rest.over(now) && p.warm(now) && !p.within(now) && !now.Before(p.said.limit.askAt) {
			dst = append(dst, p)
		}
	}
	return dst
}

// limitedUntil returns when this process may send its next request under the endpoint's limit;
// zero for an endpoint that has none.
func (p *Endpoint) limitedUntil() time.Time {
	l := &p.said.limit
	if !l.named {
		return time.Time{}
	}
	perSecond := max(l.perSecond, limitLeast)
	rank, n := p.rank()
	holders, self := p.Holders()
	switch {
	case self && l.sentAt.Before(l.namedAt):
		// The first request in turn, so that the shares of all follow one another evenly.
		return later(l.namedAt.Add(apart(rank+1, perSecond)), p.senders.From)
	case self:
		return later(l.sentAt.Add(apart(holders, perSecond)), p.senders.From)
	}
	// Without a share: each in its turn, as what they know of the limit may be of one time.
	turn := l.saidAt.Add(doubtAfter + apart(rank+1, doubtShare*perSecond))
	return later(turn, l.sentAt.Add(apart(n, doubtShare*perSecond)))
}

// roomAt returns when a request may find room under the endpoint's limit at this process, or sooner
// at another one.
func (p *Endpoint) roomAt(now time.Time) time.Time {
	at := p.limitedUntil()
	if room := now.Add(apart(1, max(p.said.limit.perSecond, limitLeast))); p.said.limit.named && room.Before(at) {
		return room
	}
	return at
}

// holdersOf returns how many processes share a limit, where there are as many.
func holdersOf(perSecond float64) int {
	return holdersLeast + int(min(holdersPerRequest*perSecond, processesMost))
}

// processesMost is more processes than there are.
const processesMost = 1 << 20

// apart returns the time between the requests of each of n processes that share a limit.
func apart(n int, perSecond float64) time.Duration {
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}

// Limited returns how many endpoints have named a limit.
func (b *Book) Limited() (n int) {
	for _, p := range b.byID {
		if p.said.limit.named {
			n++
		}
	}
	return n
}
