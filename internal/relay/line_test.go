// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"math"
	"testing"
)

func TestLine(t *testing.T) {
	var none *line
	if got := none.at(5); got != 0 {
		t.Errorf("no points: got %v, want 0", got)
	}
	for _, c := range []struct {
		name   string
		points [][2]float64
		x      float64
		want   float64
	}{
		{"one point goes through the origin", [][2]float64{{1000, 0.5}}, 2000, 1},
		{"points at 0 have a height", [][2]float64{{0, 0.3}, {0, 0.5}}, 700, 0.4},
		{"points alike go through the origin", [][2]float64{{1000, 0.4}, {1001, 0.6}}, 2000, 1},
		{"a line with a height", [][2]float64{{100, 0.11}, {1000, 0.2}, {10000, 1.1}}, 5000, 0.6},
		{"it does not fall", [][2]float64{{100, 0.9}, {1000, 0.1}}, 1e6, 0.5},
	} {
		var l line
		for _, p := range c.points {
			l.add(p[0], p[1])
		}
		if got := l.at(c.x); math.Abs(got-c.want) > 0.02*c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
	var l line
	for range 200 {
		l.add(1000, 5)
	}
	for range 200 {
		l.add(1000, 0.1)
	}
	if got := l.at(1000); got > 0.12 {
		t.Errorf("after 200 points at 0.1: got %v, want the older ones forgotten", got)
	}
}
