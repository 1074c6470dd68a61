// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/pkg/epoch"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/roll"
)

// rollout is a trial with the evidence of this router and the others.
type rollout struct {
	trial roll.Trial
	judge roll.Judge
	// stepAt is when this router learned of the present step.
	stepAt time.Time
	// reportedAt is when the last report was sent, and reportedRequests its number of requests.
	reportedAt       time.Time
	reportedRequests uint32
	// loggedVerdict is the verdict that was logged last.
	loggedVerdict roll.Verdict
	// names holds the names of routes and aspects by hash, for logs.
	names map[uint32]string
	// writing says that a step is being written; the engine's mu guards it.
	writing bool
	// requestRate is the rate of requests to the service at all routers. fromStart says that this router
	// has followed the trial since it was ordered, so that its counts cover the whole trial.
	requestRate reportedRate
	fromStart   bool
	// notBefore is when this router writes the next step if no other one does before; it is random,
	// so that routers do not all write at once. It is zero if no step is due.
	notBefore time.Time
	// lost says that the store came back from an older copy and lacks the state of the trial, which is to
	// be stored again.
	lost bool
	// replacement is the trial that the store came back with, of another version; nil if it has none.
	// It replaces this one at replacedAt unless this one is ordered again; replacedAt is zero if the
	// store holds this trial.
	replacement *roll.Trial
	replacedAt  time.Time
}

// PutTrial applies a stored trial, unless its revision is not newer than the known one. A trial that is
// already known keeps its Begun and Ends; those of t are used only if it is new to this router.
func (e *Engine) PutTrial(t roll.Trial) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.putTrial(t)
}

// isSucceededBy reports whether t is not a later state of the trial but another one.
func (r *rollout) isSucceededBy(t *roll.Trial) bool {
	return r.trial.Version != t.Version || t.State == roll.Ordered && r.trial.State != roll.Ordered
}

// putTrial is PutTrial; mu is held.
func (e *Engine) putTrial(t roll.Trial) {
	r, ok := e.rollouts[t.Service]
	if ok && t.Revision <= r.trial.Revision {
		return
	}
	if ok && r.hasLost(&t) {
		// The status is written again on the revision that the store has now.
		e.logLostTrial(r, t.Revision)
		r.trial.Revision, r.lost, r.replacement, r.replacedAt = t.Revision, true, nil, time.Time{}
		return
	}
	if !ok || r.isSucceededBy(&t) {
		r = &rollout{stepAt: e.Now(), fromStart: t.Step == 0, judge: roll.Judge{PeakAspect: aspectID(answersInPeak)}}
		e.rollouts[t.Service] = r
	} else {
		t.Begun, t.Ends = r.trial.Begun, r.trial.Ends
		r.lost, r.replacement, r.replacedAt = false, nil, time.Time{}
	}
	if r.trial.State != t.State || r.trial.Step != t.Step {
		e.Log.Info("relay: A roll-out has moved.", zap.String("service", t.Service), zap.String("version", t.Version),
			zap.String("state", string(t.State)), zap.Int("step", t.Step), zap.Float64("share", t.Share()), zap.Stringer("revision", t.Revision))
	}
	if t.Step != r.trial.Step || t.State != r.trial.State {
		r.notBefore, r.stepAt = time.Time{}, e.Now()
	}
	t.MaxExposure = e.limits.Load().ExposeShare
	r.trial = t
}

// RemoveTrial removes the trial of a service, unless a newer revision is known. If the store came back without it
// from an older copy, as restored says, the trial is removed after RestoreGrace unless it is ordered again.
func (e *Engine) RemoveTrial(service string, revision epoch.Revision, restored bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.rollouts[service]
	switch {
	case !ok || r.trial.Revision > revision:
	case restored:
		r.replacement, r.replacedAt = nil, RestoreGrace.After(e.Now())
		e.logLostTrial(r, revision)
	default:
		e.removeTrial(r, revision)
	}
}

