// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import "time"

// timeMean is a decayed timeMean of the times to the head of one sort of requests, and of
// the tokens of their prompts. The zero value is empty.
type timeMean struct {
	value, tokens float64
	n             int
}

const (
	// meanWeight is how much one answer counts in a mean.
	meanWeight = 0.05
	// minSizeFactor and maxSizeFactor bound by how much a prompt's size changes the
	// expected time: part of it does not depend on the size.
	minSizeFactor, maxSizeFactor = 0.5, 6
)

func (m *timeMean) add(d time.Duration, tokens int) {
	m.n++
	w := max(meanWeight, 1/float64(m.n))
	m.value += (float64(d) - m.value) * w
	m.tokens += (float64(tokens) - m.tokens) * w
}

// expect returns the time to the head of a request with a prompt of this size, in
// seconds; 0 if none was seen yet.
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

// average is a decayed mean of plain numbers. The zero value is empty.
type average struct {
	value float64
	n     int
}

func (a *average) add(v float64) {
	a.n++
	a.value += (v - a.value) * max(meanWeight, 1/float64(a.n))
}

// valueOr returns the mean; none if nothing was seen yet.
func (a *average) valueOr(none float64) float64 {
	if a == nil || a.n == 0 {
		return none
	}
	return a.value
}
