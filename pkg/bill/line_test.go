// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package bill

import (
	"testing"
	"time"
)

// TestFold checks that no attempt is billed twice, however often and by whomever
// it was recorded.
func TestFold(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	part := func(id, run string, attempt int, cost float64) Line {
		return Line{ID: id, RequestID: run, At: at, Attempts: []Attempt{{RunID: run, Attempt: attempt, Cost: cost}}}
	}
	whole := part("a", "r1", 2, 5)
	whole.Whole = true
	again := whole
	again.At = at.Add(time.Second)
	again.Attempts = []Attempt{{RunID: "r2", Attempt: 1, Cost: 7}}
	tests := []struct {
		name  string
		lines []Line
		want  map[string]float64
	}{
		{"duplicated", []Line{whole, whole}, map[string]float64{"a": 5}},
		{"whole replaces parts", []Line{part("a", "r1", 1, 1), whole, part("a", "r1", 2, 5)}, map[string]float64{"a": 5}},
		{"earliest whole is kept", []Line{again, whole}, map[string]float64{"a": 5}},
		{"parts are merged once", []Line{part("b", "r", 1, 1), part("b", "r", 2, 2), part("b", "r", 1, 1)}, map[string]float64{"b": 3}},
		{"two IDs", []Line{whole, part("b", "r", 1, 1)}, map[string]float64{"a": 5, "b": 1}},
	}
	for _, tt := range tests {
		got := Fold(tt.lines)
		if len(got) != len(tt.want) {
			t.Errorf("%s: got %d lines, want %d", tt.name, len(got), len(tt.want))
		}
		for _, l := range got {
			if l.Cost() != tt.want[l.ID] {
				t.Errorf("%s: %s: got %v, want %v", tt.name, l.ID, l.Cost(), tt.want[l.ID])
			}
		}
	}
}
