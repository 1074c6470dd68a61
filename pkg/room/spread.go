// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package room

import "time"

// Spread gives refused callers the times at which they should return. The zero value has given none.
type Spread struct {
	// last is the latest time that was given as a free slot.
	last time.Time
}

const (
	// maxReturn is the fraction of a caller's time left up to which it honours a time to return.
	maxReturn = 1.0 / 3
	// returnMargin keeps the time below that bound, as the caller computes it from its own clock some
	// milliseconds later.
	returnMargin = 0.95
)

// Next returns when a refused caller should return: the next free slot at the rate of one each interval,
// not before earliest. If that is beyond what a caller with this deadline honours, the time is drawn from
// the last third of what it does honour, and takes no slot: no other return can be spread then. draw is a
// random number.
func (s *Spread) Next(now, earliest, deadline time.Time, interval time.Duration, draw uint64) time.Time {
	at := earliest
	if next := s.last.Add(interval); next.After(at) {
		at = next
	}
	limit := time.Duration(maxReturn * returnMargin * float64(deadline.Sub(now)))
	if limit <= 0 {
		return now
	}
	if at.Sub(now) > limit {
		third := max(limit/3, 1)
		return now.Add(limit - time.Duration(draw%uint64(third)))
	}
	s.last = at
	return at
}
