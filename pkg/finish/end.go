// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package finish

import "math"

const (
	// minVar is the least variance of a logarithm: that of estimates with an error of a twentieth, by which
	// the steps of an engine differ anyway.
	minVar = 0.0025
	// firstGapVar is the variance of the logarithm of the mean time between events until answers have
	// shown it: estimates are then off by a factor of about 1.5.
	firstGapVar = 0.15
	// maxGapError bounds the error of the logarithm of one mean time between events, a factor of 20: reading one
	// part of a long prompt lengthens a short answer that much, and single such errors must not widen all intervals.
	maxGapError = 3.0
	// maxZ bounds the standard score of what has come. In the tail beyond it, the error of exceeds is above
	// a tenth of the probability.
	maxZ = 3.0
	// Coverage is the fraction of answers that are to end inside the interval of an estimate.
	Coverage = 0.9
	// scaleStep is how much an answer outside the interval widens all later ones, as a fraction; one
	// inside narrows them by a ninth of that. minScale and maxScale bound the sum.
	scaleStep          = 0.05
	minScale, maxScale = 0.5, 3
	// minLogGap and maxLogGap bound the logarithm of a time between events, in seconds: less and more are not
	// told apart from ending at once and never.
	minLogGap, maxLogGap = -20, 20
)

// Calibration learns the errors of the estimates for one route.
type Calibration struct {
	// gapVar is the mean square of the error of the logarithm of the mean time between events.
	gapVar float64
	n      int
	// logScale is the logarithm of the factor of the spread with which Coverage is reached (adaptive
	// conformal inference, Gibbs and Candès, 2021).
	logScale float64
}

// AddGap adds the error of an estimate: the logarithm of the actual mean time between events less the one
// that Gaps.Log returned.
func (c *Calibration) AddGap(err float64) {
	if !finite(err) {
		return
	}
	if c.n == 0 {
		c.gapVar = firstGapVar
	}
	c.n++
	err = min(max(err, -maxGapError), maxGapError)
	c.gapVar += (err*err - c.gapVar) * max(lineWeight, 1/float64(c.n+1))
}

// AddEnd adds whether an answer ended inside the interval of its estimate.
func (c *Calibration) AddEnd(inside bool) {
	if inside {
		c.logScale -= scaleStep * (1 - Coverage)
	} else {
		c.logScale += scaleStep * Coverage
	}
	c.logScale = min(max(c.logScale, math.Log(minScale)), math.Log(maxScale))
}

func (c *Calibration) variance() float64 {
	if c == nil || c.n == 0 {
		return firstGapVar
	}
	return c.gapVar
}

func (c *Calibration) scale() float64 {
	if c == nil {
		return 1
	}
	return math.Exp(c.logScale)
}

// End estimates the rest of one answer. Use NewEnd.
type End struct {
	// mean and sigma are those of the logarithm of the number of events after the first, where sigma also
	// has the spread of the time between events. sigma is over 0.
	mean, sigma float64
	// done is the number of events after the first that have come; 0 or more.
	done float64
	// doneZ is the standard score of done, more its probability of being exceeded.
	doneZ, more float64
}

// NewEnd returns the estimate for an answer of which so many events have come, 0 or more; c may be nil.
func NewEnd(l Length, c *Calibration, events int) End {
	e := End{mean: l.Log, sigma: math.Sqrt(max(l.Var+c.variance(), minVar)) * c.scale(), done: float64(max(events-1, 0)), more: 1}
	if e.done > 0 {
		e.doneZ = min((math.Log(e.done)-e.mean)/e.sigma, maxZ)
		e.more = exceeds(e.doneZ)
	}
	return e
}

// exceeds returns the probability that a standard normal value exceeds z, by a logistic function of a
// cubic; the error is under 0.0002 (Page, 1977).
func exceeds(z float64) float64 {
	z = min(max(z, -8), 8)
	return 1 / (1 + exp(z*(1.5976+0.07056*z*z)))
}

// exp returns math.Exp(x) with a relative error under 0.00002, for x from -700 to 700. It rises with x and takes
// a quarter of the time of math.Exp.
func exp(x float64) float64 {
	x *= math.Log2E
	whole := math.Floor(x)
	f := x - whole
	// The Taylor series of 2 to the power of f.
	p := 1 + f*(0.693147180+f*(0.240226507+f*(0.0555041087+f*(0.00961812911+f*(0.00133335581+f*0.000154035304)))))
	return math.Float64frombits(uint64(int64(whole)+1023)<<52) * p
}

// UnfinishedProb returns the probability, 0 to 1, that the answer does not end within left seconds if logGap is
// the logarithm of the mean time between its next events, in seconds. Answers that have come so far are known
// not to be shorter.
func (e *End) UnfinishedProb(left, logGap float64) float64 {
	if !(left > 0) {
		return 1
	}
	if e.done > 0 {
		events := left * exp(-min(max(logGap, minLogGap), maxLogGap))
		return min(exceeds(e.doneZ+math.Log1p(events/e.done)/e.sigma)/e.more, 1)
	}
	return exceeds((math.Log(left) - logGap - e.mean) / e.sigma)
}

// Quantile returns the time in seconds within which the answer ends with probability q, 0 to 1 exclusive,
// if the mean time between its next events is gap seconds.
func (e *End) Quantile(q, gap float64) float64 {
	more := 1.0
	if e.done > 0 {
		more = 0.5 * math.Erfc(e.doneZ/math.Sqrt2)
	}
	// The probability that a normal value stays below the quantile is 1 - more*(1-q).
	z := math.Sqrt2 * math.Erfinv(1-2*more*(1-q))
	if e.done > 0 {
		return gap * e.done * math.Expm1(max(z-e.doneZ, 0)*e.sigma)
	}
	return gap * math.Exp(e.mean+e.sigma*z)
}

// Interval returns the median, and the times between which the answer ends with probability Coverage, in
// seconds.
func (e *End) Interval(gap float64) (median, low, high float64) {
	return e.Quantile(0.5, gap), e.Quantile((1-Coverage)/2, gap), e.Quantile((1+Coverage)/2, gap)
}
