// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import "time"

// Load is how loaded an endpoint is believed to be.
type Load struct {
	// Sent counts our own attempts that have not ended; 0 or more.
	Sent int
	// Reading is the time, in seconds, that our own attempts which wait for a
	// head are expected to take; 0 or more.
	Reading float64
	// busyUntil is when the endpoint is done with what other routers told that
	// they sent it.
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
// is an estimate, and where it is too long by a little, it adds up without end.
const busyMost = 2 * time.Second

// Busy notes that another router sent the endpoint something that takes d, behind
// what it has already.
func (l *Load) Busy(now time.Time, d time.Duration) {
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(d)
	if most := now.Add(busyMost); l.busyUntil.After(most) {
		l.busyUntil = most
	}
}

// BusyUntil returns when the endpoint is believed to be done with what others sent.
func (l *Load) BusyUntil() time.Time { return l.busyUntil }

// Answered notes that the head of an attempt has come which was sent when the
// endpoint was believed to be busy until then: all that was before it is done, so
// what was left of that belief is dropped.
func (l *Load) Answered(now, then time.Time) {
	if over := then.Sub(now); over > 0 {
		l.busyUntil = l.busyUntil.Add(-over)
	}
}

// Wait returns how long a prompt is expected to wait for others to be read, in
// seconds.
func (l *Load) Wait(now time.Time) float64 {
	return l.Reading + max(l.busyUntil.Sub(now), 0).Seconds()
}

// Runs returns how many runs the endpoint is believed to have.
func (l *Load) Runs(now time.Time) int {
	if l.reportedAt.IsZero() || now.Sub(l.reportedAt) > reportHolds {
		return l.Sent
	}
	return max(l.Sent, l.reported+l.Sent-l.sentThen)
}
