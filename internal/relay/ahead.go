// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

// aheadRatio is which part of what an endpoint has prompts wait for that go before others. The
// zero value has seen none.
type aheadRatio struct {
	// waited and backlog are decayed sums of how long prompts waited and of what their
	// endpoints were believed to have, in seconds.
	waited, backlog float64
}

// aheadDecay is what is left of the sums at the next prompt: a router sees a few of a sort
// each second, and the load changes within seconds.
const aheadDecay = 0.97

// add takes in a prompt that waited so long at an endpoint which was believed to have so
// much, both in seconds.
func (a *aheadRatio) add(waited, had float64) {
	a.waited = a.waited*aheadDecay + max(waited, 0)
	a.backlog = a.backlog*aheadDecay + had
}

// ratio returns the ratio, 0 to 1; 1 if nothing was seen.
func (a *aheadRatio) ratio() float64 {
	if a == nil || a.backlog <= 0 {
		return 1
	}
	return min(a.waited/a.backlog, 1)
}
