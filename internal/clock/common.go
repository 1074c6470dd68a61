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
type Common struct {
	// Boot returns the time since an arbitrary start. It is never stepped and includes suspensions.
	Boot func() time.Duration
	// began is the wall clock time at which the MedianClock was created, and beganBoot the value of
	// Boot then.
	began     time.Time
	beganBoot time.Duration
	mu        sync.Mutex
	// ahead holds the offsets of other clocks from the local one, by name.
	ahead map[string]offset
}

// offset is how far a clock is ahead of the local one.
type offset struct {
	by time.Duration
	// until is when the offset expires, by the local clock.
	until time.Time
}

const (
	// offsetHolds is how long an observed offset is used.
	offsetHolds = 20 * time.Second
	// offsetsMost is the maximum number of other clocks.
	offsetsMost = 512
)

// NewMedianClock returns a clock without observations of others. The boot argument sets Boot, and wall
// is the present time by the wall clock.
func NewCommon(boot func() time.Duration, wall time.Time) *Common {
	return &Common{Boot: boot, began: wall.Round(0), beganBoot: boot(), ahead: make(map[string]offset)}
}

// Local returns the time by the local clock alone, without the steps since the MedianClock was created.
func (c *Common) Own() time.Time { return c.began.Add(c.Boot() - c.beganBoot) }

// Observe records that the named clock currently shows the time at. It replaces the previous
// observation of that clock. A further clock is ignored while the maximum number is reached.
func (c *Common) Heard(name string, at time.Time) {
	own := c.Own()
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.ahead[name]; ok || len(c.ahead) < offsetsMost {
		c.ahead[name] = offset{at.Sub(own), own.Add(offsetHolds)}
	}
}

// Now returns the estimate of the true time: the median of the local clock and all observed ones.
// Where two clocks are in the middle, it is the one that is nearer to the local clock.
func (c *Common) Now() time.Time {
	own := c.Own()
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []time.Duration{0}
	for name, o := range c.ahead {
		if own.After(o.until) {
			delete(c.ahead, name)
			continue
		}
		list = append(list, o.by)
	}
	slices.Sort(list)
	middle := list[len(list)/2]
	if other := list[(len(list)-1)/2]; other.Abs() < middle.Abs() {
		middle = other
	}
	return own.Add(middle)
}
