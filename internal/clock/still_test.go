// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package clock

import (
	"testing"
	"time"
)

// hands are clocks that are set by hand.
type hands struct {
	now  time.Time
	boot time.Duration
}

// pass lets time pass that both clocks count, sleep such as the VM is suspended for.
func (h *hands) pass(d time.Duration)  { h.now, h.boot = h.now.Add(d), h.boot+d }
func (h *hands) sleep(d time.Duration) { h.boot += d }

func newStill() (*hands, *Still) {
	h := &hands{now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), boot: time.Hour}
	return h, &Still{Boot: func() time.Duration { return h.boot }, Now: func() time.Time { return h.now }, Least: 400 * time.Millisecond}
}

// A frozen process and a suspended VM are noticed alike, before the next tick and by it; what
// was known before a suspension is as old as it is.
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
			t.Errorf("%s: waking before the tick: got %v, want %v", c.name, got, c.waking)
		}
		if got := s.Age(proven, h.now); got != c.age {
			t.Errorf("%s: age before the tick of what was true before: got %v, want %v", c.name, got, c.age)
		}
		if got := s.Tick(); got != c.stood {
			t.Errorf("%s: stood still: got %v, want %v", c.name, got, c.stood)
		}
		if got := s.Waking(30 * time.Millisecond); got != c.waking {
			t.Errorf("%s: waking after the tick: got %v, want %v", c.name, got, c.waking)
		}
		if got := s.Age(proven, h.now); got != c.age {
			t.Errorf("%s: age of what was true before: got %v, want %v", c.name, got, c.age)
		}
		h.pass(50 * time.Millisecond)
		if s.Waking(30 * time.Millisecond) {
			t.Errorf("%s: waking 50 ms later: got true", c.name)
		}
		if got := s.Age(h.now, h.now); got != 0 {
			t.Errorf("%s: age of what is true now: got %v, want 0", c.name, got)
		}
	}
}

// The boot clock of this machine goes on with the others.
func TestBoot(t *testing.T) {
	a := Boot()
	<-time.After(5 * time.Millisecond)
	if d := Boot() - a; d < 5*time.Millisecond || d > 5*time.Second {
		t.Errorf("5 ms later: got %v more", d)
	}
}
