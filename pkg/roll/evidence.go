// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import "math"

// evidence holds the tests of one route, or of all, for a share of bad answers that
// is higher than the old version's by excess.
type evidence struct {
	// oldBad is the decayed share of bad answers of the old version, and oldSeen
	// how many answers made it.
	oldBad  float64
	oldSeen int
	// sum is the log likelihood ratio since it was last 0, never negative: the
	// cumulative sum test (Page, 1954), which finds a version bad that turns bad
	// late. by holds the parts of it that the bad answers of each endpoint made.
	sum float64
	by  map[uint32]float64
	// any is the log likelihood ratio of all answers since the start, and loaded that
	// of the answers under a load like the old version's, against a share that is
	// higher by loadedExcess. Neither is below -ratioMost.
	any, loaded float64
	// newGood and newBad count the new version's answers.
	newGood, newBad int
}

const (
	// oldFirst is the share of bad answers that an old version is taken to have
	// before one of its answers was seen, and oldFirstWeight for how many answers
	// that counts.
	oldFirst       = 0.1
	oldFirstWeight = 5
	// oldWeight is how much one answer counts in the old version's share: some
	// seconds of a small fleet, as what holds up both versions passes in seconds.
	oldWeight = 0.01
	// oldLeast and oldMost bound the share that an old version is taken to have,
	// so that single failures prove nothing and more of them something.
	oldLeast, oldMost = 0.03, 0.7
	// oldEnough is how many answers of the old version on a route let it speak
	// alone.
	oldEnough = 10
	// excess is how much higher the share of a bad version is taken to be: one with 8
	// bad answers of 100 more than the old one is as likely to be found either way.
	excess = 0.15
	// loadedExcess is that of a version which is bad under load, as few answers tell.
	loadedExcess = 0.2
	// convincing is the sum at which a version is bad: odds of about 8,000, as
	// it is looked at after each of some thousand answers.
	convincing = 9
	// doubtful is the sum from which on a version is not good: odds of 90, as it is
	// looked at ten times in a second.
	doubtful = 4.5
	// against is the log likelihood ratio of one route from which on a version is not
	// good: odds of 4 to 5 for a route that may have had few answers.
	against = 1.5
	// promising is the log likelihood ratio at which a version is fair: odds of 6,
	// which takes 11 good answers. acquitting is that at which it is good: odds of
	// 100, if odds of 10 come from 10 good answers under load.
	promising        = 1.8
	acquitting       = 4.6
	acquittingLoaded = 2.3
	// ratioMost bounds the evidence for a version that may turn bad late.
	ratioMost = 7
	// oneMost is how much of a sum one endpoint makes at most: a failing
	// endpoint alone does not make a version bad.
	oneMost = 5
)

// old notes n answers of the old version.
func (e *evidence) old(bad bool, n int) {
	x := 0.0
	if bad {
		x = 1
	}
	if e.oldSeen == 0 {
		e.oldBad = oldFirst
	}
	for range min(n, batchMost) {
		e.oldSeen++
		e.oldBad += (x - e.oldBad) * max(oldWeight, 1/float64(e.oldSeen+oldFirstWeight))
	}
}

// batchMost bounds the answers of one report that count.
const batchMost = 2000

// share returns the share of bad answers that the old version is taken to have.
func (e *evidence) share() float64 {
	if e.oldSeen == 0 {
		return oldFirst
	}
	return min(max(e.oldBad, oldLeast), oldMost)
}

// good notes n good answers of the new version.
func (e *evidence) good(loaded bool, n int) {
	e.newGood += n
	old, times := e.share(), float64(min(n, batchMost))
	ratio := math.Log((1-old-excess)/(1-old)) * times
	e.any = max(e.any+ratio, -ratioMost)
	if loaded {
		e.loaded = max(e.loaded+math.Log((1-old-loadedExcess)/(1-old))*times, -ratioMost)
	}
	if e.sum += ratio; e.sum <= 0 {
		e.sum = 0
		clear(e.by)
	}
}

// bad notes n bad answers that an endpoint of the new version gave.
func (e *evidence) bad(endpoint uint32, loaded bool, n int) {
	if n <= 0 {
		return
	}
	e.newBad += n
	old, times := e.share(), float64(min(n, batchMost))
	ratio := math.Log((old+excess)/old) * times
	e.any += ratio
	e.sum += ratio
	if loaded {
		e.loaded += math.Log((old+loadedExcess)/old) * times
	}
	if e.by == nil {
		e.by = make(map[uint32]float64)
	}
	e.by[endpoint] += ratio
}

// oneSided returns by how much the endpoint with the most bad answers makes more of the
// sum than one endpoint may.
func (e *evidence) oneSided() float64 {
	most := 0.0
	for _, ratio := range e.by {
		most = max(most, ratio)
	}
	return max(most-oneMost, 0)
}
