// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package bill holds the lines that requests are billed on and folds what
// entries and guards wrote of them to exactly one line for each bill ID.
package bill

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Attempt is one run of an endpoint that is billed.
type Attempt struct {
	RunID            string  `json:"runID"`
	Attempt          int     `json:"attempt"`
	VM               string  `json:"vm"`
	Model            string  `json:"model,omitempty"`
	Version          string  `json:"version,omitempty"`
	PromptTokens     int     `json:"promptTokens"`
	CompletionTokens int     `json:"completionTokens"`
	Cost             float64 `json:"cost"`
}

// Line is what a request is billed.
type Line struct {
	// ID is the workspace and the caller's key, else the request ID.
	ID        string `json:"id"`
	RequestID string `json:"requestID"`
	Workspace string `json:"workspace"`
	Workload  string `json:"workload"`
	// At is when the request was answered.
	At       time.Time `json:"at"`
	Attempts []Attempt `json:"attempts"`
	// Whole says that the line sums up the whole request, as the entry
	// writes it; a guard's line knows its own attempt only.
	Whole bool `json:"whole,omitempty"`
}

// Cost returns the sum over the attempts.
func (l Line) Cost() float64 {
	sum := 0.0
	for _, a := range l.Attempts {
		sum += a.Cost
	}
	return sum
}

// CostOf returns what tokens cost at a price per million.
func CostOf(perMillion float64, promptTokens, completionTokens int) float64 {
	const million = 1e6
	return perMillion * float64(promptTokens+completionTokens) / million
}

// Fold returns one line for each bill ID, in the order of IDs. A whole line
// counts alone, and of several the first by request ID and time; otherwise
// the guards' attempts are joined, each once.
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
