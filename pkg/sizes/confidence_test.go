// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package sizes

import (
	"math"
	"math/rand/v2"
	"testing"
)

// drawConfidence returns the confidence of a model in an answer: ease, with normally distributed
// noise of the given standard deviation, clipped to the scale.
func drawConfidence(rnd *rand.Rand, ease, noise float64) int {
	return int(min(max(ease+noise*rnd.NormFloat64(), 0), 100))
}

// TestConfidenceStats checks that the gain of a pair and the noise are learned from some ten
// answers, and again after both have changed. The samples are those of a cascade: the larger
// model is asked where the confidence of the smaller one is below 60.
func TestConfidenceStats(t *testing.T) {
	var o ConfidenceStats
	if got := o.Gain("s", "l", 2); got != 2*priorGain {
		t.Errorf("gain of two sizes without samples: got %v, want %v", got, 2*priorGain)
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	learn := func(n int, gain, noise float64) {
		for range n {
			ease := 120*rnd.Float64() - 10
			if c := drawConfidence(rnd, ease, noise); c < 60 {
				o.Add("s", "l", c, drawConfidence(rnd, ease+gain, noise))
			}
		}
	}
	for _, c := range []struct {
		n                   int
		gain, noise, within float64
	}{{40, 30, 10, 8}, {400, 30, 10, 3}, {800, 15, 5, 3}, {800, 25, 15, 5}} {
		learn(c.n, c.gain, c.noise)
		if got := o.Gain("s", "l", 1); math.Abs(got-c.gain) > c.within {
			t.Errorf("after %d answers: gain: got %.1f, want %.0f within %.0f", c.n, got, c.gain, c.within)
		}
		if got := o.Noise(); math.Abs(got-c.noise) > c.within {
			t.Errorf("after %d answers: noise: got %.1f, want %.0f within %.0f", c.n, got, c.noise, c.within)
		}
	}
}

func TestGoodProb(t *testing.T) {
	var o ConfidenceStats
	for _, c := range []struct {
		confidence float64
		samples    int
		want       float64
	}{{50, 1, 0.5}, {60, 1, 0.84}, {40, 1, 0.16}, {60, 4, 0.977}} {
		if got := o.GoodProb(c.confidence, c.samples); math.Abs(got-c.want) > 0.005 {
			t.Errorf("confidence %v, %d samples: got %.3f, want %.3f", c.confidence, c.samples, got, c.want)
		}
	}
}

// TestChoose checks that the model with the highest net value is chosen: a cheap one after a
// doubtful answer, the best one after a weak answer, and none after a good answer or where
// the new answer would be too late.
func TestChoose(t *testing.T) {
	small := func(good float64) Model { return Model{GoodProb: good, InTimeProb: 1} }
	middle := func(good float64) Model { return Model{GoodProb: good, InTimeProb: 0.95, Cost: 0.04} }
	large := Model{GoodProb: 0.98, InTimeProb: 0.9, Cost: 0.15}
	late := large
	late.InTimeProb = 0
	never := large
	never.TooLate = true
	unfinished := large
	unfinished.UnfinishedProb = 0.9
	for _, c := range []struct {
		name string
		list []Model
		want int
	}{
		{"good", []Model{small(0.98), middle(0.99), large}, 0},
		{"doubtful", []Model{small(0.7), middle(0.93), large}, 1},
		{"weak", []Model{small(0.02), middle(0.05), large}, 2},
		{"weak, the largest is late and costs more than it gains", []Model{small(0.02), {GoodProb: 0.05, InTimeProb: 0.9, Cost: 0.04}, late}, 0},
		{"weak, the largest is too late", []Model{small(0.02), middle(0.3), never}, 1},
		{"weak, the largest rarely ends in time", []Model{small(0.02), middle(0.3), unfinished}, 1},
		{"the answer at hand never ends, the largest does", []Model{{GoodProb: 0.98, InTimeProb: 1, UnfinishedProb: 1}, large}, 1},
		{"late already", []Model{{GoodProb: 0.9}, {GoodProb: 0.99, Cost: 0.04}}, 0},
		{"only one model", []Model{small(0.1)}, 0},
	} {
		if got, _, _ := Choose(c.list); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}
