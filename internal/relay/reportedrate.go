// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import "time"

// reportedRate is how fast a count grows that comes in by reports, in lumps. The zero value has
// counted nothing.
type reportedRate struct {
	// perSecond is the fastest growth over the last spans, short and long, now or one span
	// before: a burst shows in the short ones soon, and a gap between lumps, which is no pause,
	// in none of the others.
	perSecond float64
	// current is the fastest growth now.
	current float64
	// samples holds the counts at the ends of the samples spans of flowFor, the newest first;
	// those that are not there yet are zero.
	samples [maxRateSamples]sample
}

// sample is a count at a time.
type sample struct {
	at time.Time
	n  int
}

// growth returns how fast the count grew up to a later one.
func (s sample) growth(to sample) float64 { return float64(to.n-s.n) / to.at.Sub(s.at).Seconds() }

const (
	// minRateSpan is the least time over which growth is measured: two reports of each router of
	// a small fleet. With 1.5 s a burst that came a second before a step was not seen.
	minRateSpan = 600 * time.Millisecond
	// maxRateSamples is how many such times are looked back on: 2.4 s, within which each router of
	// a fleet of 56 reports.
	maxRateSamples = 4
)

// add takes in the count at a time. Of 32 routers 12 report within flowFor, give or take 3:
// by short spans alone one of the routers would soon see half of the flow.
func (f *reportedRate) add(now time.Time, n int) {
	to := sample{now, n}
	if f.samples[0].at.IsZero() {
		f.samples[0] = to
	}
	if now.Sub(f.samples[0].at) < minRateSpan {
		return
	}
	before := f.current
	f.current = 0
	for _, s := range f.samples {
		if !s.at.IsZero() {
			f.current = max(f.current, s.growth(to))
		}
	}
	f.perSecond = max(f.current, before)
	copy(f.samples[1:], f.samples[:])
	f.samples[0] = to
}
