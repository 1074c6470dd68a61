// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import "time"

// Warmup limits the requests to endpoints of a service that have just started. The zero value sets no
// limit.
type Warmup struct {
	// Allowance is how many requests a warming endpoint gets in any one second, from all processes
	// together; 0 for no limit.
	Allowance int
	// Duration is the length of the warm-up of endpoints that do not report its end.
	Duration time.Duration
}

// SetWarmup replaces the warm-up limits of a service.
func (b *Book) SetWarmup(service string, w Warmup) { *b.warmup(service) = w }

// warmup returns the warm-up limits of a service.
func (b *Book) warmup(service string) *Warmup {
	w, ok := b.warmups[service]
	if !ok {
		w = new(Warmup)
		b.warmups[service] = w
	}
	return w
}

// warming is the warm-up state of an endpoint.
type warming struct {
	// firstSeenAt is when the endpoint's first entry was received.
	firstSeenAt time.Time
	// nextAt is when this process may send the next request to it.
	nextAt time.Time
	// perSecond is this process's quota, computed for a generation of the senders and an allowance.
	perSecond  int
	generation uint64
	allowance  int
}

// spacing is the time between the requests of a process with a quota of one per second: a little more
// than a second, so that no second holds two of them.
const spacing = 1050 * time.Millisecond

// Warming reports whether an endpoint is warming up.
func (p *Endpoint) Warming(now time.Time) bool {
	if p.warmup.Allowance <= 0 {
		return false
	}
	until := p.WarmAt
	if !p.WarmReported {
		until = p.firstSeenAt.Add(p.warmup.Duration)
	}
	if !p.zoneState.openedAt.IsZero() && (p.Revision < p.zoneState.revision || p.Restored) {
		// The entry is from before its zone was reopened, or may be.
		until = later(until, p.zoneState.openedAt.Add(p.warmup.Duration))
	}
	return now.Before(until)
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// warm reports whether the warm-up allowance lets this process send a request to an endpoint now.
func (p *Endpoint) warm(now time.Time) bool {
	return !p.Warming(now) || p.quota() > 0 && !now.Before(p.nextAt) && !now.Before(p.senders.NotBefore)
}

// quota returns how many requests per second this process may send to a warming endpoint.
func (p *Endpoint) quota() int {
	if p.generation != p.senders.generation || p.allowance != p.warmup.Allowance {
		p.generation, p.allowance = p.senders.generation, p.warmup.Allowance
		p.perSecond = p.senders.quota(p.hash, p.warmup.Allowance)
	}
	return p.perSecond
}

// quota returns this process's share of an allowance of requests per second to an endpoint. The processes
// are ordered by rendezvous hash: the first ones get one request each, and if there are fewer processes
// than requests, the remaining requests are distributed in further rounds. With the same list in every
// process the shares add up to the allowance; with differing lists a process may rank itself a few places
// too high.
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

// Warming returns the number of endpoints that are warming up.
func (b *Book) Warming(now time.Time) (n int) {
	for _, p := range b.byID {
		if p.Warming(now) {
			n++
		}
	}
	return n
}
