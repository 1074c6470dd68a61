// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

// ahead is which part of what an endpoint has prompts wait for that go before others. The
// zero value has seen none.
type ahead struct {
	// waited and had are decayed sums of how long prompts waited and of what their
	// endpoints were believed to have, in seconds.
	waited, had float64
}

// aheadKept is what is left of the sums at the next prompt: a router sees a few of a sort
// each second, and the load changes within seconds.
const aheadKept = 0.97

// add takes in a prompt that waited so long at an endpoint which was believed to have so
// much, both in seconds.
func (a *ahead) add(waited, had float64) {
	a.waited = a.waited*aheadKept + max(waited, 0)
	a.had = a.had*aheadKept + had
}

// part returns the part, 0 to 1; 1 if nothing was seen.
func (a *ahead) part() float64 {
	if a == nil || a.had <= 0 {
		return 1
	}
	return min(a.waited/a.had, 1)
}
