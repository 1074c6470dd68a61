// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import "time"

// Notice is what an endpoint says of itself in the head of an answer. The zero value says
// nothing.
type Notice struct {
	Limit LimitWord
	// PerSecond is the requests a second that the endpoint takes from all processes
	// together, 0 or more; it counts if Limit is Limited.
	PerSecond float64
	// Leaving says that it takes no new work any more.
	Leaving bool
	// RestUntil is until when it wants nothing from this process; zero if it does not say.
	RestUntil time.Time
}

// said is what an endpoint said of itself. The zero value is nothing.
type said struct {
	// leaving says that it takes no new work any more; it never goes back.
	leaving bool
	limit   limit
	rest    rest
}

// anything reports whether the endpoint said something that may still hold.
func (s *said) anything() bool { return s.leaving || s.limit.named || !s.rest.until.IsZero() }

// saidBy is what a life of an endpoint said.
type saidBy struct {
	born time.Time
	said
}

// saysLeaving notes that the endpoint said that it leaves. It needs no list for that.
func (p *Endpoint) saysLeaving() { p.leaving, p.said.leaving = true, true }

// Left notes that an endpoint which is not listed any more said that it leaves.
func (b *Book) Left(e Entry) { remember(b.said, e.ID, saidBy{e.Born, said{leaving: true}}) }

// Changes tells which of what is known of an endpoint a notice has changed.
type Changes struct{ Limit, Leaving, Rest bool }

// Notes takes in what the endpoint says in an answer that came at now, to an attempt that was
// sent at sentAt.
func (p *Endpoint) Notes(n Notice, sentAt, now time.Time) (c Changes) {
	if n.Limit == Unlimited && !sentAt.After(p.said.limit.saidAt) {
		// An answer to an attempt from before the last word may be older than that.
		n.Limit = NoWord
	}
	c = p.Told(n, now)
	c.Rest = p.said.rest.note(n.RestUntil, sentAt, now)
	return c
}

// Told is Notes for what another process was told by the endpoint later than what it knew. What an
// endpoint wants of that process alone does not count.
func (p *Endpoint) Told(n Notice, now time.Time) (c Changes) {
	c.Limit = p.said.limit.take(n, now)
	if c.Leaving = n.Leaving && !p.leaving; n.Leaving {
		p.saysLeaving()
	}
	return c
}

// Told notes what another process was told by a life of an endpoint, both by their hashes. One that
// is not listed here yet is noted once it is. It returns the endpoint, nil for such a one, or one
// that has another life by now.
func (b *Book) Told(endpoint, life uint64, n Notice, now time.Time) (p *Endpoint, c Changes) {
	p = b.ByHash(endpoint)
	switch {
	case p == nil:
		remember(b.early, life, n)
		return nil, c
	case p.Life() != life:
		return nil, c
	default:
		return p, p.Told(n, now)
	}
}

// Notice returns what is known of what the endpoint said to all.
func (p *Endpoint) Notice() Notice {
	n := Notice{Leaving: p.said.leaving}
	switch {
	case p.said.limit.named:
		n.Limit, n.PerSecond = Limited, p.said.limit.perSecond
	case !p.said.limit.endedAt.IsZero():
		n.Limit = Unlimited
	}
	return n
}

// Noticed returns the endpoints that have said something to all which holds.
func (b *Book) Noticed() (list []*Endpoint) {
	for _, p := range b.byID {
		if p.said.limit.named || p.said.leaving {
			list = append(list, p)
		}
	}
	return list
}
