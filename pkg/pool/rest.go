// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import "time"

// rest is the rest period that an endpoint requested from this process. The zero value is none.
type rest struct {
	// until is the end of the rest period; zero once the answer to a later attempt requests none.
	until time.Time
	// requestedAt is when the last answer that requested a rest period came.
	requestedAt time.Time
}

// probeTimeout is how long the first request after a rest period remains the only one, as a probe; a
// refusal takes a few milliseconds.
const probeTimeout = 200 * time.Millisecond

// update applies the end of a rest period, zero for none, from an answer that came at now to an attempt that
// was sent at sentAt. It reports whether a rest period has begun.
func (r *rest) update(until, sentAt, now time.Time) (begun bool) {
	if !now.Before(until) {
		// An answer to an attempt that was sent before the last refusal says nothing about the time after it.
		if sentAt.After(r.requestedAt) {
			r.until = time.Time{}
		}
		return false
	}
	begun = !now.Before(r.until) || sentAt.After(r.requestedAt)
	r.until, r.requestedAt = later(r.until, until), now
	return begun
}

// over reports whether no rest period is in force.
func (r *rest) over(now time.Time) bool { return !now.Before(r.until) }

// recordSend records that this process sends a request. The first one after a rest period goes alone: an
// endpoint that still refuses would refuse any sent with it.
func (r *rest) recordSend(now time.Time) {
	if !r.until.IsZero() {
		r.until = now.Add(probeTimeout)
	}
}

// RestUntil returns the end of the rest period that the endpoint requested from this process; zero for none.
func (p *Endpoint) RestUntil() time.Time { return p.announced.rest.until }

// Resting returns the number of endpoints in a rest period.
func (b *Book) Resting(now time.Time) (n int) {
	for _, p := range b.byID {
		if !p.announced.rest.over(now) {
			n++
		}
	}
	return n
}
