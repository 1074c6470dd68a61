// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package bill defines the billing records of requests and reduces those that
// entries and guards wrote to exactly one line for each bill ID.
package bill

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Attempt is one billed run at an endpoint.
type Attempt struct {
	// RunID and Attempt identify the attempt. RunID is the request ID, and
	// Attempt the number of the decision on the request that led to it, from 1.
	RunID   string `json:"runID"`
	Attempt int    `json:"attempt"`
	// VM names the VM of the endpoint.
	VM string `json:"vm"`
	// Model and Version name the model version that ran; both are empty for
	// a service.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	// PromptTokens and CompletionTokens are the usage that the endpoint
	// reported.
	PromptTokens     int `json:"promptTokens"`
	CompletionTokens int `json:"completionTokens"`
	// Cost is the price of the tokens, in the operator's unit.
	Cost float64 `json:"cost"`
}

// Line is the billing record of one request.
type Line struct {
	// ID is the bill ID: workspace/key if the caller sent a key, else the
	// request ID.
	ID        string `json:"id"`
	RequestID string `json:"requestID"`
	Workspace string `json:"workspace"`
	Workload  string `json:"workload"`
	// At is when the request ended or, on a guard's line, when the run ended.
	At       time.Time `json:"at"`
	Attempts []Attempt `json:"attempts"`
	// Whole reports whether the line covers all attempts of the request. The
	// entry writes such lines; a guard's line covers only its own attempt.
	Whole bool `json:"whole,omitempty"`
}

// Cost returns the sum of the costs of all attempts, in the operator's unit.
func (l Line) Cost() float64 {
	sum := 0.0
	for _, a := range l.Attempts {
		sum += a.Cost
	}
	return sum
}

// CostOf returns the cost of tokens at a price per million tokens, in the unit
// of the price. Prompt and completion tokens cost the same.
func CostOf(perMillion float64, promptTokens, completionTokens int) float64 {
	const million = 1e6
	return perMillion * float64(promptTokens+completionTokens) / million
}

// Fold returns one line for each bill ID, sorted by ID. Whole lines replace
// guards' lines; of several whole lines the earliest is kept, and at equal times
// the one with the lowest request ID. Without a whole line the attempts of the
// guards' lines are merged, each once.
func Fold(lines []Line) []Line {
	byID := make(map[string]Line)
	for _, l := range lines {
		old, ok := byID[l.ID]
		if !ok {
			byID[l.ID] = l
			continue
		}
		byID[l.ID] = join(old, l)
	}
	out := make([]Line, 0, len(byID))
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		out = append(out, byID[id])
	}
	return out
}

// join reduces two lines of one bill ID to one.
func join(a, b Line) Line {
	if a.Whole != b.Whole {
		if a.Whole {
			return a
		}
		return b
	}
	if a.Whole {
		if cmp.Or(a.At.Compare(b.At), cmp.Compare(a.RequestID, b.RequestID)) <= 0 {
			return a
		}
		return b
	}
	out := a
	out.Attempts = slices.Clone(a.Attempts)
	for _, x := range b.Attempts {
		if !slices.ContainsFunc(out.Attempts, func(y Attempt) bool { return x.RunID == y.RunID && x.Attempt == y.Attempt }) {
			out.Attempts = append(out.Attempts, x)
		}
	}
	slices.SortFunc(out.Attempts, func(x, y Attempt) int {
		return cmp.Or(cmp.Compare(x.RunID, y.RunID), cmp.Compare(x.Attempt, y.Attempt))
	})
	return out
}
