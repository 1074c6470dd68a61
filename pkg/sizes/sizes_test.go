// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package sizes

import "testing"

func TestNext(t *testing.T) {
	p := Policy{Straight: 40, Step: 60}
	for _, c := range []struct{ size, n, confidence, want int }{
		{0, 3, 90, 0},
		{0, 3, 59, 1},
		{0, 3, 39, 2},
		{1, 3, 50, 2},
		{2, 3, 5, 2},
		{0, 1, 5, 0},
		{0, 3, Unknown, 0},
	} {
		if got := p.Next(c.size, c.n, c.confidence); got != c.want {
			t.Errorf("size %d of %d, confidence %d: got %d, want %d", c.size, c.n, c.confidence, got, c.want)
		}
	}
}
