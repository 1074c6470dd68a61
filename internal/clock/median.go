// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package clock

import (
	"slices"
	"sync"
	"time"
)

// MedianClock estimates the true time as the median of the clocks of many VMs. It assumes that most
// of them are right. The wall clock of a single VM may be stepped, also before the process starts.
// It must be created with NewMedianClock and is safe for concurrent use.
type MedianClock struct {
	// Boot returns the time since a fixed start. It is never stepped and includes suspensions.
	Boot func() time.Duration
	// startWall is the wall clock time at which the MedianClock was created, and startBoot the value of
	// Boot then.
	startWall time.Time
	startBoot time.Duration
	mu        sync.Mutex
	// offsets holds the offsets of other clocks from the local one, by name.
	offsets map[string]offset
}

// offset is how far a clock is ahead of the local one. A message that was delayed makes the clock of its
// sender appear late, never early, so that the greatest of some observations is the best one.
type offset struct {
	// best is the greatest offset observed in the current period, previous that of the period before.
	best, previous time.Duration
	// periodEnd and expiresAt are by the local clock.
	periodEnd, expiresAt time.Time
}

// ahead returns the greatest offset of both periods.
func (o offset) ahead() time.Duration { return max(o.best, o.previous) }

// add returns o with a further observation.
func (o offset) add(ahead time.Duration, local time.Time) offset {
	if local.After(o.periodEnd) {
		o.previous, o.best, o.periodEnd = o.best, ahead, local.Add(observationPeriod)
	}
	o.best = max(o.best, ahead)
	o.expiresAt = local.Add(offsetTTL)
	return o
}

const (
	// offsetTTL is how long an observed offset is used.
	offsetTTL = 20 * time.Second
	// observationPeriod is the time within which the greatest of several observations of a clock counts;
	// the period before counts as well. Routers observe each other about once a second, and a busy VM
	// delays messages for some tenths of a second. It must stay short: a router that restarts with another
	// wall clock, or whose own estimate was wrong, counts with the old offset until two periods are over.
	observationPeriod = 2 * time.Second
	// maxOffsets is the maximum number of other clocks.
	maxOffsets = 512
)

// NewMedianClock returns a clock without observations of others. The boot argument sets Boot, and wall
// is the present time by the wall clock.
func NewMedianClock(boot func() time.Duration, wall time.Time) *MedianClock {
	return &MedianClock{Boot: boot, startWall: wall.Round(0), startBoot: boot(), offsets: make(map[string]offset)}
}

// Local returns the time by the local clock alone, without the steps since the MedianClock was created.
func (c *MedianClock) Local() time.Time { return c.startWall.Add(c.Boot() - c.startBoot) }

// Observe records that the named clock showed the time at when a message that has just arrived was sent.
// A further clock is ignored while the maximum number is reached.
func (c *MedianClock) Observe(name string, at time.Time) {
	local := c.Local()
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.offsets[name]
	if !ok && len(c.offsets) >= maxOffsets {
		return
	}
	ahead := at.Sub(local)
	if !ok || local.After(o.expiresAt) {
		o = offset{best: ahead, previous: ahead, periodEnd: local.Add(observationPeriod)}
	}
	c.offsets[name] = o.add(ahead, local)
}

// Now returns the estimate of the true time: the median of the local clock and all observed ones.
// Where two clocks are in the middle, it is the one that is nearer to the local clock.
func (c *MedianClock) Now() time.Time {
	local := c.Local()
	c.mu.Lock()
	defer c.mu.Unlock()
	offsets := []time.Duration{0}
	for name, o := range c.offsets {
		if local.After(o.expiresAt) {
			delete(c.offsets, name)
			continue
		}
		offsets = append(offsets, o.ahead())
	}
	slices.Sort(offsets)
	median := offsets[len(offsets)/2]
	if other := offsets[(len(offsets)-1)/2]; other.Abs() < median.Abs() {
		median = other
	}
	return local.Add(median)
}
