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

// Busy notes that another router sent the endpoint something that takes d, behind
// what it has already.
func (l *Load) Busy(now time.Time, d time.Duration) {
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(d)
}

// wait returns how long a prompt is expected to wait for others to be read, in
// seconds.
func (l *Load) wait(now time.Time) float64 {
	return l.Reading + max(l.busyUntil.Sub(now), 0).Seconds()
}

// Runs returns how many runs the endpoint is believed to have.
func (l *Load) Runs(now time.Time) int {
	if l.reportedAt.IsZero() || now.Sub(l.reportedAt) > reportHolds {
		return l.Sent
	}
	return max(l.Sent, l.reported+l.Sent-l.sentThen)
}

// Trust is whether an endpoint answers as it should.
type Trust struct {
	// failing is the decayed share of attempts that failed, 0 to 1.
	failing float64
	// row counts the failures since the last success.
	row int
	// shutUntil is when an endpoint that failed may be tried again, by one
	// attempt at a time.
	shutUntil time.Time
}

const (
	// weight is how much one attempt counts in the share that failed.
	weight = 0.15
	// shutFirst is how long an endpoint rests after its first failures; it
	// doubles with each further one up to shutMost.
	shutFirst = 400 * time.Millisecond
	shutMost  = 6 * time.Second
	// rowMost is how many failures in a row make an endpoint rest, and failMost
	// the share that does.
	rowMost  = 2
	failMost = 0.35
)

// OK notes an attempt that was answered.
func (t *Trust) OK() {
	t.failing *= 1 - weight
	t.row = 0
}

// Fail notes an attempt that failed. A dead endpoint, which did not even take a
// connection, rests at once.
func (t *Trust) Fail(now time.Time, dead bool) {
	t.failing += (1 - t.failing) * weight
	t.row++
	if !dead && t.row < rowMost && t.failing < failMost {
		return
	}
	rest := shutMost
	if t.row < 5 {
		rest = min(rest, shutFirst<<t.row)
	}
	t.shutUntil = now.Add(rest)
}

// open reports whether the endpoint may be tried; one that rested gets one
// attempt at a time until it answers.
func (t *Trust) open(now time.Time, sent int) bool {
	if now.Before(t.shutUntil) {
		return false
	}
	return t.row < rowMost && t.failing < failMost || sent == 0
}
