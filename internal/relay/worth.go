// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"time"

	"github.com/traildrift/traildrift/pkg/sizes"
)

// easeEstimate estimates how easy a request is, from the confidences of its answers. The zero value
// has no data.
type easeEstimate struct {
	// ease is the estimated confidence of the smallest model, averaged over n answers.
	ease float64
	n    int
	// exact says that ease comes from confidences strictly inside their range. Otherwise the
	// confidences lie at an end of the range, so that the request is at least as easy or as hard as
	// ease says (censored).
	exact bool
}

// add adds the confidence of an answer of a model whose confidence is on average gain points above
// that of the smallest model.
func (o *easeEstimate) add(confidence int, gain float64) {
	ease, inside := float64(confidence)-gain, sizes.Uncensored(confidence)
	switch {
	case o.n == 0 || inside && !o.exact:
		*o = easeEstimate{ease, 1, inside}
	case inside:
		o.n++
		o.ease += (ease - o.ease) / float64(o.n)
	}
}

// recordConfidence adds the confidence of the last answer to the estimate for the request and to
// the statistics of the models. The caller must hold the engine's mu.
func (x *run) recordConfidence(confidence int) {
	if n := len(x.records); n > 1 && x.records[n-2].Confidence != sizes.Unknown {
		x.e.confidences.Add(x.records[n-2].Model, x.model(), x.records[n-2].Confidence, confidence)
	}
	x.ease.add(confidence, x.gain(x.size))
}

// gain returns by how many points the model with this index is on average more confident than the
// smallest one. The caller must hold the engine's mu.
func (x *run) gain(size int) float64 {
	if size == 0 {
		return 0
	}
	return x.e.confidences.Gain(x.route.Sizes[0], x.route.Sizes[size], size)
}

// goodProb returns the probability that the model with this index answers the request well. The
// caller must hold the engine's mu.
func (x *run) goodProb(size int) float64 {
	return x.e.confidences.GoodProb(x.ease.ease+x.gain(size), x.ease.n)
}

// bestSize returns the index of the model whose answer has the largest expected worth, less its
// cost and the delay to others; the present one if none is worth more than the answer at hand. The
// caller must hold the engine's mu.
func (x *run) bestSize(now time.Time) int {
	aim := x.route.Aim.After(x.r.Arrived).Sub(now).Seconds()
	end, _ := x.mustEndAt()
	left := end.Sub(now).Seconds() - x.e.streamTimes[x.route.Name].expect(0)
	list := []sizes.Model{{GoodProb: x.goodProb(x.size), InTimeProb: inTimeProb(0, aim), UnfinishedProb: x.presentUnfinishedProb(now)}}
	var buf [4]headEstimate
	estimates := buf[:0]
	for size := x.size + 1; size < len(x.route.Sizes); size++ {
		h := x.estimateHead(size, now)
		estimates = append(estimates, h)
		list = append(list, sizes.Model{GoodProb: x.goodProb(size), InTimeProb: inTimeProb(h.time, aim), UnfinishedProb: h.unfinishedProb, TooLate: h.time > left, Cost: x.relativeCost(size) + h.cost})
		// A larger model is not asked only as its answer would end elsewhere: a stream is moved for that if need be.
		// Extra attempts for it left none to streams of lost endpoints, and cost 0.02 to 0.04 on days of high load.
		list[0].UnfinishedProb = min(list[0].UnfinishedProb, h.unfinishedProb)
	}
	return x.size + x.chooseSize(&x.records[len(x.records)-1], list, estimates)
}

// relativeCost returns the cost of an answer of the model with this index, as a fraction of what
// the request earns.
func (x *run) relativeCost(size int) float64 {
	earns := x.e.limits.Load().TokenWorth / 1000 * x.units()
	c := x.e.table.Load().Costs[x.route.Sizes[size]]
	return (c.Input*float64(x.r.TokensIn) + c.Output*float64(x.r.TokensOut)) / earns
}

// gainsKnown reports whether costs and gains of all larger models are known. A router with one
// request a second needs a minute to learn the gains, and uses fixed thresholds until then. The
// caller must hold the engine's mu.
func (x *run) gainsKnown() bool {
	costs := x.e.table.Load().Costs
	for _, model := range x.route.Sizes[min(x.size+1, len(x.route.Sizes)):] {
		if _, ok := costs[model]; !ok || !x.e.confidences.GainKnown(x.route.Sizes[0], model) {
			return false
		}
	}
	return true
}

// units returns what the request earns, in units of one token read; at least 1.
func (x *run) units() float64 { return float64(max(x.r.TokensIn+outputTokenUnits*x.r.TokensOut, 1)) }

// outputTokenUnits is how many tokens that are read earn as much as one that is generated, by the
// measure of a request's size that Limits.TokenWorth uses.
const outputTokenUnits = 10
