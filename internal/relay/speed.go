// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import "math"

// readSpeed is how long endpoints take to read a token of a prompt, learned from times to the
// head, which hold waits as well: the quickest twentieth of them had next to none. The zero
// value knows nothing.
type readSpeed struct {
	// known is learned from prompts of which it was known what the endpoint held, all from
	// every one, in seconds a token.
	known, all quantile
}

const (
	// speedQuantile is the part of the heads that is taken to have met an endpoint
	// without others' prompts. On the users' busiest sites, just after all routers were
	// killed, a fifth was still held up so much that reading seemed to take ten times as
	// long as it does.
	speedQuantile = 0.05
	// minKnownHeads is how many heads of prompts that were known are enough.
	minKnownHeads = 4
	// minSpeedTokens is the least prompt that says something, in tokens: shorter ones take
	// as long as a step and the way there.
	minSpeedTokens = 256
)

// add takes in the time to the head, in seconds, of a prompt of which so many tokens were
// expected to be read, surely or perhaps.
func (s *readSpeed) add(tokens int, head float64, sure bool) {
	if tokens < minSpeedTokens || head <= 0 {
		return
	}
	per := head / float64(tokens)
	s.all.add(per, speedQuantile)
	if sure {
		s.known.add(per, speedQuantile)
	}
}

// readTime returns how long so many tokens take, in seconds; 0 if nothing is known.
func (s *readSpeed) readTime(tokens int) float64 {
	if s == nil {
		return 0
	}
	if s.known.n >= minKnownHeads {
		return s.known.value * float64(tokens)
	}
	return s.all.value * float64(tokens)
}

// quantile follows a quantile of positive values by steps (Robbins and Monro, 1951). The
// zero value has seen none.
type quantile struct {
	value float64
	// n counts the values, up to settled.
	n int
}

const (
	// minStep is by how much, as a part, the estimate moves with each value at most
	// once it is settled, stepFirst by how much divided by their number before: the first
	// value may be far off.
	minStep      = 0.1
	firstStep    = 3
	settledCount = 30
)

// add takes in a value; p is the quantile, 0 to 1.
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
