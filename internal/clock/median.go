// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package clock

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// MedianClock estimates the true time as the median of the wall clocks of many VMs. It assumes that
// most of them are right, as the wall clock of a single VM may be stepped at any time. Where the clocks of
// most VMs are set right, the estimate follows; a step that does not last is ignored even if all clocks have
// it. It must be created with NewMedianClock and is safe for concurrent use.
type MedianClock struct {
	// Boot returns the time since a fixed start. It is never stepped and includes suspensions.
	Boot func() time.Duration
	// Wall returns the time by the wall clock of this VM.
	Wall func() time.Time
	// startWall is the wall clock time at which the MedianClock was created, and startBoot the value of
	// Boot then.
	startWall time.Time
	startBoot time.Duration
	mu        sync.Mutex
	// own is the offset of the own wall clock.
	own wallOffset
	// walls holds the offsets of the wall clocks of other VMs, and estimates those of the estimates by other
	// MedianClocks, by name. An estimate is used only where the wall clock of its VM was not observed: two
	// clocks that went by each other's estimates would both keep an error.
	walls, estimates map[string]offset
}

// wallOffset is how far a wall clock is ahead of the steady one.
type wallOffset struct {
	// adopted is the offset in use, and stepped a different one that was read last.
	adopted, stepped time.Duration
	// adoptAt is when stepped will be in use unless it changes; zero for none.
	adoptAt time.Time
}

// read returns the offset in use after the offset ahead was read.
func (w *wallOffset) read(ahead time.Duration, steady time.Time) time.Duration {
	switch {
	case (ahead - w.adopted).Abs() < minStep:
		w.adopted, w.adoptAt = ahead, time.Time{}
	case w.adoptAt.IsZero() || (ahead-w.stepped).Abs() >= minStep:
		w.stepped, w.adoptAt = ahead, steady.Add(stepHold)
	case !steady.Before(w.adoptAt):
		w.adopted, w.adoptAt = ahead, time.Time{}
	}
	return w.adopted
}

// offset is how far a clock is ahead of the steady one. A message that was delayed makes the clock of its
// sender appear late, never early, so that the greatest of some observations is the best one.
type offset struct {
	// best is the greatest offset observed in the current period, previous that of the period before.
	best, previous time.Duration
	// periodEnd, freshUntil and expiresAt are by the steady clock.
	periodEnd, freshUntil, expiresAt time.Time
}

// ahead returns the greatest offset of both periods.
func (o offset) ahead() time.Duration { return max(o.best, o.previous) }

// add returns o with a further observation.
func (o offset) add(ahead time.Duration, steady time.Time) offset {
	if steady.After(o.periodEnd) {
		o.previous, o.best, o.periodEnd = o.best, ahead, steady.Add(observationPeriod)
	}
	o.best = max(o.best, ahead)
	o.freshUntil, o.expiresAt = steady.Add(freshTTL), steady.Add(offsetTTL)
	return o
}

const (
	// offsetTTL is how long an observed offset is used.
	offsetTTL = 20 * time.Second
	// observationPeriod is the time within which the greatest of several observations of a clock counts;
	// the period before counts as well. Routers observe each other about once a second, and a busy VM
	// delays messages for some tenths of a second. It must stay short: a clock that is set back counts with
	// the old offset until two periods are over.
	observationPeriod = 2 * time.Second
	// freshTTL is how long an observed offset is preferred to older ones. It is longer than the time between
	// two observations and the delay of the second.
	freshTTL = 2 * observationPeriod
	// minStep is the shortest step of a wall clock that is ignored for a while. A step is followed once it has
	// lasted for stepHold, as clocks may jump by seconds and back again.
	minStep  = 250 * time.Millisecond
	stepHold = 10 * time.Second
	// maxOffsets is the maximum number of other wall clocks, and of other estimates.
	maxOffsets = 512
)

// NewMedianClock returns a clock without observations of others. The arguments set Boot and Wall.
func NewMedianClock(boot func() time.Duration, wall func() time.Time) *MedianClock {
	return &MedianClock{Boot: boot, Wall: wall, startWall: wall().Round(0), startBoot: boot(), walls: make(map[string]offset), estimates: make(map[string]offset)}
}

// Steady returns the wall clock time at which the MedianClock was created and the time since by Boot:
// the time of day without the steps since. It serves for the lengths of times.
func (c *MedianClock) Steady() time.Time { return c.startWall.Add(c.Boot() - c.startBoot) }

// Settled returns the time by the wall clock of this VM without a step that has not lasted for 10 seconds yet.
// It must be called more often than that.
func (c *MedianClock) Settled() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	steady := c.Steady()
	return steady.Add(c.readOwn(steady))
}

// readOwn returns the offset in use of the own wall clock; mu is held.
func (c *MedianClock) readOwn(steady time.Time) time.Duration {
	return c.own.read(c.Wall().Round(0).Sub(steady), steady)
}

// ObserveWall records that the settled clock of the named VM showed the time at when a message that has
// just arrived was sent. A further clock is ignored while the maximum number is reached.
func (c *MedianClock) ObserveWall(name string, at time.Time) { c.observe(c.walls, name, at) }

// ObserveEstimate is as ObserveWall, for an estimate of the true time by the named VM.
func (c *MedianClock) ObserveEstimate(name string, at time.Time) { c.observe(c.estimates, name, at) }

func (c *MedianClock) observe(offsets map[string]offset, name string, at time.Time) {
	steady := c.Steady()
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := offsets[name]
	if !ok && len(offsets) >= maxOffsets {
		return
	}
	ahead := at.Sub(steady)
	if !ok || steady.After(o.expiresAt) {
		o = offset{best: ahead, previous: ahead, periodEnd: steady.Add(observationPeriod)}
	}
	offsets[name] = o.add(ahead, steady)
}

// Now returns the estimate of the true time: the median of the VM's own settled clock and all others that
// were observed lately or, if none was, within the last 20 seconds. Where two clocks are in the middle, it is
// the one that is nearer to the steady clock.
func (c *MedianClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	steady := c.Steady()
	expired := func(_ string, o offset) bool { return steady.After(o.expiresAt) }
	maps.DeleteFunc(c.walls, expired)
	maps.DeleteFunc(c.estimates, expired)
	others := c.others(func(o offset) bool { return !steady.After(o.freshUntil) })
	if len(others) == 0 {
		others = c.others(func(offset) bool { return true })
	}
	offsets := append(others, c.readOwn(steady))
	slices.Sort(offsets)
	median := offsets[len(offsets)/2]
	if other := offsets[(len(offsets)-1)/2]; other.Abs() < median.Abs() {
		median = other
	}
	return steady.Add(median)
}

// others returns the offsets of other VMs of which use is true, one of each VM; mu is held.
func (c *MedianClock) others(use func(offset) bool) (offsets []time.Duration) {
	for _, o := range c.walls {
		if use(o) {
			offsets = append(offsets, o.ahead())
		}
	}
	for name, o := range c.estimates {
		if wall, ok := c.walls[name]; use(o) && (!ok || !use(wall)) {
			offsets = append(offsets, o.ahead())
		}
	}
	return offsets
}
