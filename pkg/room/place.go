// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package room

import "time"

// Place estimates when an endpoint accepts a request. The zero value accepts at once.
type Place struct {
	// fullUntil is when the endpoint is expected to accept a request again after a rejection; zero if
	// it has not rejected since it last accepted.
	fullUntil time.Time
	// probeUntil is when a request that was offered to a full endpoint counts as accepted if it was not
	// rejected; no other is offered before.
	probeUntil time.Time
	// rejectedAt is when the endpoint last rejected a request; zero for never.
	rejectedAt time.Time
	// backoff doubles with each rejection and is halved by each answer; 1 or more once the endpoint has
	// rejected, 0 before. routers is the number of routers that send to it.
	backoff, routers int
}

const (
	// minFull is the shortest time for which an endpoint that rejected counts as full. An offer takes
	// 4 ms between availability zones, so that an earlier one would meet the state that rejected.
	minFull = 4 * time.Millisecond
	// maxFull is the longest such time. The shortest aims are 100 ms, and a request that waits longer
	// for the next offer misses them though a place was free.
	maxFull = 100 * time.Millisecond
	// probeTime is how long a full endpoint has for a rejection: twice the way there and back, as a
	// busy router reads the rejection late.
	probeTime = 15 * time.Millisecond
)

// Reject records that the endpoint rejected a request for lack of a place. perEnd is the mean time
// between the ends of two of its requests, 0 if unknown, and routers the number of routers that send to it.
// The number of routers that wait is not known: the time for which the endpoint counts as full doubles with
// each rejection, so that the offers of all together come about as often as places open. draw is a random
// number.
func (p *Place) Reject(now time.Time, perEnd time.Duration, routers int, draw uint64) {
	p.routers = max(routers, 1)
	p.backoff = max(2*p.backoff, 1)
	perEnd = min(max(perEnd, minFull), maxFull)
	d := perEnd * time.Duration(p.backoff)
	if d > maxFull {
		d, p.backoff = maxFull, max(int(maxFull/perEnd), 1)
	}
	// Uniform from half to one and a half times d, so that routers that were rejected at the same
	// time do not return at the same time.
	d = d/2 + time.Duration(draw%uint64(d))
	p.fullUntil, p.probeUntil, p.rejectedAt = now.Add(d), time.Time{}, now
}

// Answer records that the endpoint answered a request that was sent to it at sentAt. As the request has
// ended, or soon will, there is a place, which this router knows of first.
func (p *Place) Answer(sentAt time.Time) {
	p.fullUntil, p.probeUntil = time.Time{}, time.Time{}
	if sentAt.After(p.rejectedAt) {
		p.backoff /= 2
	}
}

// Free records that the endpoint reported fewer requests than it has places.
func (p *Place) Free() { *p = Place{} }

// Offer records that a request is sent to the endpoint. If the endpoint was full, no other is offered
// until this one has been rejected or answered, or probeTime has passed.
func (p *Place) Offer(now time.Time) {
	if p.backoff > 0 {
		p.probeUntil = now.Add(probeTime)
	}
}

// Open reports whether a request may be offered to the endpoint.
func (p *Place) Open(now time.Time) bool { return !now.Before(p.OpenAt()) }

// OpenAt returns when a request may be offered to the endpoint.
func (p *Place) OpenAt() time.Time {
	if p.probeUntil.After(p.fullUntil) {
		return p.probeUntil
	}
	return p.fullUntil
}

// Contenders returns the estimated number of routers that wait for the next place, this one included; 0 if
// the endpoint is not known to be full.
func (p *Place) Contenders() int { return min(p.backoff, p.routers) }
