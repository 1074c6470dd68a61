// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package sizes chooses the model of a cascade: models that serve the same
// request, smallest first, each dearer and better than the one before.
package sizes

// Policy says which model is asked next. The zero value asks the smallest and
// keeps its answer.
type Policy struct {
	// Straight is the confidence, 0 to 100, under which an answer gives way to
	// the largest model, Step that under which it gives way to the next one.
	// Straight is at most Step.
	Straight, Step int
}

// Unknown is the confidence of an answer that does not tell it.
const Unknown = -1

// Next returns the index of the model to ask after the one at index size, of n,
// answered with the given confidence; it returns size if the answer is good
// enough.
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

// Under returns the confidence under which an answer of the model at index size gives way
// to the larger one at index next.
func (p Policy) Under(size, next int) int {
	if next > size+1 {
		return p.Straight
	}
	return p.Step
}
