// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import "time"

// timeMean is an exponentially weighted mean of times, in nanoseconds, and of the sizes of the
// prompts, in tokens. The zero value has no data.
type timeMean struct {
	value, tokens float64
	n             int
}

const (
	// meanWeight is the weight of one value in a mean.
	meanWeight = 0.05
	// minSizeFactor and maxSizeFactor limit how much a prompt's size changes the expected time, as
	// a part of the time does not depend on the size.
	minSizeFactor, maxSizeFactor = 0.5, 6
)

func (m *timeMean) add(d time.Duration, tokens int) {
	m.n++
	w := max(meanWeight, 1/float64(m.n))
	m.value += (float64(d) - m.value) * w
	m.tokens += (float64(tokens) - m.tokens) * w
}

// expect returns the expected time for a prompt of so many tokens, in seconds; 0 without data.
// Where either size is unknown, it is the mean.
func (m *timeMean) expect(tokens int) float64 {
	if m == nil {
		return 0
	}
	size := 1.0
	if m.tokens > 0 && tokens > 0 {
		size = min(max(float64(tokens)/m.tokens, minSizeFactor), maxSizeFactor)
	}
	return m.value * size / float64(time.Second)
}

// average is an exponentially weighted mean of numbers. The zero value has no data.
type average struct {
	value float64
	n     int
}

func (a *average) add(v float64) {
	a.n++
	a.value += (v - a.value) * max(meanWeight, 1/float64(a.n))
}

// valueOr returns the mean, or none without data.
func (a *average) valueOr(none float64) float64 {
	if a == nil || a.n == 0 {
		return none
	}
	return a.value
}
