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
type Still struct {
	// Boot returns the time by a clock that includes suspensions.
	Boot func() time.Duration
	// Now returns the present time. It need not include suspensions.
	Now func() time.Time
	// Least is the shortest gap between ticks, by Boot, that counts as a stall.
	Least time.Duration
	mu    sync.Mutex
	// tickedAt and tickedBoot are the time of the last tick, by both clocks.
	tickedAt   time.Time
	tickedBoot time.Duration
	// wokeAt is when a tick last ended a stall.
	wokeAt time.Time
	// hidden is the part of all stalls so far that Now did not include. It is added to the age of
	// a time before the last stall, which overstates the age if other stalls precede that time.
	hidden time.Duration
}

// Tick records a tick. It returns the duration of the stall that the tick ends, 0 if there was none.
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

// sinceTick returns the duration of the stall since the last tick, 0 if there is none, and the part of
// it that Now did not include; mu is held.
func (s *Still) sinceTick(now time.Time, boot time.Duration) (stood, hidden time.Duration) {
	gap := boot - s.tickedBoot
	if s.tickedAt.IsZero() || gap < s.Least {
		return 0, 0
	}
	return gap, max(gap-now.Sub(s.tickedAt), 0)
}

// Resuming reports whether the process has stalled and no tick has followed yet, or whether a tick
// ended a stall less than window ago. In both cases the state of the process may date from before the
// stall.
func (s *Still) Waking(within time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	stood, _ := s.sinceTick(now, s.Boot())
	return stood > 0 || !s.wokeAt.IsZero() && now.Sub(s.wokeAt) < within
}

// Age returns the time from at to now, both read from Now, plus the stall time that Now did not
// include. It may exceed the real age, and falls short of it only by gaps less than Least. A stall that
// no tick has ended yet is added to every age: a copy of the store would otherwise be reported as up to
// date until that tick.
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
