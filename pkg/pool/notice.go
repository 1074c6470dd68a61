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

// Changes tells which of what is known of an endpoint a notice has changed.
type Changes struct{ Limit, Leaving, Rest bool }

// Notes takes in what the endpoint says in an answer that came at now, to an attempt that was
// sent at sentAt.
func (p *Endpoint) Notes(n Notice, sentAt, now time.Time) (c Changes) {
	if n.Limit == Unlimited && !sentAt.After(p.limit.saidAt) {
		// An answer to an attempt from before the last word may be older than that.
		n.Limit = NoWord
	}
	c = p.Told(n, now)
	c.Rest = p.rest.note(n.RestUntil, sentAt, now)
	return c
}

// Told is Notes for what another process was told by the endpoint later than what it knew. What an
// endpoint wants of that process alone does not count.
func (p *Endpoint) Told(n Notice, now time.Time) (c Changes) {
	c.Limit = p.limit.take(n, now)
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
	n := Notice{Leaving: p.saidLeaving}
	switch {
	case p.limit.named:
		n.Limit, n.PerSecond = Limited, p.limit.perSecond
	case !p.limit.endedAt.IsZero():
		n.Limit = Unlimited
	}
	return n
}

// Noticed returns the endpoints that have said something to all which holds.
func (b *Book) Noticed() (list []*Endpoint) {
	for _, p := range b.byID {
		if p.limit.named || p.saidLeaving {
			list = append(list, p)
		}
	}
	return list
}
