// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/roll"
)

// rollout is a trial with the evidence that this router has and hears of.
type rollout struct {
	trial roll.Trial
	judge roll.Judge
	// stepAt is when this router heard of the present step.
	stepAt time.Time
	// reportedAt is when the last report was sent, and told how many requests it held.
	reportedAt       time.Time
	reportedRequests uint32
	// loggedVerdict is what was logged last.
	loggedVerdict roll.Verdict
	// names holds the routes and what else is compared, by hash, for logs.
	names map[uint32]string
	// writing says that a step is being written; mu of the engine guards it.
	writing bool
	// flow is how often requests come to the service at all routers; all says that this
	// router knew the trial from its order on, so that its counts are of the whole.
	flow      reportedRate
	fromStart bool
	// notBefore is when the next step is tried, so that routers do not all
	// write at once.
	notBefore time.Time
}

// PutTrial takes over a stored trial. Begun and Ends count only for a trial
// that is new to this router: one that it saw begin keeps its own times.
func (e *Engine) PutTrial(t roll.Trial) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.rollouts[t.Service]
	if ok && t.Revision <= r.trial.Revision {
		return
	}
	if !ok || r.trial.Version != t.Version || t.State == roll.Ordered && r.trial.State != roll.Ordered {
		r = &rollout{stepAt: e.Now(), fromStart: t.Step == 0}
		e.rollouts[t.Service] = r
	} else {
		t.Begun, t.Ends = r.trial.Begun, r.trial.Ends
	}
	if r.trial.State != t.State || r.trial.Step != t.Step {
		e.Log.Info("relay: A roll-out has moved.", zap.String("service", t.Service), zap.String("version", t.Version),
			zap.String("state", string(t.State)), zap.Int("step", t.Step), zap.Float64("share", t.Share()), zap.Int64("revision", t.Revision))
	}
	if t.Step != r.trial.Step || t.State != r.trial.State {
		r.notBefore, r.stepAt = time.Time{}, e.Now()
	}
	t.MaxExposure = e.limits.Load().ExposeShare
	r.trial = t
}

// RemoveTrial forgets the trial of a service.
func (e *Engine) RemoveTrial(service string, revision int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r, ok := e.rollouts[service]; ok && r.trial.Revision <= revision {
		delete(e.rollouts, service)
		e.Log.Warn("relay: A roll-out was removed.", zap.String("service", service), zap.String("version", r.trial.Version),
			zap.String("state", string(r.trial.State)), zap.Int("step", r.trial.Step), zap.Int64("revision", revision))
	}
}

const (
	// stepWriteSpread is the time over which the routers' writes of the same step are
	// spread, for each router, and moveLeast and moveMost bound it: it takes a
	// write some tens of milliseconds to be known to all, so most routers find
	// that another one was first.
	stepWriteSpread    = 40 * time.Millisecond
	minStepWriteWindow = 250 * time.Millisecond
	maxStepWriteWindow = time.Second
)

// stepWriteWindow returns the time over which the routers' writes are spread.
func (e *Engine) stepWriteWindow() time.Duration {
	return min(max(time.Duration(e.RouterCount())*stepWriteSpread, minStepWriteWindow), maxStepWriteWindow)
}

// writeDueSteps writes the next step of each trial that has one.
func (e *Engine) writeDueSteps(ctx context.Context) {
	now := e.Now()
	for _, next := range e.nextSteps(now) {
		if err := ctx.Err(); err != nil {
			return
		}
		e.writeStep(ctx, next)
	}
}

