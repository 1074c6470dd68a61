// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

// aheadRatio estimates which fraction of an endpoint's backlog urgent prompts wait for, which go
// ahead of others. The zero value has no data.
type aheadRatio struct {
	// waited and backlog are decayed sums of the times for which urgent prompts waited and of the
	// expected reading times of what their endpoints had, in seconds.
	waited, backlog float64
}

// aheadDecay is the factor of the sums at each prompt. A router gets a few prompts of a sort each
// second, and the load changes within seconds.
const aheadDecay = 0.97

// add adds a prompt that waited at an endpoint with this backlog, both in seconds.
func (a *aheadRatio) add(waited, had float64) {
	a.waited = a.waited*aheadDecay + max(waited, 0)
	a.backlog = a.backlog*aheadDecay + had
}

// ratio returns the fraction, 0 to 1; 1 without data.
func (a *aheadRatio) ratio() float64 {
	if a == nil || a.backlog <= 0 {
		return 1
	}
	return min(a.waited/a.backlog, 1)
}
