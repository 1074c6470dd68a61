// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import "time"

// Warmup is how the endpoints of a service are spared after a start. The zero value spares
// none.
type Warmup struct {
	// Allowance is how many requests an endpoint that warms up gets in any one second, by
	// all processes together; 0 for no bound.
	Allowance int
	// Lasts is how long it warms up where it does not tell.
	Lasts time.Duration
}

// SetWarmup takes over how endpoints of a service are spared.
func (b *Book) SetWarmup(service string, w Warmup) { *b.warmup(service) = w }

// warmup returns how endpoints of a service are spared.
func (b *Book) warmup(service string) *Warmup {
	w, ok := b.warmups[service]
	if !ok {
		w = new(Warmup)
		b.warmups[service] = w
	}
	return w
}

// warming is what is kept of an endpoint that warms up.
type warming struct {
	// heardAt is when the endpoint was first heard of.
	heardAt time.Time
	// nextAt is when this process may send to it next.
	nextAt time.Time
	// perSecond is this process's share, found for a generation of the senders and an
	// allowance.
	perSecond  int
	generation uint64
	allowance  int
}

// spacing is what lies between the requests of a process that may send one a second: a
// little more than a second, so that no second holds two of them.
const spacing = 1050 * time.Millisecond

// Warming reports whether an endpoint is warming up.
func (p *Endpoint) Warming(now time.Time) bool {
	if p.warmup.Allowance <= 0 {
		return false
	}
	until := p.WarmAt
	if !p.WarmTold {
		until = p.heardAt.Add(p.warmup.Lasts)
	}
	if !p.area.openedAt.IsZero() && p.Revision < p.area.revision {
		// What it told is from before its zone was taken back.
		until = later(until, p.area.openedAt.Add(p.warmup.Lasts))
	}
	return now.Before(until)
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// warm reports whether this process may send a request to an endpoint now, as far as it may
// be warming up.
func (p *Endpoint) warm(now time.Time) bool {
	return !p.Warming(now) || p.quota() > 0 && !now.Before(p.nextAt) && !now.Before(p.senders.From)
}

// quota returns how many requests a second this process may send to an endpoint that warms
// up.
func (p *Endpoint) quota() int {
	if p.generation != p.senders.generation || p.allowance != p.warmup.Allowance {
		p.generation, p.allowance = p.senders.generation, p.warmup.Allowance
		p.perSecond = p.senders.quota(p.hash, p.warmup.Allowance)
	}
	return p.perSecond
}

// quota returns how many of an allowance of requests a second to an endpoint are this
// process's: the processes are ordered by rendezvous hash, the first ones get one each, and
// where there are fewer, what is left goes around. With the same list everywhere the shares
// add up to the allowance; with other lists a process may be a few ranks too far ahead.
func (s *Senders) quota(endpoint uint64, allowance int) int {
	rank, n := s.rank(endpoint)
	if n == 0 || rank >= allowance {
		return 0
	}
	of := min(n, allowance)
	share := allowance / of
	if rank < allowance%of {
		share++
	}
	return share
}

// Warming returns how many endpoints are warming up.
func (b *Book) Warming(now time.Time) (n int) {
	for _, p := range b.byID {
		if p.Warming(now) {
			n++
		}
	}
	return n
}
