// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import (
	"slices"
	"time"

	"github.com/traildrift/traildrift/pkg/epoch"
)

// TrialState is the state of a trial.
type TrialState string

// The states of a trial. Proven and Rejected are final.
const (
	// Ordered is a trial that no process has begun yet.
	Ordered TrialState = "ordered"
	// Trying is a trial in progress.
	Trying TrialState = "trying"
	// Proven means that the new version serves all sessions.
	Proven TrialState = "proven"
	// Rejected means that the new version serves no sessions any more.
	Rejected TrialState = "rejected"
)

// Trial is a canary roll-out: it moves the sessions of a service from the old version to
// a new one by a share that grows step by step, as long as the verdicts allow.
type Trial struct {
	Service string
	// Version is the new version.
	Version string
	State   TrialState
	// Step is the number of steps in force, 0 to 3. It never decreases.
	Step int
	// Begun is the time of the order and Ends the time by which the trial has to be over,
	// by the clock of this process.
	Begun, Ends time.Time
	// Retired holds the versions that must get no requests.
	Retired Retired
	// MaxExposure is the part of the service's requests, 0 to 1, that a version which turns
	// out bad may get, as configured at this process; 0 for defaultMaxExposure. The shares
	// before the last step are proportional to it, but never above their defaults.
	MaxExposure float64
	// Revision is that of the stored object from which the trial was read.
	Revision epoch.Revision
}

// IsOld reports whether a version serves the sessions that the new version does not: any
// version that is neither the new one nor retired.
func (t *Trial) IsOld(version string) bool { return version != t.Version && !t.Retired.Has(version) }

// IsAfter reports whether t is a later state than o of the same trial.
func (t *Trial) IsAfter(o *Trial) bool {
	rank := func(t *Trial) int { return slices.Index([]TrialState{Ordered, Trying, Proven, Rejected}, t.State) }
	final := func(t *Trial) bool { return t.State == Proven || t.State == Rejected }
	if final(o) {
		return false
	}
	return rank(t) > rank(o) || rank(t) == rank(o) && t.Step > o.Step
}

// Successor returns the trial of version when it is ordered after t, which may have ended
// or not: only a proven version serves on, any other is retired.
func (t *Trial) Successor(version string) Trial {
	past := t.Retired
	if t.State != Proven {
		past = past.With(t.Version)
	}
	return Trial{Service: t.Service, Version: version, State: Ordered, Retired: past.Without(version)}
}

// step is one step of a trial: from at on, a fraction of the trial's duration, share of
// the sessions, 0 to 1, is served by the new version.
type step struct{ at, share float64 }

// steps are the steps of a trial.
//
// Sessions that are open at the start stay on their version for the first half of the
// trial. The second step is long, as one endpoint has the old version's load during it.
// The last step is late: a version that is bad only under a load that does not occur
// before it shows no fault, and still gets no more than its allowed part of the requests.
// The shares weighted by the lengths of their steps add up to 0.152; users allow 0.15 and
// some requests more.
var steps = []step{{0.5, 0.1}, {0.6, 0.18}, {0.915, 1}}

// defaultMaxExposure is the MaxExposure for which the shares of steps are.
const defaultMaxExposure = 0.15

// Fractions of a trial's duration, and the load of a peak.
const (
	// From peakStart to the last step, one endpoint bears peakLoad times the usual load, as
	// in bursts of requests, but at most the part maxPeakShare of the new version's share.
	// It exposes versions that fail under load before they are the only ones left. In tests
	// with a burst after such a version was proven, 5 of 40 exceeded the allowed exposure
	// with it and 25 of 35 without it. Together with the later last step it costs 0.007 of
	// a day on which a good version is rolled out while other faults occur.
	peakStart    = 0.8
	peakLoad     = 2.5
	maxPeakShare = 0.8
	// goodLastStepAt is when the last step of a version that is already good is due. The
	// exposure that the delay saves is left for bursts that begin after the step.
	goodLastStepAt = 0.945
	// minLastStep is how long the last step lasts before a good version is proven, and
	// maxLastStep the time after which a version that is not good by then is rejected.
	minLastStep, maxLastStep = 0.03, 0.055
	// decisionAt is when a doubtful version is rejected at any step, and when a good one is
	// proven without waiting for minLastStep: the rest of the time is for the write. Other
	// verdicts may wait until latestEnd: at low request rates it may take that long to
	// receive 30 answers.
	decisionAt, latestEnd = 0.975, 1.1
)

// Findings are what a process knows of a trial beyond its stored state.
type Findings struct {
	Verdict Verdict
	// StepAt is when this process learned that the present step is in force.
	StepAt time.Time
	// ExposureSpent says that the new version has got as many requests as a bad version may
	// get. ExposureShort says that it would reach that number by the end of the trial if it
	// got all requests from now on, and Burst that it would exceed it by far.
	ExposureSpent, ExposureShort, Burst bool
}

