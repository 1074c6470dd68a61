// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package clock

import (
	"testing"
	"time"
)

// manualClocks are clocks that the test advances.
type manualClocks struct {
	now  time.Time
	boot time.Duration
}

// advance advances both clocks.
func (h *manualClocks) advance(d time.Duration) { h.now, h.boot = h.now.Add(d), h.boot+d }

// suspend advances only the clock that includes suspensions.
func (h *manualClocks) suspend(d time.Duration) { h.boot += d }

func newStallDetector() (*manualClocks, *StallDetector) {
	h := &manualClocks{now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), boot: time.Hour}
	return h, &StallDetector{Boot: func() time.Duration { return h.boot }, Now: func() time.Time { return h.now }, MinGap: 400 * time.Millisecond}
}

// TestStallDetector checks that a frozen process and a suspended VM are both detected, before the next
// tick and by it, and that ages include the stall: state from before a suspension must not appear newer
// than it is.
func TestStallDetector(t *testing.T) {
	for _, c := range []struct {
		name     string
		cause    func(h *manualClocks)
		stall    time.Duration
		resuming bool
		age      time.Duration
	}{
		{"runs", func(h *manualClocks) { h.advance(100 * time.Millisecond) }, 0, false, 400 * time.Millisecond},
		{"late tick", func(h *manualClocks) { h.advance(300 * time.Millisecond) }, 0, false, 600 * time.Millisecond},
		{"frozen", func(h *manualClocks) { h.advance(5 * time.Second) }, 5 * time.Second, true, 5300 * time.Millisecond},
		{"suspended", func(h *manualClocks) { h.suspend(5 * time.Second); h.advance(10 * time.Millisecond) }, 5010 * time.Millisecond, true, 5310 * time.Millisecond},
		{"suspended for half a second", func(h *manualClocks) { h.suspend(500 * time.Millisecond) }, 500 * time.Millisecond, true, 800 * time.Millisecond},
	} {
		clocks, s := newStallDetector()
		beforeStall := clocks.now
		for range 3 {
			clocks.advance(100 * time.Millisecond)
			s.Tick()
		}
		c.cause(clocks)
		if got := s.Resuming(0); got != c.resuming {
			t.Errorf("%s: Resuming before the tick: got %v, want %v", c.name, got, c.resuming)
		}
		if got := s.Age(beforeStall, clocks.now); got != c.age {
			t.Errorf("%s: age of a time before the stall, before the tick: got %v, want %v", c.name, got, c.age)
		}
		if got := s.Tick(); got != c.stall {
			t.Errorf("%s: duration of the stall: got %v, want %v", c.name, got, c.stall)
		}
		if got := s.Resuming(30 * time.Millisecond); got != c.resuming {
			t.Errorf("%s: Resuming after the tick: got %v, want %v", c.name, got, c.resuming)
		}
		if got := s.Age(beforeStall, clocks.now); got != c.age {
			t.Errorf("%s: age of a time before the stall, after the tick: got %v, want %v", c.name, got, c.age)
		}
		clocks.advance(50 * time.Millisecond)
		if s.Resuming(30 * time.Millisecond) {
			t.Errorf("%s: Resuming 50 ms after the tick: got true, want false", c.name)
		}
		if got := s.Age(clocks.now, clocks.now); got != 0 {
			t.Errorf("%s: age of the present: got %v, want 0", c.name, got)
		}
	}
}

// TestBoot checks that the boot clock of this machine advances with the timers.
func TestBoot(t *testing.T) {
	a := Boot()
	<-time.After(5 * time.Millisecond)
	if d := Boot() - a; d < 5*time.Millisecond || d > 5*time.Second {
		t.Errorf("advance of Boot over 5 ms: got %v, want 5 ms to 5 s", d)
	}
}
