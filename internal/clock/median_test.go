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
		k := NewMedianClock(func() time.Duration { return boot }, func() time.Time { return truth.Add(boot + c.local) })
		for i, by := range c.others {
			k.ObserveWall(fmt.Sprint(i), truth.Add(by))
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
// second of delay, a window had 42 requests reported and 35 begun. Clocks that are really late, as they
// were set back, are followed within two periods.
func TestDelayedMessagesDoNotSetTheClockBack(t *testing.T) {
	truth := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var boot time.Duration
	k := NewMedianClock(func() time.Duration { return boot }, func() time.Time { return truth.Add(boot) })
	observe := func(behind time.Duration) {
		for name := range 4 {
			k.ObserveWall(fmt.Sprint(name), truth.Add(boot-behind))
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

// TestFleetFollowsItsClocks steps the wall clocks of some VMs of a fleet, of which the first three receive
// reports with the wall clocks of all others and answer with their estimates. Guards against three errors: a
// clock that is read only as the process starts keeps the error that it had then, after all clocks were set
// right; estimates that rest on one another keep it as well; and a jump of all clocks that does not last
// moves requests to other windows. One VM of two or two of four that step change nothing.
func TestFleetFollowsItsClocks(t *testing.T) {
	const lasting, short = time.Hour, 6 * time.Second
	for _, c := range []struct {
		fleet, stepped int
		by, lasts      time.Duration
		want           time.Duration
	}{
		{1, 1, 3 * time.Second, lasting, 3 * time.Second},
		{2, 1, 3 * time.Second, lasting, 0},
		{2, 1, -3 * time.Second, lasting, 0},
		{2, 2, 3 * time.Second, lasting, 3 * time.Second},
		{3, 3, 3 * time.Second, lasting, 3 * time.Second},
		{3, 3, -3 * time.Second, lasting, -3 * time.Second},
		{4, 2, 3 * time.Second, lasting, 0},
		{5, 1, 3 * time.Second, lasting, 0},
		{5, 2, -3 * time.Second, lasting, 0},
		{5, 5, 3 * time.Second, lasting, 3 * time.Second},
		{5, 5, -3 * time.Second, lasting, -3 * time.Second},
		{12, 4, 3 * time.Second, lasting, 0},
		{12, 12, -3 * time.Second, lasting, -3 * time.Second},
		{1, 1, 3 * time.Second, short, 0},
		{5, 5, 3 * time.Second, short, 0},
		{5, 5, -3 * time.Second, short, 0},
	} {
		t.Run(fmt.Sprintf("%dOf%dBy%vFor%v", c.stepped, c.fleet, c.by, c.lasts), func(t *testing.T) {
			f := newFleetModel(c.fleet, c.stepped, c.by, c.lasts)
			f.run(t, stepAt+stepHold-time.Second, 0)
			// A clock that was set back is followed after two periods by the receivers, after four by the others, and
			// a period ends with the next observation.
			for end := f.boot + 4*(observationPeriod+time.Second); f.boot < end; {
				f.step()
			}
			f.run(t, f.boot+5*time.Second, c.want)
		})
	}
}

// TestDriftIsFollowed lets the wall clocks of a fleet gain 5 ms in each second. Guards against a clock that
// follows only steps.
func TestDriftIsFollowed(t *testing.T) {
	f := newFleetModel(5, 0, 0, 0)
	f.drift = 0.005
	for f.boot < time.Minute {
		f.step()
	}
	for i, k := range f.clocks {
		if got, want := k.Now().Sub(f.start.Add(f.boot)), 300*time.Millisecond; (got - want).Abs() > 30*time.Millisecond {
			t.Errorf("clock %d: got %v ahead, want %v", i, got, want)
		}
	}
}

// stepAt is when the wall clocks of a fleetModel step.
const stepAt = 5 * time.Second

// fleetModel is the clocks of a fleet, of which the first three receive reports.
type fleetModel struct {
	start  time.Time
	boot   time.Duration
	clocks []*MedianClock
	// drift is how much the wall clocks gain in each second, in seconds.
	drift float64
}

// newFleetModel returns a fleet of which the first VMs step their wall clocks for some time.
func newFleetModel(fleet, stepped int, by, lasts time.Duration) *fleetModel {
	f := &fleetModel{start: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), clocks: make([]*MedianClock, fleet)}
	for i := range f.clocks {
		f.clocks[i] = NewMedianClock(func() time.Duration { return f.boot }, func() time.Time {
			wall := f.start.Add(f.boot + time.Duration(f.drift*float64(f.boot)))
			if i < stepped && f.boot >= stepAt && f.boot < stepAt+lasts {
				return wall.Add(by)
			}
			return wall
		})
	}
	return f
}

// step lets all routers report, and a second pass.
func (f *fleetModel) step() {
	const receivers, delay = 3, time.Millisecond
	// The reports of the first seconds go to all routers, as their ranks are not known yet.
	const ranked = 2 * time.Second
	for i, sender := range f.clocks {
		for j, receiver := range f.clocks {
			if i != j && (j < receivers || f.boot < ranked) {
				receiver.ObserveWall(fmt.Sprint(i), sender.Settled().Add(-delay))
				sender.ObserveEstimate(fmt.Sprint(j), receiver.Now().Add(-delay))
			}
		}
		sender.Now()
	}
	f.boot += time.Second
}

// run steps the fleet until a time and checks after each step how far the estimates are ahead.
func (f *fleetModel) run(t *testing.T, until, want time.Duration) {
	t.Helper()
	for f.boot < until {
		f.step()
		for i, k := range f.clocks {
			if got := k.Now().Sub(f.start.Add(f.boot)); (got - want).Abs() > 10*time.Millisecond {
				t.Errorf("%v after the start, clock %d: got %v ahead, want %v", f.boot, i, got, want)
			}
		}
	}
}
