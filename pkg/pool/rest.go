// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import "time"

// rest is for how long an endpoint wants nothing from this process. The zero value is not at all.
type rest struct {
	// until is when this process may send again; zero once an answer that came after the rest asks
	// for none.
	until time.Time
	// askedAt is when the last answer that asked for rest came.
	askedAt time.Time
}

// testedFor is how long after a rest the one request that finds out whether it is over stands alone:
// a refusal takes a few milliseconds.
const testedFor = 200 * time.Millisecond

// note takes in until when an endpoint wants nothing, by an answer that came at now to an attempt that
// was sent at sentAt; zero if that asks for no rest. It reports whether a rest has begun.
func (r *rest) note(until, sentAt, now time.Time) (begun bool) {
	if !now.Before(until) {
		// An answer to an attempt from before the last refusal says nothing of the time after it.
		if sentAt.After(r.askedAt) {
			r.until = time.Time{}
		}
		return false
	}
	begun = !now.Before(r.until) || sentAt.After(r.askedAt)
	r.until, r.askedAt = later(r.until, until), now
	return begun
}

// over reports whether this process may send a request now.
func (r *rest) over(now time.Time) bool { return !now.Before(r.until) }

// sends notes that this process sends a request: the first after a rest goes alone, as an endpoint that
// still refuses would refuse all that came with it.
func (r *rest) sends(now time.Time) {
	if !r.until.IsZero() {
		r.until = now.Add(testedFor)
	}
}

// RestUntil returns until when the endpoint wants nothing from this process; zero if it does not say.
func (p *Endpoint) RestUntil() time.Time { return p.said.rest.until }

// Resting returns how many endpoints want nothing from this process now.
func (b *Book) Resting(now time.Time) (n int) {
	for _, p := range b.byID {
		if !p.said.rest.over(now) {
			n++
		}
	}
	return n
}
