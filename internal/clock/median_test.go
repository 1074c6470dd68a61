// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package clock

import (
	"fmt"
	"testing"
	"time"
)

// TestMedianClock checks that a clock that was stepped before its process started returns the true time
// once it has observed a few others, that a right clock is not moved by a minority of stepped ones, and
// that observations expire.
func TestMedianClock(t *testing.T) {
	truth := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, c := range []struct {
		name string
		// local is how far the local clock is ahead of the true time, and others
		// how far the other clocks are.
		local  time.Duration
		others []time.Duration
		want   time.Duration
	}{
		{"alone", 0, nil, 0},
		{"alone and stepped", time.Second, nil, time.Second},
		{"two that differ", 0, []time.Duration{2 * time.Second}, 0},
		{"stepped beside two", 2 * time.Second, []time.Duration{0, 0}, 0},
		{"stepped back beside three", -2 * time.Second, []time.Duration{0, 0, 3 * time.Millisecond}, 0},
		{"right beside one stepped of three", 0, []time.Duration{0, 2 * time.Second, 0}, 0},
		{"right beside two stepped of five", 0, []time.Duration{2 * time.Second, 0, 0, 2 * time.Second, 0}, 0},
	} {
		var boot time.Duration
		k := NewMedianClock(func() time.Duration { return boot }, truth.Add(c.local))
		for i, by := range c.others {
			k.Observe(fmt.Sprint(i), truth.Add(by))
		}
		boot = time.Second
		if got := k.Now().Sub(truth.Add(boot)); got != c.want {
			t.Errorf("%s: got %v ahead, want %v", c.name, got, c.want)
		}
		boot = offsetTTL + 2*time.Second
		if got := k.Now().Sub(truth.Add(boot)); got != c.local {
			t.Errorf("%s: after the observations expired: got %v ahead, want the local clock's %v", c.name, got, c.local)
		}
	}
}