// removeTrial removes a trial; mu is held.
func (e *Engine) removeTrial(r *rollout, revision epoch.Revision) {
	delete(e.rollouts, r.trial.Service)
	e.Log.Warn("relay: A roll-out was removed.", zap.String("service", r.trial.Service), zap.String("version", r.trial.Version),
		zap.String("state", string(r.trial.State)), zap.Int("step", r.trial.Step), zap.Stringer("revision", revision))
}

const (
	// stepWriteSpread is the time per router over which the routers' writes of the same step are
	// spread; the total is at least minStepWriteWindow and at most maxStepWriteWindow. It takes some
	// tens of milliseconds until all routers know of a write, so most routers find that another one
	// was first.
	stepWriteSpread    = 40 * time.Millisecond
	minStepWriteWindow = 250 * time.Millisecond
	maxStepWriteWindow = time.Second
)

// stepWriteWindow returns the time over which the routers' writes of the same step are spread.
func (e *Engine) stepWriteWindow() time.Duration {
	return min(max(time.Duration(e.RouterCount())*stepWriteSpread, minStepWriteWindow), maxStepWriteWindow)
}

// writeDelay returns how long after a step is due this router writes it, given the state that the trial then has.
// A version with evidence against it is rejected at once, as is one that has got too many requests, and one whose
// rejection the store has lost. A rejection for want of evidence comes after the other routers' time for a proof:
// their reports may be late here. The caller must hold the engine's mu.
func (e *Engine) writeDelay(r *rollout, next roll.TrialState, f roll.Findings) time.Duration {
	window := e.stepWriteWindow()
	spread := jitter(e.Draw(), window)
	switch {
	case next != roll.Rejected:
		return spread
	case r.lost || f.Verdict == roll.Bad || f.Verdict == roll.Doubtful || f.ExposureSpent:
		return 0
	default:
		return window + spread
	}
}

// writeDueSteps writes the next step of each trial for which one is due.
func (e *Engine) writeDueSteps(ctx context.Context) {
	now := e.Now()
	for _, next := range e.nextSteps(now) {
		if err := ctx.Err(); err != nil {
			return
		}
		e.writeStep(ctx, next)
	}
}

// nextSteps returns the steps that this router is to write at now.
func (e *Engine) nextSteps(now time.Time) (due []roll.Trial) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.rollouts {
		f := e.findings(r)
		next, changed := r.trial.Next(now, f)
		if r.lost {
			next, changed = r.trial, true
		}
		if !changed || !r.replacedAt.IsZero() {
			// A step must be due at each check until it is written, so that no single check triggers it.
			r.notBefore = time.Time{}
			continue
		}
		if r.writing {
			continue
		}
		delay := e.writeDelay(r, next.State, f)
		switch {
		case r.notBefore.IsZero():
			r.notBefore = now.Add(delay)
		case delay == 0:
			// The verdict has changed while the router waited, or its last write failed.
			r.notBefore = earliest(r.notBefore, now.Add(minStepWriteWindow))
		}
		if now.Before(r.notBefore) {
			continue
		}
		r.writing = true
		if next.State == roll.Proven {
			next.Retired = e.retiredVersions(next)
		}
		due = append(due, next)
	}
	return due
}

// retiredVersions returns the versions that get no more requests once a trial's version is proven,
// including others that served beside it; mu is held.
func (e *Engine) retiredVersions(t roll.Trial) roll.Retired {
	retired := t.Retired
	for _, v := range e.book.Versions(t.Service) {
		if t.IsOld(v) {
			retired = retired.With(v)
		}
	}
	return retired
}

func (e *Engine) writeStep(ctx context.Context, next roll.Trial) {
	err := e.WriteTrial(ctx, next)
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.rollouts[next.Service]
	if r == nil {
		return
	}
	r.writing, r.notBefore = false, time.Time{}
	if err != nil {
		r.notBefore = e.Now().Add(minStepWriteWindow)
	}
	n, total := r.judge.Exposed()
	e.Log.Info("relay: A step of a roll-out was written.", zap.String("service", next.Service), zap.String("version", next.Version),
		zap.String("state", string(next.State)), zap.Int("step", next.Step), zap.Stringer("verdict", r.judge.Verdict()),
		zap.Float64("evidence", r.judge.MaxSum()), r.evidenceField(), zap.Int("exposed", n), zap.Int("requests", total),
		zap.Float64("requestsPerSecond", round(r.requestRate.perSecond)), zap.Stringer("onRevision", next.Revision), logs.Err(err))
}

