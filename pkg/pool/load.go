// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import "time"

// Load is how loaded an endpoint is believed to be.
type Load struct {
	// Sent counts our own attempts that have not ended; 0 or more.
	Sent int
	// busyUntil is when the endpoint is believed to have read all prompts that this
	// process sent it and that others told of.
	busyUntil time.Time
	// reported is what the endpoint told last, and reportedAt when; sentThen is
	// Sent at that moment.
	reported   int
	sentThen   int
	reportedAt time.Time
}

// reportHolds is how long a report outweighs what we sent ourselves. Answers
// come several times a second from a busy endpoint, and a run takes about a
// second.
const reportHolds = 2 * time.Second

// Report takes over what an endpoint told of itself: runs under way and waiting.
func (l *Load) Report(now time.Time, running, waiting int) {
	l.reported, l.sentThen, l.reportedAt = running+waiting, l.Sent, now
}

// busyMost is how far ahead an endpoint is believed to be busy at most: what is told
// is an estimate, and where it is too long by a little, it adds up without end. Callers
// with the longest prompts wait for 3 to 4 s.
const busyMost = 4 * time.Second

// Busy notes that the endpoint gets a prompt that it reads in d, behind what it has
// already, and returns when that is expected to be done.
func (l *Load) Busy(now time.Time, d time.Duration) (done time.Time) {
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(d)
	l.bound(now)
	return l.busyUntil
}

func (l *Load) bound(now time.Time) {
	if most := now.Add(busyMost); l.busyUntil.After(most) {
		l.busyUntil = most
	}
}

// Read notes that a prompt was read now which was expected to be done at then: what
// lies behind it comes earlier or later by as much.
func (l *Load) Read(now, then time.Time) {
	l.busyUntil = l.busyUntil.Add(now.Sub(then))
	l.bound(now)
}

// Unsent notes that a prompt which takes d will not be read after all.
func (l *Load) Unsent(d time.Duration) { l.busyUntil = l.busyUntil.Add(-d) }

// Wait returns how long a prompt is expected to wait for others to be read, in
// seconds.
func (l *Load) Wait(now time.Time) float64 {
	return max(l.busyUntil.Sub(now), 0).Seconds()
}

// Runs returns how many runs the endpoint is believed to have.
func (l *Load) Runs(now time.Time) int {
	if l.reportedAt.IsZero() || now.Sub(l.reportedAt) > reportHolds {
		return l.Sent
	}
	return max(l.Sent, l.reported+l.Sent-l.sentThen)
}
