// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import (
	"cmp"
	"math"
)

// evidence holds the sequential tests of one route, or of all routes together. They
// compare two hypotheses about the new version: that its share of bad answers equals
// the old version's, and that it is higher by an excess. A positive log likelihood ratio
// is evidence against the new version.
type evidence struct {
	// oldBadShare is the moving average of the old version's share of bad answers, 0
	// to 1, and oldAnswers the number of its answers.
	oldBadShare float64
	oldAnswers  int
	// prior is the share that the old version is assumed to have before its first answer; 0
	// for priorBadShare.
	prior float64
	// peak is set for the answers in the peak phase of a trial, of which one endpoint after the
	// other gives those of the new version.
	peak bool
	// cusum is the log likelihood ratio since it was last 0, never negative: the
	// cumulative sum test (Page, 1954), which also detects a version that turns bad
	// late. cusumByEndpoint holds the sum's positive terms, those of bad answers, by
	// endpoint.
	cusum           float64
	cusumByEndpoint map[uint32]float64
	// llr is the log likelihood ratio of all answers since the start. loadedLLR is that
	// of the answers under a load like the old version's, against a share that is higher
	// by loadedExcess. Good answers lower neither below -maxGoodLLR.
	llr, loadedLLR float64
	// newGood and newBad count the new version's answers.
	newGood, newBad int
}

const (
	// priorBadShare is the share of bad answers that an old version is assumed to have
	// before its first answer on any route, and priorAnswers the number of answers that a
	// prior counts as.
	priorBadShare = 0.1
	priorAnswers  = 5
	// minOldWeight is the weight of one answer in the moving average of the old version's
	// share once many were received. The average covers some seconds of a small fleet's
	// answers, as disturbances that affect both versions last seconds.
	minOldWeight = 0.01
	// minOldShare and maxOldShare bound the share that an old version is assumed to have.
	// Within them single failures of the new version are no proof, and several are.
	minOldShare, maxOldShare = 0.03, 0.7
	// minOldAnswers is the number of the old version's answers on a route from which the
	// route is tested by itself.
	minOldAnswers = 10
	// minOldSharePeak is minOldShare in the peak phase. Only failures that an endpoint signed
	// count there, which an old version hardly has, and some 50 answers of the new version
	// have to be enough.
	minOldSharePeak = 0.01
	// routeExcess is how much higher the share of bad answers of a bad version is assumed to
	// be. A version with 8 bad answers of 100 more than the old one is as likely to be
	// found bad as not.
	routeExcess = 0.15
	// peakExcess is routeExcess in the peak phase. It is lower, as the load of the endpoint
	// varies there and a version that fails above a limit answers well below it.
	peakExcess = 0.1
	// loadedExcess is the excess of a version that is bad under load. It is higher, as
	// few answers are given under that load.
	loadedExcess = 0.2
	// badThreshold is the cumulative sum at which a version is bad: odds of about 8,000,
	// as the sum is tested after each of some thousand answers.
	badThreshold = 9
	// doubtfulThreshold is the cumulative sum from which a version is not good: odds of
	// 90, as the sum is tested ten times a second.
	doubtfulThreshold = 4.5
	// doubtfulLLR is the log likelihood ratio of one route, or of the answers under load,
	// above which a version is not good: odds of 4 to 5, as a route may have few answers.
	doubtfulLLR = 1.5
	// fairLLR is the negated log likelihood ratio at which a version is fair: odds of 6,
	// which takes 11 good answers. goodLLR is that at which it is good: odds of 100,
	// provided that the answers under load reach goodLoadedLLR: odds of 10, which takes
	// 10 good answers.
	fairLLR       = 1.8
	goodLLR       = 4.6
	goodLoadedLLR = 2.3
	// maxGoodLLR bounds the evidence in favour of a version, as it may turn bad late.
	maxGoodLLR = 7
	// maxEndpointSum is the part of a cumulative sum that one endpoint contributes at
	// most: one failing endpoint alone does not make a version bad.
	maxEndpointSum = 5
)

// addOld adds n answers of the old version.
func (e *evidence) addOld(bad bool, n int) {
	x := 0.0
	if bad {
		x = 1
	}
	if e.oldAnswers == 0 {
		e.oldBadShare = cmp.Or(e.prior, priorBadShare)
	}
	for range min(n, maxBatch) {
		e.oldAnswers++
		e.oldBadShare += (x - e.oldBadShare) * max(minOldWeight, 1/float64(e.oldAnswers+priorAnswers))
	}
}

// minOldShare returns the lowest share of bad answers that the old version is assumed to have.
func (e *evidence) minOldShare() float64 {
	if e.peak {
		return minOldSharePeak
	}
	return minOldShare
}

// excess returns how much higher the share of bad answers of a bad version is assumed to be.
func (e *evidence) excess() float64 {
	if e.peak {
		return peakExcess
	}
	return routeExcess
}

// maxBatch is the maximum number of answers that one count of a report contributes.
const maxBatch = 2000

// oldShare returns the share of bad answers, 0 to 1, that the old version is assumed to
// have.
func (e *evidence) oldShare() float64 {
	if e.oldAnswers == 0 {
		return cmp.Or(e.prior, priorBadShare)
	}
	return min(max(e.oldBadShare, e.minOldShare()), maxOldShare)
}

// addGood adds n good answers of the new version; loaded says that they were given under
// a load like the old version's.
func (e *evidence) addGood(loaded bool, n int) {
	e.newGood += n
	old, times := e.oldShare(), float64(min(n, maxBatch))
	ratio := math.Log((1-old-e.excess())/(1-old)) * times
	e.llr = max(e.llr+ratio, -maxGoodLLR)
	if loaded {
		e.loadedLLR = max(e.loadedLLR+math.Log((1-old-loadedExcess)/(1-old))*times, -maxGoodLLR)
	}
	if e.cusum += ratio; e.cusum <= 0 {
		e.cusum = 0
		clear(e.cusumByEndpoint)
	}
}

// addBad adds n bad answers of an endpoint of the new version; loaded says that they were
// given under a load like the old version's.
func (e *evidence) addBad(endpoint uint32, loaded bool, n int) {
	if n <= 0 {
		return
	}
	e.newBad += n
	old, times := e.oldShare(), float64(min(n, maxBatch))
	ratio := math.Log((old+e.excess())/old) * times
	e.llr += ratio
	e.cusum += ratio
	if loaded {
		e.loadedLLR += math.Log((old+loadedExcess)/old) * times
	}
	if e.cusumByEndpoint == nil {
		e.cusumByEndpoint = make(map[uint32]float64)
	}
	e.cusumByEndpoint[endpoint] += ratio
}

// withoutOneEndpoint returns ratio, a sum or log likelihood ratio of e, without the part that a
// single failing endpoint may have caused. Where the endpoints share the answers, the good ones of
// the others weigh against the part of the failing one that is left. Where one endpoint gives them
// all, its good answers are in ratio already, and taking away its bad ones would leave the less
// evidence the more answers it gives.
func (e *evidence) withoutOneEndpoint(ratio float64) float64 {
	most, all := 0.0, 0.0
	for _, bad := range e.cusumByEndpoint {
		most = max(most, bad)
		all += bad
	}
	if e.peak {
		return min(ratio, maxEndpointSum+all-most)
	}
	return ratio - max(most-maxEndpointSum, 0)
}