// findings returns what this router knows of a trial, and logs a change of its verdict; mu is held.
func (e *Engine) findings(r *rollout) roll.Findings {
	now := e.Now()
	n, total := r.judge.Exposed()
	r.requestRate.add(now, total)
	rest := r.requestRate.perSecond * max(r.trial.Ends.Sub(now).Seconds(), 0)
	used, expected := e.exposureUsed(float64(n), float64(total)), e.exposureUsed(float64(n)+rest, float64(total)+rest)
	f := roll.Findings{Verdict: r.judge.Verdict(), StepAt: r.stepAt, ExposureSpent: used > 1, ExposureShort: r.fromStart && expected > exposureShortThreshold, Burst: r.fromStart && expected > burstThreshold}
	if f.Verdict != r.loggedVerdict {
		r.loggedVerdict = f.Verdict
		e.Log.Info("relay: What is known of a new version has changed.", zap.String("service", r.trial.Service), zap.String("version", r.trial.Version),
			zap.Stringer("verdict", f.Verdict), zap.Float64("evidence", r.judge.MaxSum()), r.evidenceField(), zap.Int("exposed", n), zap.Int("requests", total))
	}
	return f
}

// exposureUsed returns n requests to a version that may be bad as a fraction of those that it may get out
// of total requests to its service; over 1 if they are too many.
func (e *Engine) exposureUsed(n, total float64) float64 {
	l := e.limits.Load()
	return n / max(l.ExposeShare*total+l.ExposeSlack*exposureSlackShare, 1)
}

// exposureShortThreshold is the fraction of the allowed requests above which the last step waits. The
// estimate of the rest of the trial is up to a twentieth too low, as reports arrive late.
const exposureShortThreshold = 0.95

// burstThreshold is the fraction of the allowed requests above which the expected ones are a burst: with
// an even rate, counted over half a second, they vary by no more than a tenth of it.
const burstThreshold = 1.2

// exposureSlackShare is the fraction of the operator's slack that is used: when the last of the allowed
// requests is reported, others are under way.
const exposureSlackShare = 0.5

// fit selects the endpoints of a service that may serve a session.
type fit struct {
	// version reports whether a version may serve it; nil if all may.
	version func(version string) bool
	// firstOnly says that only the first of the endpoints may, in the order of their hashes.
	firstOnly bool
	// fallback reports whether a version may serve it if no endpoint that fits is left; nil for none. A
	// session may return from the version on trial to an old one, but not the reverse.
	fallback func(version string) bool
}

// fit returns which endpoints of a service may serve the session with the random number draw, 0 to 1; mu is
// held. A version that this router found bad gets no more requests during its trial, whatever is stored.
func (e *Engine) fit(service string, draw float64) fit {
	r, ok := e.rollouts[service]
	if !ok {
		return fit{}
	}
	isNew, isOld := r.hasVersion, r.trial.IsOld
	switch {
	case r.trial.State == roll.Proven:
		return fit{version: isNew}
	case r.trial.ServesNew(draw) && !r.judge.Bad():
		return fit{version: isNew, fallback: isOld, firstOnly: e.inLoadedShare(r, draw)}
	default:
		return fit{version: isOld}
	}
}

// inLoadedShare reports whether a session belongs to the share that loads one endpoint of the version on
// trial like those of the old version; mu is held.
func (e *Engine) inLoadedShare(r *rollout, draw float64) bool {
	return draw < r.trial.LoadedShare(e.book.Count(r.trial.Service, r.hasVersion), e.Now())
}

// failedAnswer reports whether a status is a failure of the endpoint itself.
func failedAnswer(status int) bool { return status >= 500 }

// notSent reports whether an attempt never reached its endpoint.
func notSent(err *fault.Error) bool { return err.Run == fault.NotRun && err.Kind == fault.EndpointLost }
