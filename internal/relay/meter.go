// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"math"
	"time"
)

// meter counts how often something happens in a second. The zero value has counted
// nothing.
type meter struct {
	// sum is the decayed count at at.
	sum float64
	at  time.Time
}

// meterFor is the time over which a count is forgotten to a part of 1/e: a router sees a
// few prompts a second, and bursts last some seconds.
const meterFor = 5 * time.Second

// add counts one.
func (m *meter) add(now time.Time) {
	m.sum = m.decayed(now) + 1
	m.at = now
}

func (m *meter) decayed(now time.Time) float64 {
	return m.sum * math.Exp(-float64(now.Sub(m.at))/float64(meterFor))
}

// perSecond returns how often a second it happens.
func (m *meter) perSecond(now time.Time) float64 {
	if m == nil {
		return 0
	}
	return m.decayed(now) / meterFor.Seconds()
}
