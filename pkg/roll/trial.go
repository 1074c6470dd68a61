// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import "time"

// TrialState is the state of a trial.
type TrialState string

// The states of a trial. Proven and Rejected are final.
const (
	// Ordered is a trial that no process has begun yet.
	Ordered  TrialState = "ordered"
	Trying   TrialState = "trying"
	Proven   TrialState = "proven"
	Rejected TrialState = "rejected"
)

// Trial moves the requests of a service from its old version to a new one by a
// share that grows step by step, as long as the evidence allows.
type Trial struct {
	Service string
	// Version is the new version.
	Version string
	State   TrialState
	// Step counts the steps that are in force; it only grows.
	Step int
	// Begun and Ends are when the trial was ordered and when it has to be
	// over, by this process's clock.
	Begun, Ends time.Time
	// Revision is that of the stored trial.
	Revision int64
}

// step is one step of a trial: from At, a part of its time, Share of the
// sessions are served by the new version.
type step struct{ at, share float64 }

// steps keep a session that is open at the start on its version for the first
// half of the time. Their shares weighed by their parts add up to 0.124 of the
// requests, under the users' bound of 0.15 for a version that turns out bad.
var steps = []step{{0.5, 0.1}, {0.65, 0.3}, {0.78, 1}}

// doneAt is the part of the time after which a version that was not found bad
// counts as proven: one that turns bad late has had time to show it.
const doneAt = 0.85

// Share returns the share of sessions that the new version serves.
func (t *Trial) Share() float64 {
	switch {
	case t.State == Proven:
		return 1
	case t.State != Trying || t.Step == 0:
		return 0
	default:
		return steps[min(t.Step, len(steps))-1].share
	}
}

// New reports whether a session that is drawn at draw, 0 to 1 and the same in
// every process, is served by the new version. As the share only grows, a session
// goes forward at most once.
func (t *Trial) New(draw float64) bool { return draw < t.Share() }

// Next returns the trial as it should be at now, and whether that differs. A bad
// version is rejected at once.
func (t *Trial) Next(now time.Time, bad bool) (Trial, bool) {
	next := *t
	if t.State == Ordered {
		next.State = Trying
		return next, true
	}
	if t.State != Trying {
		return next, false
	}
	if bad {
		next.State = Rejected
		return next, true
	}
	part := float64(now.Sub(t.Begun)) / float64(t.Ends.Sub(t.Begun))
	for next.Step < len(steps) && part >= steps[next.Step].at {
		next.Step++
	}
	// A step is never skipped: each must have had its time before the next.
	next.Step = min(next.Step, t.Step+1)
	if t.Step == len(steps) && part >= doneAt {
		next.State = Proven
	}
	return next, next != *t
}
