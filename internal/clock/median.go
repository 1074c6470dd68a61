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

// offset is how far a clock is ahead of the local one.
type offset struct {
	ahead time.Duration
	// expiresAt is by the local clock.
	expiresAt time.Time
}

const (
	// offsetTTL is how long an observed offset is used.
	offsetTTL = 20 * time.Second
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

// Observe records that the named clock currently shows the time at. It replaces the previous
// observation of that clock. A further clock is ignored while the maximum number is reached.
func (c *MedianClock) Observe(name string, at time.Time) {
	local := c.Local()
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.offsets[name]; ok || len(c.offsets) < maxOffsets {
		c.offsets[name] = offset{at.Sub(local), local.Add(offsetTTL)}
	}
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
		offsets = append(offsets, o.ahead)
	}
	slices.Sort(offsets)
	median := offsets[len(offsets)/2]
	if other := offsets[(len(offsets)-1)/2]; other.Abs() < median.Abs() {
		median = other
	}
	return local.Add(median)
}
