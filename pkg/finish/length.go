// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package finish

import "math"

// hintRidge: an answer is as long as its hint, times a factor, until hints prove to be worth less. A
// variance of 0.02 is that of hints that are right to a seventh, too even to show a slope. Under 0, a
// slope would be by chance; over 1, long hints would be trusted beyond what they say.
var hintRidge = ridge{prior: 1, weight: 0.02, low: 0, high: 1, minSD: 0.5}

// Lengths learns the number of events of the answers of one route.
type Lengths struct {
	// hinted is the regression on the logarithm of the hint, all has the answers with and without a hint.
	hinted, all line
}

// Length is the estimated logarithm of the number of events after the first, and its variance.
type Length struct{ Log, Var float64 }

// logAfter returns the logarithm of the number of events after the first. One event has half an event
// after it, so that the logarithm is finite.
func logAfter(events int) float64 { return math.Log(max(float64(events-1), 0.5)) }

// Add adds an answer that ended after so many events, 1 or more. hint is the caller's estimate of its
// tokens; 0 or less for none.
func (l *Lengths) Add(hint, events int) {
	if events >= 1 {
		l.add(hint, logAfter(events))
	}
}

func (l *Lengths) add(hint int, logEvents float64) {
	l.all.add(0, logEvents, &hintRidge)
	if hint > 0 {
		l.hinted.add(math.Log(float64(hint)), logEvents, &hintRidge)
	}
}

// AddCut adds an answer that was cut off after so many events. Its length is taken as the mean of the
// lengths that are longer (Buckley and James, 1979). Without it, the longest answers, which are cut off most, would
// be missing. An answer that was cut before its usual length says nothing and is ignored.
func (l *Lengths) AddCut(hint, events int) {
	e, ok := l.Estimate(hint)
	if !ok || events < 1 {
		return
	}
	sigma := math.Sqrt(max(e.Var, minVar))
	z := min((logAfter(events)-e.Log)/sigma, maxZ)
	if z <= 0 {
		return
	}
	hazard := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi) / (0.5 * math.Erfc(z/math.Sqrt2))
	l.add(hint, max(e.Log+sigma*hazard, logAfter(events)))
}

// Estimate returns the length of an answer with a hint; 0 or less for none. It reports false without data.
func (l *Lengths) Estimate(hint int) (Length, bool) {
	if l == nil {
		return Length{}, false
	}
	if hint > 0 && l.hinted.n >= minValues {
		return Length{l.hinted.at(math.Log(float64(hint))), l.hinted.variance()}, true
	}
	return Length{l.all.my, l.all.variance()}, l.all.n >= minValues
}
