// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"slices"
	"time"
)

// Pace is an endpoint's service time relative to usual work, as the endpoint reports it: 2 takes twice as
// long. It varies, as VMs differ and an endpoint may share its VM with others. The zero value, without
// reports, has a factor of 1.
type Pace struct {
	// factors is a ring of the last reported factors, n the number of reports, and reportedAt the
	// time of the last one.
	factors    [paceSamples]float64
	n          int
	reportedAt time.Time
}

const (
	// paceSamples is the number of reports over which the median is taken.
	paceSamples = 5
	// paceTTL is how long the last report is taken as the current factor: the load of other processes on
	// the VM changes several times per second.
	paceTTL = 400 * time.Millisecond
	// minPace and maxPace bound the reported factor.
	minPace, maxPace = 0.1, 10
)

// RecordReport stores a reported factor; it ignores one that is not positive.
func (p *Pace) RecordReport(now time.Time, factor float64) {
	if !(factor > 0) {
		return
	}
	p.factors[p.n%paceSamples] = min(max(factor, minPace), maxPace)
	p.n++
	p.reportedAt = now
}

// Factor returns the expected factor: the last reported one within paceTTL, else the median of the last
// paceSamples reports.
func (p *Pace) Factor(now time.Time) float64 {
	switch {
	case p.n == 0:
		return 1
	case now.Sub(p.reportedAt) <= paceTTL:
		return p.factors[(p.n-1)%paceSamples]
	}
	list := p.factors
	known := list[:min(p.n, paceSamples)]
	slices.Sort(known)
	return known[(len(known)-1)/2]
}
