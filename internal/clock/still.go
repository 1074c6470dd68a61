// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the VM was started, suspensions included.
func Boot() time.Duration {
	var ts unix.Timespec
	// It fails for a clock that the kernel lacks, and Linux has had this one since 2.6.39.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano())
}

// Still notices that the process stood still, by ticks that come regularly. Set its clocks
// before the first tick; the zero values of the others are ready for use.
type Still struct {
	// Boot counts suspensions, Now need not.
	Boot func() time.Duration
	Now  func() time.Time
	// Least is how late a tick is for the process to have stood still.
	Least time.Duration
	mu    sync.Mutex
	// tickedAt is when the last tick came, by both clocks.
	tickedAt   time.Time
	tickedBoot time.Duration
	// wokeAt is when the process went on last, and hidden how much of all the time that it
	// stood still Now did not count: what was true before the last time is at least as new.
	wokeAt time.Time
	hidden time.Duration
}

// Tick notes a tick, and returns how long the process stood still before it; 0 if it did not.
func (s *Still) Tick() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, boot := s.Now(), s.Boot()
	stood, hidden := s.sinceTick(now, boot)
	s.tickedAt, s.tickedBoot = now, boot
	if stood > 0 {
		s.wokeAt = now
		s.hidden += hidden
	}
	return stood
}

// sinceTick returns how long the process has stood still since the last tick, 0 if it has not, and
// how much of that Now did not count; mu is held.
func (s *Still) sinceTick(now time.Time, boot time.Duration) (stood, hidden time.Duration) {
	gap := boot - s.tickedBoot
	if s.tickedAt.IsZero() || gap < s.Least {
		return 0, 0
	}
	return gap, max(gap-now.Sub(s.tickedAt), 0)
}

// Waking reports whether the process stands still by the clock that counts suspensions, or has
// gone on less than a time ago: what it believes is from before.
func (s *Still) Waking(within time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	stood, _ := s.sinceTick(now, s.Boot())
	return stood > 0 || !s.wokeAt.IsZero() && now.Sub(s.wokeAt) < within
}

// Age returns how old what was true at a time is now, at least, also where the process stood still
// since. Until the tick after that it is taken to be older than all that is known: a copy of the
// store would otherwise be vouched for as new in the meantime.
func (s *Still) Age(at, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := now.Sub(at)
	if at.Before(s.wokeAt) {
		age += s.hidden
	}
	_, hidden := s.sinceTick(s.Now(), s.Boot())
	return age + hidden
}
