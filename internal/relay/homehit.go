// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

// homeHitRate estimates how often the home endpoint of a prefix turns out to hold it though no
// router reported to have sent it there, as happens after a restart of this router. The zero value
// has no data.
type homeHitRate struct {
	rate float64
	n    int
}

const (
	// homeHitPrior is the initial estimate. A fleet of routers that starts with its endpoints finds
	// no prefix, one that was killed finds all.
	homeHitPrior = 0.5
	// homeHitWeight is the weight of one answer in the moving average.
	homeHitWeight = 0.1
	// minHomeChance is the estimate below which a prefix without a report is taken not to be held.
	minHomeChance = 0.15
	// minReadRatio is how many times as long the whole prompt must take to read as the part that is
	// not shared for the time to the head to show which of the two was read.
	minReadRatio = 2
)

// add adds an answer; held says that the endpoint held the prefix.
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

// chance returns the estimate, 0 to 1.
func (f *homeHitRate) chance() float64 {
	if f.n == 0 {
		return homeHitPrior
	}
	return f.rate
}
