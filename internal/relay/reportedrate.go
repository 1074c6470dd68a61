// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import "time"

// reportedRate estimates how fast a count grows that is known from periodic reports, which each add
// several at once. The zero value has no data.
type reportedRate struct {
	// perSecond is the maximum of current now and at the sample before. A burst soon shows in the
	// short spans, and a gap between reports, which is no pause, does not affect the others.
	perSecond float64
	// current is the largest growth a second over the spans from each sample to now.
	current float64
	// samples holds the last counts, at least minRateSpan apart and the newest first; those that do
	// not exist yet are zero.
	samples [maxRateSamples]sample
}

// sample is a count n at a time.
type sample struct {
	at time.Time
	n  int
}

// growth returns the growth a second from s to a later sample.
func (s sample) growth(to sample) float64 { return float64(to.n-s.n) / to.at.Sub(s.at).Seconds() }

const (
	// minRateSpan is the shortest time over which growth is measured. Each router of a small fleet
	// reports twice within it. With 1.5 s, a burst that came 1 s before a step of a trial went
	// unnoticed.
	minRateSpan = 600 * time.Millisecond
	// maxRateSamples is the number of samples that are kept: 2.4 s, within which each router of a
	// fleet of 56 reports.
	maxRateSamples = 4
)

// add adds the count n at a time. Of 32 routers, 12 report within minRateSpan, give or take 3. With
// short spans alone, one of the routers would soon measure half of the growth.
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
