// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package sizes

import "math"

// ConfidenceStats estimates, from the confidences that models of different sizes report in
// answers to the same requests, how much more confident a larger model is than a smaller
// one, and the noise of a confidence. Confidences are in points, 0 to 100.
//
// The distance of a confidence from EvenConfidence is taken as the distance of the request
// from the limit of what the model can answer, plus normally distributed noise.
// The zero value has no samples and returns the priors. ConfidenceStats is not safe for
// concurrent use.
type ConfidenceStats struct {
	pairs map[pair]*gainMean
	// variance is that of the differences around the mean of their pair, in squared points,
	// and n the number of differences in it, at most maxSamples.
	variance, n float64
}

// pair names a smaller and a larger model.
type pair struct{ smaller, larger string }

// gainMean is the moving average of n differences, in points; n stops at maxSamples, so that
// the mean follows later changes.
type gainMean struct{ mean, n float64 }

const (
	// EvenConfidence is the confidence of a model that is as likely to be right as wrong.
	EvenConfidence = 50
	// priorGain is the assumed difference in confidence between a model and the next larger
	// one while few samples exist: it takes a request from poor to even odds. priorNoise is
	// the assumed standard deviation of a confidence, a tenth of the scale. Both are in
	// points.
	priorGain  = 30
	priorNoise = 10
	// minSamples is the number of differences from which their mean is used: the standard
	// error of the mean is then under half the noise.
	minSamples = 8
	// maxSamples is the number of differences over which the averages extend: at one or two
	// a second, those of the last minutes.
	maxSamples = 200
	// scaleMargin is the distance from the ends of the scale, in points, within which a
	// confidence is censored.
	scaleMargin = 3
	// minNoise and maxNoise bound the estimated noise, in points.
	minNoise, maxNoise = 3, 40
)

// Add adds the confidences of a smaller and a larger model in answers to the same request.
// Pairs with a censored confidence are left out, so that a gain that mostly ends at the end
// of the scale is estimated slightly too low.
func (o *ConfidenceStats) Add(smaller, larger string, before, after int) {
	if !Uncensored(before) || !Uncensored(after) || smaller == larger {
		return
	}
	if o.pairs == nil {
		o.pairs, o.variance = make(map[pair]*gainMean), 2*priorNoise*priorNoise
	}
	key := pair{smaller, larger}
	g, ok := o.pairs[key]
	if !ok {
		g = new(gainMean)
		o.pairs[key] = g
	}
	d := float64(after - before)
	off := d - g.mean
	g.n = min(g.n+1, maxSamples)
	g.mean += off / g.n
	if g.n < minSamples {
		return
	}
	o.n = min(o.n+1, maxSamples)
	o.variance += (off*(d-g.mean) - o.variance) / (o.n + minSamples)
}

// Uncensored reports whether a confidence lies inside the scale and so measures how far a
// request is from the limit of what the model can answer. A confidence at an end of the
// scale gives only a lower bound of that distance.
func Uncensored(confidence int) bool { return confidence > scaleMargin && confidence < 100-scaleMargin }

// Gain returns by how many points the larger model is expected to be more confident, at
// least 0. Without enough samples of the pair it is the prior for a model that is steps
// sizes larger.
func (o *ConfidenceStats) Gain(smaller, larger string, steps int) float64 {
	if o.GainKnown(smaller, larger) {
		return max(o.pairs[pair{smaller, larger}].mean, 0)
	}
	return float64(priorGain * steps)
}

// GainKnown reports whether there are enough samples of a pair of models for Gain to use
// them.
func (o *ConfidenceStats) GainKnown(smaller, larger string) bool {
	g, ok := o.pairs[pair{smaller, larger}]
	return ok && g.n >= minSamples
}

// Noise returns the standard deviation of one model's confidence, in points. A difference of
// two confidences has twice their variance.
func (o *ConfidenceStats) Noise() float64 {
	if o.pairs == nil {
		return priorNoise
	}
	return min(max(math.Sqrt(o.variance/2), minNoise), maxNoise)
}

// GoodProb returns the probability, 0 to 1, that an answer is good if its model's expected
// confidence is confidence, in points, averaged over the given number of samples.
func (o *ConfidenceStats) GoodProb(confidence float64, samples int) float64 {
	noise := o.Noise() / math.Sqrt(float64(max(samples, 1)))
	return 0.5 * math.Erfc((EvenConfidence-confidence)/(noise*math.Sqrt2))
}
