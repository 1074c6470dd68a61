// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"net/netip"
	"time"
)

// Trust is whether an endpoint answers as it should, from the attempts of this
// process and from what others tell of theirs.
type Trust struct {
	// failing is the decayed share of attempts that failed, 0 to 1.
	failing float64
	// row counts the failures since the last success.
	row int
	// okAt is when an attempt was answered last.
	okAt time.Time
	// shutUntil is when an endpoint that failed may be tried again, by one
	// attempt at a time.
	shutUntil time.Time
	// told holds who told of a failure last and when; each teller is there once.
	told [toldKept]telling
}

// telling is a failure that another process told of.
type telling struct {
	by netip.Addr
	at time.Time
}

const (
	// weight is how much one attempt counts in the share that failed.
	weight = 0.15
	// shutFirst is how long an endpoint rests after its first failures; it
	// doubles with each further one up to shutMost.
	shutFirst = 400 * time.Millisecond
	shutMost  = 6 * time.Second
	// rowMost is how many failures in a row make an endpoint rest, and failMost
	// the share that does.
	rowMost  = 2
	failMost = 0.35
	// soundMost is the share of failures from which on an endpoint gets no
	// request that is lost with its attempt.
	soundMost = 0.2
	// toldKept bounds the tellers that are remembered. toldMost is how many of
	// them, all within toldFor, make an endpoint rest: one alone may have lost
	// its own links.
	toldKept = 3
	toldMost = 2
	toldFor  = 1500 * time.Millisecond
	// okHolds is how long an answer of its own outweighs what others tell.
	okHolds = 300 * time.Millisecond
)

// OK notes an attempt that was answered.
func (t *Trust) OK(now time.Time) {
	t.failing *= 1 - weight
	t.row = 0
	t.okAt = now
}

// Fail notes an attempt that failed. A dead endpoint, which did not even take a
// connection, rests at once. It reports whether the endpoint rests from now on.
func (t *Trust) Fail(now time.Time, dead bool) bool {
	t.failing += (1 - t.failing) * weight
	t.row++
	if !dead && t.row < rowMost && t.failing < failMost {
		return false
	}
	rested := now.Before(t.shutUntil)
	t.rest(now)
	return !rested
}

// Told notes that another process, known by its address, told of a failure. It
// reports whether the endpoint rests because of that.
func (t *Trust) Told(now time.Time, by netip.Addr) bool {
	// The teller's own place, else the one of the oldest telling.
	place := &t.told[0]
	for i := range t.told {
		p := &t.told[i]
		if p.by == by {
			place = p
			break
		}
		if p.at.Before(place.at) {
			place = p
		}
	}
	*place = telling{by, now}
	if t.tellers(now) < toldMost || now.Sub(t.okAt) <= okHolds || now.Before(t.shutUntil) {
		return false
	}
	t.row = max(t.row, rowMost)
	t.rest(now)
	return true
}

// tellers returns how many others told of a failure lately.
func (t *Trust) tellers(now time.Time) (n int) {
	for _, p := range t.told {
		if !p.at.IsZero() && now.Sub(p.at) <= toldFor {
			n++
		}
	}
	return n
}

func (t *Trust) rest(now time.Time) {
	rest := shutMost
	if t.row < 5 {
		rest = min(rest, shutFirst<<t.row)
	}
	t.shutUntil = now.Add(rest)
}

// open reports whether the endpoint may be tried; one that rested gets one
// attempt at a time until it answers.
func (t *Trust) open(now time.Time, sent int) bool {
	if now.Before(t.shutUntil) {
		return false
	}
	return t.row < rowMost && t.failing < failMost || sent == 0
}

// sound reports whether the endpoint may get a request that is lost if the attempt
// fails: one without a failure since its last answer, its own or told.
func (t *Trust) sound(now time.Time) bool {
	return !now.Before(t.shutUntil) && t.row == 0 && t.failing < soundMost && (t.tellers(now) == 0 || now.Sub(t.okAt) <= okHolds)
}
