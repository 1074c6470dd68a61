// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package clock

import (
	"testing"
	"time"
)

// manualClocks are clocks that the test advances.
type hands struct {
	now  time.Time
	boot time.Duration
}

// advance advances both clocks.
func (h *hands) pass(d time.Duration) { h.now, h.boot = h.now.Add(d), h.boot+d }

// suspend advances only the clock that includes suspensions.
func (h *hands) sleep(d time.Duration) { h.boot += d }

func newStill() (*hands, *Still) {
	h := &hands{now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), boot: time.Hour}
	return h, &Still{Boot: func() time.Duration { return h.boot }, Now: func() time.Time { return h.now }, Least: 400 * time.Millisecond}
}

// TestStallDetector checks that a frozen process and a suspended VM are both detected, before the next
// tick and by it, and that ages include the stall: state from before a suspension must not appear newer
// than it is.
func TestStill(t *testing.T) {
	for _, c := range []struct {
		name   string
		stop   func(h *hands)
		stood  time.Duration
		waking bool
		age    time.Duration
	}{
		{"runs", func(h *hands) { h.pass(100 * time.Millisecond) }, 0, false, 400 * time.Millisecond},
		{"late tick", func(h *hands) { h.pass(300 * time.Millisecond) }, 0, false, 600 * time.Millisecond},
		{"frozen", func(h *hands) { h.pass(5 * time.Second) }, 5 * time.Second, true, 5300 * time.Millisecond},
		{"suspended", func(h *hands) { h.sleep(5 * time.Second); h.pass(10 * time.Millisecond) }, 5010 * time.Millisecond, true, 5310 * time.Millisecond},
		{"suspended for half a second", func(h *hands) { h.sleep(500 * time.Millisecond) }, 500 * time.Millisecond, true, 800 * time.Millisecond},
	} {
		h, s := newStill()
		proven := h.now
		for range 3 {
			h.pass(100 * time.Millisecond)
			s.Tick()
		}
		c.stop(h)
		if got := s.Waking(0); got != c.waking {
			t.Errorf("%s: Resuming before the tick: got %v, want %v", c.name, got, c.waking)
		}
		if got := s.Age(proven, h.now); got != c.age {
			t.Errorf("%s: age of a time before the stall, before the tick: got %v, want %v", c.name, got, c.age)
		}
		if got := s.Tick(); got != c.stood {
			t.Errorf("%s: duration of the stall: got %v, want %v", c.name, got, c.stood)
		}
		if got := s.Waking(30 * time.Millisecond); got != c.waking {
			t.Errorf("%s: Resuming after the tick: got %v, want %v", c.name, got, c.waking)
		}
		if got := s.Age(proven, h.now); got != c.age {
			t.Errorf("%s: age of a time before the stall, after the tick: got %v, want %v", c.name, got, c.age)
		}
		h.pass(50 * time.Millisecond)
		if s.Waking(30 * time.Millisecond) {
			t.Errorf("%s: Resuming 50 ms after the tick: got true, want false", c.name)
		}
		if got := s.Age(h.now, h.now); got != 0 {
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
