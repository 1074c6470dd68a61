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
	told [paceKept]float64
	n    int
	at   time.Time
}

const (
	// paceSamples is the number of reports over which the median is taken.
	paceKept = 5
	// paceTTL is how long the last report is taken as the current factor: the load of other processes on
	// the VM changes several times per second.
	paceHolds = 400 * time.Millisecond
	// minPace and maxPace bound the reported factor.
	paceLeast, paceMost = 0.1, 10
)

// RecordReport stores a reported factor; it ignores one that is not positive.
func (p *Pace) RecordReport(now time.Time, times float64) {
	if !(times > 0) {
		return
	}
	p.told[p.n%paceKept] = min(max(times, paceLeast), paceMost)
	p.n++
	p.at = now
}

// Factor returns the expected factor: the last reported one within paceTTL, else the median of the last
// paceSamples reports.
func (p *Pace) Factor(now time.Time) float64 {
	switch {
	case p.n == 0:
		return 1
	case now.Sub(p.at) <= paceHolds:
		return p.told[(p.n-1)%paceKept]
	}
	list := p.told
	known := list[:min(p.n, paceKept)]
	slices.Sort(known)
	return known[(len(known)-1)/2]
}
