// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package sizes chooses the next model in a cascade: models that serve the same request,
// smallest first, each more expensive and better than the one before.
//
// Policy decides by fixed thresholds of confidence. Choose decides by expected value and
// cost; ConfidenceStats provides the probabilities that it needs. A confidence is what a
// model reports with its answer, in points from 0 to 100. A size is the index of a model in
// its cascade.
package sizes

// Policy chooses the next model by the confidence of the last answer. The zero value keeps
// every answer.
type Policy struct {
	// Straight is the confidence, 0 to 100, below which the largest model is asked, Step that
	// below which the next larger one is asked. Straight is at most Step. Both are configured
	// by the operator.
	Straight, Step int
}

// Unknown is the confidence of an answer that reports none.
const Unknown = -1

// Next returns the size of the model to ask after the one of the given size, of n models,
// answered with the given confidence. It returns size if that answer is to be kept.
func (p Policy) Next(size, n, confidence int) int {
	last := n - 1
	switch {
	case confidence == Unknown || size >= last:
		return size
	case confidence < p.Straight:
		return last
	case confidence < p.Step:
		return size + 1
	default:
		return size
	}
}

// Threshold returns the confidence below which an answer of the model at size leads to the
// larger one at size next.
func (p Policy) Threshold(size, next int) int {
	if next > size+1 {
		return p.Straight
	}
	return p.Step
}