// nextSteps returns the steps that are due.
func (e *Engine) nextSteps(now time.Time) (due []roll.Trial) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.rollouts {
		next, changed := r.trial.Next(now, e.findings(r))
		if !changed {
			// A step must be due all the while, so that no single look takes it.
			r.notBefore = time.Time{}
			continue
		}
		if r.writing {
			continue
		}
		if r.notBefore.IsZero() {
			r.notBefore = now.Add(jitter(e.draw(), e.stepWriteWindow()))
			if next.State == roll.Rejected {
				r.notBefore = now
			}
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

// retiredVersions returns the versions that get nothing any more once a trial's version is proven:
// those that served beside it too; mu is held.
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
	n, of := r.judge.Exposed()
	e.Log.Info("relay: A step of a roll-out was written.", zap.String("service", next.Service), zap.String("version", next.Version),
		zap.String("state", string(next.State)), zap.Int("step", next.Step), zap.Stringer("verdict", r.judge.Verdict()),
		zap.Float64("evidence", r.judge.MaxSum()), r.evidenceField(), zap.Int("exposed", n), zap.Int("requests", of),
		zap.Float64("requestsPerSecond", round(r.flow.perSecond)), zap.Int64("onRevision", next.Revision), logs.Err(err))
}

// findings returns what is known of a trial; mu is held.
func (e *Engine) findings(r *rollout) roll.Findings {
	now := e.Now()
	n, of := r.judge.Exposed()
	r.flow.add(now, of)
	rest := r.flow.perSecond * max(r.trial.Ends.Sub(now).Seconds(), 0)
	used, expected := e.exposureUsed(float64(n), float64(of)), e.exposureUsed(float64(n)+rest, float64(of)+rest)
	f := roll.Findings{Verdict: r.judge.Verdict(), StepAt: r.stepAt, ExposureSpent: used > 1, ExposureShort: r.fromStart && expected > exposureShortThreshold, Burst: r.fromStart && expected > burstThreshold}
	if f.Verdict != r.loggedVerdict {
		r.loggedVerdict = f.Verdict
		e.Log.Info("relay: What is known of a new version has changed.", zap.String("service", r.trial.Service), zap.String("version", r.trial.Version),
			zap.Stringer("verdict", f.Verdict), zap.Float64("evidence", r.judge.MaxSum()), r.evidenceField(), zap.Int("exposed", n), zap.Int("requests", of))
	}
	return f
}

// exposureUsed returns which part of the requests that a version which may be bad may get are n of
// so many.
func (e *Engine) exposureUsed(n, of float64) float64 {
	l := e.limits.Load()
	return n / max(l.ExposeShare*of+l.ExposeSlack*exposureSlackShare, 1)
}

// exposureShortThreshold is the part of the allowed requests from which on the last step waits: what is left of the
// trial is reckoned up to a twentieth too low, as reports come late.
const exposureShortThreshold = 0.95

// burstThreshold is the part of the allowed requests from which on those that are expected are no
// accident: even requests, counted over half a second, stay within a tenth of it.
const burstThreshold = 1.2

// exposureSlackShare is the part of the users' slack that is used up: requests are under way
// when the last of them is told.
const exposureSlackShare = 0.5

// fit is which endpoints of a service may serve a session.
type fit struct {
	// version reports whether a version may; nil for all.
	version func(version string) bool
	// firstOnly says that only the first of them does, in the order of their hashes.
	firstOnly bool
	// fallback says which versions may where none that fits is left; nil for none: a
	// session may go back from a version on trial, never on to it.
	fallback func(version string) bool
}

// fit returns which endpoints of a service may serve a session; mu is held. A version
// that this router found bad gets nothing more, whatever is stored.
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

// inLoadedShare reports whether a session is one of those that load one endpoint of the version
// on trial as the old version's are; mu is held.
func (e *Engine) inLoadedShare(r *rollout, draw float64) bool {
	return draw < r.trial.LoadedShare(e.book.Count(r.trial.Service, r.hasVersion), e.Now())
}

// failedAnswer reports whether a status is a failure of the endpoint itself.
func failedAnswer(status int) bool { return status >= 500 }

// notSent reports whether an attempt never reached its endpoint.
func notSent(err *fault.Error) bool { return err.Run == fault.NotRun && err.Kind == fault.EndpointLost }
