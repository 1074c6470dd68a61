// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"math"
	"time"
)

// rateMeter counts how often something happens in a second. The zero value has counted
// nothing.
type rateMeter struct {
	// sum is the decayed count at at.
	sum float64
	at  time.Time
}

// meterTimeConstant is the time over which a count is forgotten to a part of 1/e: a router sees a
// few prompts a second, and bursts last some seconds.
const meterTimeConstant = 5 * time.Second

// add counts one.
func (m *rateMeter) add(now time.Time) {
	m.sum = m.decayed(now) + 1
	m.at = now
}

func (m *rateMeter) decayed(now time.Time) float64 {
	return m.sum * math.Exp(-float64(now.Sub(m.at))/float64(meterTimeConstant))
}

// perSecond returns how often a second it happens.
func (m *rateMeter) perSecond(now time.Time) float64 {
	if m == nil {
		return 0
	}
	return m.decayed(now) / meterTimeConstant.Seconds()
}
