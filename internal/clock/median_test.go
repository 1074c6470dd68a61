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

// TestDelayedMessagesDoNotSetTheClockBack observes clocks by messages of which later ones are delayed, as
// on a busy VM. Guards against requests that are counted in the window before theirs: with a tenth of a
// second of delay, a window had 42 requests reported and 35 begun. A clock that is really late, as its
// process was restarted, is followed within two periods.
func TestDelayedMessagesDoNotSetTheClockBack(t *testing.T) {
	truth := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var boot time.Duration
	k := NewMedianClock(func() time.Duration { return boot }, truth)
	observe := func(behind time.Duration) {
		for name := range 4 {
			k.Observe(fmt.Sprint(name), truth.Add(boot-behind))
		}
	}
	const prompt, delayed = time.Millisecond, 900 * time.Millisecond
	for i := range 20 {
		boot = time.Duration(i) * time.Second
		behind := prompt
		if i%2 == 1 {
			behind = delayed
		}
		observe(behind)
		if got := k.Now().Sub(truth.Add(boot)); got != -prompt {
			t.Errorf("after %v: got %v ahead, want %v", boot, got, -prompt)
		}
	}
	from := boot
	for boot <= from+2*observationPeriod {
		boot += time.Second
		observe(delayed)
	}
	if got := k.Now().Sub(truth.Add(boot)); got != -delayed {
		t.Errorf("%v after the clocks were late: got %v ahead, want %v", boot-from, got, -delayed)
	}
}
