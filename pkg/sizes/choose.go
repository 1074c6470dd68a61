// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package sizes

// Model holds the estimates for a model that may answer a request, or has answered it. Its
// value and its cost are parts of the value of a good answer in time, which is 1.
type Model struct {
	// GoodProb is the probability, 0 to 1, that the answer is good.
	GoodProb float64
	// InTimeProb is the probability, 0 to 1, that the answer comes in time. It is 0 or 1 for
	// a model that has answered.
	InTimeProb float64
	// UnfinishedProb is the probability, 0 to 1, that the answer does not end before the caller gives
	// up. Such an answer has no value.
	UnfinishedProb float64
	// TooLate says that the answer cannot come before the caller gives up.
	TooLate bool
	// Cost is the cost of asking the model; 0 for one that has answered.
	Cost float64
}

const (
	// lateWorth and weakWorth are the values of a late and of a weak answer. On the users'
	// routes a late answer is worth a tenth to a third and a weak one a twentieth of a good
	// answer in time.
	lateWorth = 0.2
	weakWorth = 0.05
)

// timeFactor returns the factor by which the probability of coming in time reduces the
// expected value of an answer.
func timeFactor(inTime float64) float64 { return inTime + (1-inTime)*lateWorth }

// qualityFactor returns the factor by which the probability of being good reduces the
// expected value of an answer.
func qualityFactor(good float64) float64 { return good + (1-good)*weakWorth }

// worth returns the expected value of the model's answer less its cost.
func (m *Model) worth() float64 {
	return (1-m.UnfinishedProb)*timeFactor(m.InTimeProb)*qualityFactor(m.GoodProb) - m.Cost
}

// Choose returns the index in list of the model with the highest expected net value; 0 means
// to keep the answer at hand. list holds the models that may serve the request, smallest
// first; the first one has answered and list must not be empty. keepWorth is the expected
// net value of that answer, bestWorth that of the choice. The value of a model includes the
// gain of asking a still larger one after it.
func Choose(list []Model) (next int, keepWorth, bestWorth float64) {
	keepWorth = list[0].worth()
	bestWorth = keepWorth
	for i := 1; i < len(list); i++ {
		if list[i].TooLate {
			continue
		}
		if w := list[i].worth() + escalationGain(list[i], list[i+1:]); w > bestWorth {
			next, bestWorth = i, w
		}
	}
	return next, keepWorth, bestWorth
}

// escalationGain returns the expected gain of asking one of the larger models if the answer
// of m turns out to be weak; 0 if none of them gains anything.
func escalationGain(m Model, larger []Model) (most float64) {
	for _, l := range larger {
		if l.TooLate || l.GoodProb <= m.GoodProb {
			continue
		}
		// The larger model is assumed to answer well whatever m answers well. Its answer
		// comes after that of m.
		weak := 1 - m.GoodProb
		asked := Model{GoodProb: (l.GoodProb - m.GoodProb) / weak, InTimeProb: l.InTimeProb * m.InTimeProb, UnfinishedProb: l.UnfinishedProb, Cost: l.Cost}
		most = max(most, weak*(asked.worth()-(1-m.UnfinishedProb)*timeFactor(m.InTimeProb)*weakWorth))
	}
	return most
}
