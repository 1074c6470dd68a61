// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package stall

import (
	"math"
	"time"
)

const (
	// usualQuantile is the quantile of the gaps between events that counts as the longest usual gap, and
	// quantileStep the step of its estimate, in units of the natural logarithm. At 500 gaps per second,
	// which a router with 25 streams sees, the estimate grows by a factor of e within 20 ms of longer gaps
	// and falls as much in 2 s.
	usualQuantile = 0.99
	quantileStep  = 0.1
	// peakDecay is the time in which the longest recent gap of an endpoint falls by a factor of e. The load
	// of an endpoint by others' prompts changes within seconds.
	peakDecay = 4 * time.Second
	// maxLearnedGap bounds the gaps that are learned, so that the end of a real silence of many seconds
	// does not raise the threshold for longer than peakDecay. Gaps of 1 s are the longest that a busy
	// endpoint has.
	maxLearnedGap = time.Second
	// minLearnedGap is the shortest gap that is learned; several events may arrive in one read.
	minLearnedGap = time.Millisecond
)

// gapQuantile estimates usualQuantile of gaps by stochastic approximation. The zero value has no data.
type gapQuantile struct {
	// log is the natural logarithm of the quantile in seconds, valid if known.
	log   float64
	known bool
}

func (q *gapQuantile) add(gap time.Duration) {
	x := math.Log(gap.Seconds())
	switch {
	case !q.known:
		q.log, q.known = x, true
	case x > q.log:
		q.log += quantileStep * usualQuantile
	default:
		q.log -= quantileStep * (1 - usualQuantile)
	}
}

// value returns the estimate; 0 without data.
func (q *gapQuantile) value() time.Duration {
	if !q.known {
		return 0
	}
	return time.Duration(math.Exp(q.log) * float64(time.Second))
}

// peakGap is the longest recent gap at an endpoint, which decays with peakDecay. The zero value is 0.
type peakGap struct {
	gap time.Duration
	at  time.Time
}

func (p *peakGap) add(now time.Time, gap time.Duration) {
	if gap >= p.value(now) {
		p.gap, p.at = gap, now
	}
}

func (p *peakGap) value(now time.Time) time.Duration {
	if p.gap == 0 {
		return 0
	}
	return time.Duration(float64(p.gap) * math.Exp(-now.Sub(p.at).Seconds()/peakDecay.Seconds()))
}
