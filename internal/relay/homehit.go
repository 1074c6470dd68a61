// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

// homeHitRate is how often an endpoint turned out to hold a prefix that belongs to it though
// nobody was heard to have sent it there, as after this process was started. The zero
// value has seen nothing.
type homeHitRate struct {
	rate float64
	n    int
}

const (
	// homeHitPrior is the chance while little was seen: a starting fleet finds nothing,
	// one that was killed all.
	homeHitPrior = 0.5
	// homeHitWeight is how much one answer counts.
	homeHitWeight = 0.1
	// minHomeChance is the chance under which what nobody was heard to hold is taken not to
	// be held.
	minHomeChance = 0.15
	// minReadRatio is how many times longer than the rest the whole prompt must take for
	// the time to the head to tell one from the other.
	minReadRatio = 2
)

// add takes in one answer.
func (f *homeHitRate) add(held bool) {
	if f.n == 0 {
		f.rate, f.n = homeHitPrior, 1
	}
	got := 0.0
	if held {
		got = 1
	}
	f.rate += homeHitWeight * (got - f.rate)
}

// chance returns the share that was found, 0 to 1.
func (f *homeHitRate) chance() float64 {
	if f.n == 0 {
		return homeHitPrior
	}
	return f.rate
}
