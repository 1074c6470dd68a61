// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import "time"

// flow is how fast a count grows that comes in by reports, in lumps. The zero value has
// counted nothing.
type flow struct {
	// perSecond is the fastest growth over the last spans, short and long, now or one span
	// before: a burst shows in the short ones soon, and a gap between lumps, which is no pause,
	// in none of the others.
	perSecond float64
	// latest is the fastest growth now.
	latest float64
	// last holds the counts at the ends of the last spans of flowFor, the newest first;
	// those that are not there yet are zero.
	last [flowKept]sample
}

// sample is a count at a time.
type sample struct {
	at time.Time
	n  int
}

// growth returns how fast the count grew up to a later one.
func (s sample) growth(to sample) float64 { return float64(to.n-s.n) / to.at.Sub(s.at).Seconds() }

const (
	// flowFor is the least time over which growth is measured: two reports of each router of
	// a small fleet. With 1.5 s a burst that came a second before a step was not seen.
	flowFor = 600 * time.Millisecond
	// flowKept is how many such times are looked back on: 2.4 s, within which each router of
	// a fleet of 56 reports.
	flowKept = 4
)

// note takes in the count at a time. Of 32 routers 12 report within flowFor, give or take 3:
// by short spans alone one of the routers would soon see half of the flow.
func (f *flow) note(now time.Time, n int) {
	to := sample{now, n}
	if f.last[0].at.IsZero() {
		f.last[0] = to
	}
	if now.Sub(f.last[0].at) < flowFor {
		return
	}
	before := f.latest
	f.latest = 0
	for _, s := range f.last {
		if !s.at.IsZero() {
			f.latest = max(f.latest, s.growth(to))
		}
	}
	f.perSecond = max(f.latest, before)
	copy(f.last[1:], f.last[:])
	f.last[0] = to
}