// Share returns the share of sessions, 0 to 1, that the new version serves.
func (t *Trial) Share() float64 {
	switch {
	case t.State == Proven:
		return 1
	case t.State != Trying || t.Step == 0:
		return 0
	default:
		return t.stepShare(min(t.Step, len(steps)) - 1)
	}
}

// stepShare returns the share of the step at an index of steps. If less exposure is
// allowed than by default, the shares before the last step are reduced in proportion:
// otherwise they would use up so much of it that the last step had to come too late.
func (t *Trial) stepShare(step int) float64 {
	share := steps[step].share
	if step == len(steps)-1 || t.MaxExposure <= 0 {
		return share
	}
	return share * min(t.MaxExposure/defaultMaxExposure, 1)
}

// ServesNew reports whether the new version serves a session with the random number draw,
// 0 to 1, which is the same in every process. As the share only grows, a session moves to
// the new version at most once.
func (t *Trial) ServesNew(draw float64) bool { return draw < t.Share() }

// LoadedShare returns the share of the sessions, 0 to 1, that one of the new version's
// endpoints serves at now, so that it bears the load which the old version's endpoints
// usually do; 0 if there is no such endpoint at this step. endpoints is the number of the
// new version's endpoints.
//
// A version that is bad under load fails at that endpoint, where few requests are
// affected. All endpoints serve the rest of the share; they are lightly loaded and show
// how slow the version is by itself. In the peak phase before the last step the endpoint
// bears a load as in a burst.
func (t *Trial) LoadedShare(endpoints int, now time.Time) float64 {
	if t.State != Trying || t.Step < 2 || t.Step == len(steps) || endpoints == 0 {
		return 0
	}
	if t.InPeakPhase(now) {
		return min(peakLoad/float64(endpoints), t.Share()*maxPeakShare)
	}
	// At most half of the share, so that at least as many sessions run under a light load.
	return min(1/float64(endpoints), t.Share()/2)
}

// InPeakPhase reports whether one endpoint bears a load as in a burst at now. A version
// fails there if it fails under a load that it would otherwise get only after the last
// step, when no other version is left.
func (t *Trial) InPeakPhase(now time.Time) bool {
	return t.State == Trying && t.Step == len(steps)-1 && t.fraction(now.Sub(t.Begun)) >= peakStart
}

// Next returns the trial with the transition that is due at now, and whether there is one.
// A bad version is rejected at once. Only a good version is proven. One with too little
// evidence at the end is rejected: its roll-out can be ordered again, whereas a bad version
// that was proven is the only one left.
func (t *Trial) Next(now time.Time, f Findings) (Trial, bool) {
	next := *t
	if t.State == Ordered {
		next.State = Trying
		return next, true
	}
	if t.State != Trying {
		return next, false
	}
	if f.Verdict == Bad {
		next.State = Rejected
		return next, true
	}
	part := t.fraction(now.Sub(t.Begun))
	if t.Step == len(steps) {
		next.State = t.lastStepState(part, t.fraction(now.Sub(f.StepAt)), f)
		return next, next != *t
	}
	if part >= decisionAt && f.Verdict == Doubtful || part >= latestEnd && f.Verdict != Good {
		next.State = Rejected
	} else if t.stepDue(part, f) {
		next.Step++
	}
	return next, next != *t
}

// stepDue reports whether the next step is due at the fraction part of the trial. No step is
// skipped, as each must have been in force before the next. The last step requires a fair
// or good version. It waits while requests come so often that the rest of the trial would
// exceed the allowed exposure: the times of the steps assume an even rate of requests.
func (t *Trial) stepDue(part float64, f Findings) bool {
	if part < steps[t.Step].at {
		return false
	}
	if t.Step+1 < len(steps) {
		return true
	}
	return !f.ExposureShort && (f.Verdict == Good && part >= goodLastStepAt || f.Verdict == Fair)
}

// lastStepState returns the state of a trial at its last step, at the fraction part of the
// trial. full is the fraction that the last step has lasted.
func (t *Trial) lastStepState(part, full float64, f Findings) TrialState {
	switch {
	case f.Verdict == Good:
		return goodState(part, full, f)
	case f.Verdict == Fair && part < latestEnd && !f.ExposureSpent:
		return Trying
	case full >= maxLastStep || part >= decisionAt || f.ExposureSpent:
		return Rejected
	default:
		return Trying
	}
}

// goodState returns the state of a trial of a good version at its last step. As a proof
// cannot be undone, it waits during a burst until the end of the trial: a version that is
// bad under the load of the burst fails within these seconds.
func goodState(part, full float64, f Findings) TrialState {
	waits := f.Burst && part < 1
	served := full >= minLastStep || part >= decisionAt || f.ExposureSpent
	if served && !waits {
		return Proven
	}
	return Trying
}

// fraction returns d as a fraction of the trial's duration.
func (t *Trial) fraction(d time.Duration) float64 { return float64(d) / float64(t.Ends.Sub(t.Begun)) }
