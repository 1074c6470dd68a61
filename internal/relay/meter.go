// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"math"
	"time"
)

// rateMeter measures the rate of an event. The zero value has counted none.
type rateMeter struct {
	// sum is the decayed count at the time at.
	sum float64
	at  time.Time
}

// meterTimeConstant is the time in which a count decays to 1/e. A router gets a few prompts a
// second, and bursts last some seconds.
const meterTimeConstant = 5 * time.Second

// add counts one event.
func (m *rateMeter) add(now time.Time) {
	m.sum = m.decayed(now) + 1
	m.at = now
}

func (m *rateMeter) decayed(now time.Time) float64 {
	return m.sum * math.Exp(-float64(now.Sub(m.at))/float64(meterTimeConstant))
}

// perSecond returns the rate of events a second; 0 for a nil meter.
func (m *rateMeter) perSecond(now time.Time) float64 {
	if m == nil {
		return 0
	}
	return m.decayed(now) / meterTimeConstant.Seconds()
}
