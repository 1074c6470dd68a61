// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package price sets the price of a service's engine time from the waits that its requests report.
//
// A price is the value of a second of engine time to waiting requests, in units of the worth of a mean
// request. A Controller learns it: the logarithm of the price rises while the mean wait is above Target
// and falls while it is below. A multiplicative controller needs no estimate of capacity or demand, whose
// scales differ by orders of magnitude between services. The package reads no clock and takes no lock.
package price

import (
	"math"
	"time"
)

const (
	// Target is the mean wait, as a fraction of the target latency, above which the price rises. Within
	// the rest there is time for an answer of a larger model after a dropped one. A price from a tenth on also
	// holds larger models back where callers do not notice the waits.
	Target = 0.2
	// Min is the least price other than 0, in worths of a mean request per second. Below 0.2 a price hardly
	// matters, as the largest model reads a long prompt in 0.4 s; Min is a tenth of that, so that a single
	// long wait changes nothing.
	Min = 0.02
	// Max is the highest price, in the same unit. It keeps the largest model even from urgent queries of the first
	// customer of docs/contention.md, whose reading takes 0.03 s and which earn 0.3 of a mean request. A higher price
	// takes longer to fall once a load has ended, and larger models are held back for that time.
	Max = 15

	// meanTime is the time, in seconds, in which the weight of a wait in the mean falls to 1/e. Callers
	// notice waits of a second or two, and a router sees 1 to 10 attempts in this time.
	meanTime = 0.5
	// priorWaits is the number of waits of 0 that the mean assumes beside those observed, so that one long
	// wait at a router with few requests has little effect, and none remains once requests cease.
	priorWaits = 1
	// maxWait bounds the effect of one wait, in target latencies: from there on a request is late anyway.
	maxWait = 1
	// riseRate, slowRiseRate (from usefulPrice on) and fallRate are the changes of the logarithm of the price
	// per second and per unit of ln(mean wait/Target). At waits of half the target latency the price is 1.6 after
	// 2 s of 4 attempts a second, 3.4 of 10 and 5.3 of 100. What it changes shows in the waits a second or more
	// later, so that faster changes where it matters make it swing: in the fluid model of the tests, the demand
	// deviates from the capacity by up to 0.52 of it with a fallRate of 0.4, and by 0.36 with 0.2.
	riseRate     = 5
	slowRiseRate = 1
	fallRate     = 0.2
	usefulPrice  = 1
	// maxShortfall bounds ln(mean wait/Target) from below; maxWait bounds it from above. Without waits, Max falls
	// to 0 within 16 s.
	maxShortfall = -2
	// instant is the exponent of mean wait/Target in the price itself. Without it the price would only
	// follow the sum of past waits, and waits are a sum of past demand: two sums in a loop swing.
	instant = 0.75
	// maxStep is the longest time, in seconds, that the controller advances at once. maxSteps bounds the
	// number of steps after a time without use.
	maxStep  = 0.05
	maxSteps = 64
)

// Controller learns the price of a service's engine time. The zero value has price 0. A Controller is
// not safe for concurrent use. A time before that of an earlier call counts as that of the earlier call.
type Controller struct {
	// level is the logarithm of the lasting part of the price over Min, 0 to ln(Max/Min).
	level float64
	// sum and n are the decayed sum and number of the waits.
	sum, n float64
	// at is the time to which the controller has advanced; zero before the first use.
	at time.Time
}

// These are the logarithms of Max and usefulPrice over Min.
var maxLevel, usefulLevel = math.Log(Max / Min), math.Log(usefulPrice / Min)

// Observe adds the wait of one attempt, as a fraction of the target latency of its route. Values below 0
// count as 0, values above 1 as 1. NaN is ignored.
func (c *Controller) Observe(now time.Time, wait float64) {
	if math.IsNaN(wait) {
		return
	}
	c.advance(now)
	c.sum += min(max(wait, 0), maxWait)
	c.n++
}

// Price returns the price: 0, or from Min to Max, in worths of a mean request per second of engine time.
func (c *Controller) Price(now time.Time) float64 {
	c.advance(now)
	if c.level <= 0 {
		return 0
	}
	level := c.level + instant*c.excess()
	if level < 0 {
		return 0
	}
	return min(Min*math.Exp(level), Max)
}

// MeanWait returns the mean wait as a fraction of the target latency, 0 to 1.
func (c *Controller) MeanWait(now time.Time) float64 {
	c.advance(now)
	return c.mean()
}

func (c *Controller) mean() float64 { return c.sum / (c.n + priorWaits) }

// excess returns ln(mean wait/Target) within its bounds.
func (c *Controller) excess() float64 {
	return max(math.Log(c.mean()/Target), maxShortfall)
}

// advance applies the time since the last call.
func (c *Controller) advance(now time.Time) {
	if c.at.IsZero() {
		c.at = now
	}
	d := now.Sub(c.at).Seconds()
	if d <= 0 {
		return
	}
	c.at = now
	if c.level <= 0 && c.mean() <= Target {
		c.decay(d)
		return
	}
	steps := min(math.Ceil(d/maxStep), maxSteps)
	for range int(steps) {
		x := c.excess()
		c.level = min(max(c.level+c.rate(x)*x*d/steps, 0), maxLevel)
		c.decay(d / steps)
	}
}

// rate returns the speed of the level per unit of an excess.
func (c *Controller) rate(excess float64) float64 {
	switch {
	case excess < 0:
		return fallRate
	case c.level > usefulLevel:
		return slowRiseRate
	default:
		return riseRate
	}
}

// decay lowers the weight of the waits by the effect of d seconds.
func (c *Controller) decay(d float64) {
	f := math.Exp(-d / meanTime)
	c.sum *= f
	c.n *= f
}

// Cost returns what a run costs the requests that wait, as a fraction of its own worth. price is the
// price, seconds the engine time of the run, others the worth of a mean request as a multiple of that of
// this one, and rank its rank, of which each step doubles the cost: in a shortage the less urgent
// requests do without first. Values below 0 and NaN count as 0.
func Cost(price, seconds, others float64, rank int) float64 {
	c := math.Ldexp(price*seconds*others, max(rank, 0))
	if !(c > 0) {
		return 0
	}
	return c
}
