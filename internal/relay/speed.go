// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import "math"

// readSpeed estimates how long endpoints take to read a token of a prompt from the times to the
// head. These include waits, but the shortest twentieth of them includes next to none. The zero
// value has no data.
type readSpeed struct {
	// known is estimated from prompts for which it was known what the endpoint held, all from every
	// prompt, both in seconds a token.
	known, all quantile
}

const (
	// speedQuantile is the quantile of times to the head that is assumed to contain no wait for
	// other prompts. Under high load, just after all routers were killed, even the shortest fifth
	// still included waits, so that reading seemed to take ten times as long as it does.
	speedQuantile = 0.05
	// minKnownHeads is how many values of known are enough to use it instead of all.
	minKnownHeads = 4
	// minSpeedTokens is the size, in tokens, from which on a prompt is used. Shorter ones take
	// about as long as one step of the model and the way to the endpoint.
	minSpeedTokens = 256
)

// add adds the time to the head, in seconds, of a prompt of which so many tokens were expected to
// be read. known says that there was no doubt about their number.
func (s *readSpeed) add(tokens int, head float64, known bool) {
	if tokens < minSpeedTokens || head <= 0 {
		return
	}
	per := head / float64(tokens)
	s.all.add(per, speedQuantile)
	if known {
		s.known.add(per, speedQuantile)
	}
}

// readTime returns the expected time to read so many tokens, in seconds; 0 without data.
func (s *readSpeed) readTime(tokens int) float64 {
	if s == nil {
		return 0
	}
	if s.known.n >= minKnownHeads {
		return s.known.value * float64(tokens)
	}
	return s.all.value * float64(tokens)
}

// quantile estimates a quantile of positive values by stochastic approximation (Robbins and Monro,
// 1951). The zero value has no data.
type quantile struct {
	value float64
	// n counts the values, up to settledCount.
	n int
}

const (
	// minStep is the largest relative change of the estimate by one value once settledCount values
	// were added. firstStep divided by the number of values is that before, if it is larger, as the
	// first value may be far off.
	minStep      = 0.1
	firstStep    = 3
	settledCount = 30
)

// add adds the value v; p is the quantile to estimate, 0 to 1.
func (q *quantile) add(v, p float64) {
	if q.n < settledCount {
		q.n++
	}
	if q.n == 1 {
		q.value = v
		return
	}
	step := max(minStep, firstStep/float64(q.n))
	if v < q.value {
		q.value = max(q.value*math.Exp(-step*(1-p)), v)
	} else {
		q.value = min(q.value*math.Exp(step*p), v)
	}
}
