// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"time"

	"github.com/traildrift/traildrift/pkg/sizes"
)

// easeEstimate is what the confidences of answers tell of a request. The zero value knows nothing.
type easeEstimate struct {
	// ease is how confident the smallest model is taken to be, from n answers.
	ease float64
	n    int
	// exact says that ease tells how far the request lies from what that model can answer;
	// otherwise it lies that far or further.
	exact bool
}

// add takes in the confidence of an answer whose model gains so many points on the smallest.
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

// recordConfidence takes in the confidence of the last answer: what it tells of the request and of the
// models. The engine's mu is held.
func (x *run) recordConfidence(confidence int) {
	if n := len(x.records); n > 1 && x.records[n-2].Confidence != sizes.Unknown {
		x.e.confidences.Add(x.records[n-2].Model, x.model(), x.records[n-2].Confidence, confidence)
	}
	x.ease.add(confidence, x.gain(x.size))
}

// gain returns how much more confident the model of a size is than the smallest one; the
// engine's mu is held.
func (x *run) gain(size int) float64 {
	if size == 0 {
		return 0
	}
	return x.e.confidences.Gain(x.route.Sizes[0], x.route.Sizes[size], size)
}

// goodProb returns the chance that a model of a size answers the request well; the engine's mu is
// held.
func (x *run) goodProb(size int) float64 {
	return x.e.confidences.GoodProb(x.ease.ease+x.gain(size), x.ease.n)
}

// bestSize returns the size of the model whose answer is expected to be worth most, less
// what it costs and what it delays; the present one if none is worth more than the answer at
// hand. The engine's mu is held.
func (x *run) bestSize(now time.Time) int {
	aim := x.route.Aim.After(x.r.Arrived).Sub(now).Seconds()
	left := x.deadline.Sub(now).Seconds() - x.e.streamTimes[x.route.Name].expect(0)
	list := []sizes.Model{{GoodProb: x.goodProb(x.size), InTimeProb: inTimeProb(0, aim)}}
	for size := x.size + 1; size < len(x.route.Sizes); size++ {
		head, delay := x.estimateHead(size, now)
		list = append(list, sizes.Model{GoodProb: x.goodProb(size), InTimeProb: inTimeProb(head, aim), TooLate: head > left, Cost: x.relativeCost(size) + delay})
	}
	next, keep, asks := sizes.Choose(list)
	t := &x.records[len(x.records)-1]
	t.GoodProb, t.KeepWorth, t.AskWorth = list[0].GoodProb, keep, asks
	return x.size + next
}

// relativeCost returns what a model of a size costs, in parts of what the request earns.
func (x *run) relativeCost(size int) float64 {
	earns := x.e.limits.Load().TokenWorth / 1000 * x.units()
	c := x.e.table.Load().Costs[x.route.Sizes[size]]
	return (c.Input*float64(x.r.TokensIn) + c.Output*float64(x.r.TokensOut)) / earns
}

// gainsKnown reports whether it is known what the larger models cost and gain: a router that
// gets a request a second needs a minute to learn it, and goes by the fixed bounds until then.
// The engine's mu is held.
func (x *run) gainsKnown() bool {
	costs := x.e.table.Load().Costs
	for _, model := range x.route.Sizes[min(x.size+1, len(x.route.Sizes)):] {
		if _, ok := costs[model]; !ok || !x.e.confidences.GainKnown(x.route.Sizes[0], model) {
			return false
		}
	}
	return true
}

// units returns what the request earns, in tokens that are read; at least 1.
func (x *run) units() float64 { return float64(max(x.r.TokensIn+outputTokenUnits*x.r.TokensOut, 1)) }

// outputTokenUnits is how many tokens that are read earn as much as one that is made: by the users'
// measure of a request's size.
const outputTokenUnits = 10
