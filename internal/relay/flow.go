// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import "time"

// flow is how fast a count grows that comes in by reports, in lumps. The zero value has
// counted nothing.
type flow struct {
	// perSecond is the growth over the last one or two times of flowFor, whichever is more:
	// a burst shows at once, and one lump that came early leaves no gap.
	perSecond float64
	// last and before are the counts at the ends of these times.
	last, before sample
}

// sample is a count at a time.
type sample struct {
	at time.Time
	n  int
}

// growth returns how fast the count grew up to a later one.
func (s sample) growth(to sample) float64 { return float64(to.n-s.n) / to.at.Sub(s.at).Seconds() }

// flowFor is the least time over which growth is measured: two reports of each router of a
// small fleet, or of half of the routers of a fleet of 32; some tens of requests. With 1.5 s a
// burst that came a second before the step was not seen.
const flowFor = 600 * time.Millisecond

// note takes in the count at a time.
func (f *flow) note(now time.Time, n int) {
	if f.last.at.IsZero() {
		f.last = sample{now, n}
	}
	if now.Sub(f.last.at) < flowFor {
		return
	}
	to := sample{now, n}
	f.perSecond = f.last.growth(to)
	if !f.before.at.IsZero() {
		f.perSecond = max(f.perSecond, f.before.growth(to))
	}
	f.before, f.last = f.last, to
}
