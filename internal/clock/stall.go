// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the VM was booted, including suspensions.
func Boot() time.Duration {
	var ts unix.Timespec
	// The call fails only if the kernel lacks the clock, and Linux has had it since 2.6.39.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano())
}

// StallDetector detects that the process did not run for some time, from the gap between periodic
// calls of Tick. The exported fields must be set before the first use; the zero values of the others
// are ready for use. It is safe for concurrent use.
type StallDetector struct {
	// Boot returns the time by a clock that includes suspensions.
	Boot func() time.Duration
	// Now returns the present time. It need not include suspensions.
	Now func() time.Time
	// MinGap is the shortest gap between ticks, by Boot, that counts as a stall.
	MinGap time.Duration
	mu     sync.Mutex
	// lastTick and lastTickBoot are the time of the last tick, by Now and by Boot.
	lastTick     time.Time
	lastTickBoot time.Duration
	// resumedAt is when a tick last ended a stall, by Now.
	resumedAt time.Time
	// suspended is the part of all stalls so far that Now did not include. It is added to the age of
	// a time before the last stall, which overstates the age if other stalls precede that time.
	suspended time.Duration
}

// Tick records a tick. It returns the duration of the stall that the tick ends, 0 if there was none.
func (s *StallDetector) Tick() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, boot := s.Now(), s.Boot()
	stalled, suspended := s.stallSinceTick(now, boot)
	s.lastTick, s.lastTickBoot = now, boot
	if stalled > 0 {
		s.resumedAt = now
		s.suspended += suspended
	}
	return stalled
}

// stallSinceTick returns the duration of the stall since the last tick, 0 if there is none, and the part
// of it that Now did not include; mu is held.
func (s *StallDetector) stallSinceTick(now time.Time, boot time.Duration) (stalled, suspended time.Duration) {
	gap := boot - s.lastTickBoot
	if s.lastTick.IsZero() || gap < s.MinGap {
		return 0, 0
	}
	return gap, max(gap-now.Sub(s.lastTick), 0)
}

// Resuming reports whether the process has stalled and no tick has followed yet, or whether a tick
// ended a stall less than window ago. In both cases the state of the process may date from before the
// stall.
func (s *StallDetector) Resuming(window time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	stalled, _ := s.stallSinceTick(now, s.Boot())
	return stalled > 0 || !s.resumedAt.IsZero() && now.Sub(s.resumedAt) < window
}

// Age returns the time from at to now, both read from Now, plus the stall time that Now did not
// include. It may exceed the real age, and falls short of it only by gaps less than MinGap. A stall that
// no tick has ended yet is added to every age: a copy of the store would otherwise be reported as up to
// date until that tick.
func (s *StallDetector) Age(at, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := now.Sub(at)
	if at.Before(s.resumedAt) {
		age += s.suspended
	}
	_, suspended := s.stallSinceTick(s.Now(), s.Boot())
	return age + suspended
}
