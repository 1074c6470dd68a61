// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/roll"
)

// rollout is a trial with this router's own evidence.
type rollout struct {
	trial roll.Trial
	judge roll.Judge
	// writing says that a step is being written; mu of the engine guards it.
	writing bool
	// notBefore is when the next step is tried, so that routers do not all
	// write at once.
	notBefore time.Time
}

// TakeTrial takes over a stored trial. Begun and Ends count only for a trial
// that is new to this router: one that it saw begin keeps its own times.
func (e *Engine) TakeTrial(t roll.Trial) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.rolls[t.Service]
	if ok && t.Revision <= r.trial.Revision {
		return
	}
	if !ok || r.trial.Version != t.Version || t.State == roll.Ordered && r.trial.State != roll.Ordered {
		r = &rollout{}
		e.rolls[t.Service] = r
	} else {
		t.Begun, t.Ends = r.trial.Begun, r.trial.Ends
	}
	if r.trial.State != t.State || r.trial.Step != t.Step {
		e.Log.Info("relay: A roll-out has moved.", zap.String("service", t.Service), zap.String("version", t.Version),
			zap.String("state", string(t.State)), zap.Int("step", t.Step), zap.Float64("share", t.Share()), zap.Int64("revision", t.Revision))
	}
	if t.Step != r.trial.Step || t.State != r.trial.State {
		r.notBefore = time.Time{}
	}
	r.trial = t
}

// DropTrial forgets the trial of a service.
func (e *Engine) DropTrial(service string, revision int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r, ok := e.rolls[service]; ok && r.trial.Revision <= revision {
		delete(e.rolls, service)
	}
}

const (
	// moveSpread is the time over which the routers' writes of the same step are
	// spread, for each router, and moveLeast and moveMost bound it: it takes a
	// write some tens of milliseconds to be known to all, so most routers find
	// that another one was first.
	moveSpread = 40 * time.Millisecond
	moveLeast  = 250 * time.Millisecond
	moveMost   = time.Second
)

// moveWithin returns the time over which the routers' writes are spread.
func (e *Engine) moveWithin() time.Duration {
	return min(max(time.Duration(e.Routers())*moveSpread, moveLeast), moveMost)
}

// moveRolls writes the next step of each trial that has one.
func (e *Engine) moveRolls(ctx context.Context) {
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
	for _, r := range e.rolls {
		next, changed := r.trial.Next(now, r.judge.Bad())
		if !changed || r.writing {
			continue
		}
		if r.notBefore.IsZero() {
			r.notBefore = now.Add(spread(e.draw(), e.moveWithin()))
			if next.State == roll.Rejected {
				r.notBefore = now
			}
		}
		if now.Before(r.notBefore) {
			continue
		}
		r.writing = true
		due = append(due, next)
	}
	return due
}

func (e *Engine) writeStep(ctx context.Context, next roll.Trial) {
	err := e.WriteTrial(ctx, next)
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.rolls[next.Service]
	if r == nil {
		return
	}
	r.writing, r.notBefore = false, time.Time{}
	if err != nil {
		r.notBefore = e.Now().Add(moveLeast)
	}
	e.Log.Info("relay: A step of a roll-out was written.", zap.String("service", next.Service), zap.String("version", next.Version),
		zap.String("state", string(next.State)), zap.Int("step", next.Step), zap.Float64("evidence", r.judge.Sum()),
		zap.Int64("onRevision", next.Revision), logs.Err(err))
}

// fit returns which versions of a service may serve a session, nil for all; mu is
// held. A version that this router found bad gets nothing more, whatever is
// stored. spare says which versions may serve where none that fits is left; nil
// for none: a session may go back from a version on trial, never on to it.
func (e *Engine) fit(service string, draw float64) (fit, spare func(version string) bool) {
	r, ok := e.rolls[service]
	if !ok {
		return nil, nil
	}
	version := r.trial.Version
	isNew := func(v string) bool { return v == version }
	isOld := func(v string) bool { return v != version }
	switch {
	case r.trial.State == roll.Proven:
		return isNew, nil
	case r.trial.New(draw) && !r.judge.Bad():
		return isNew, isOld
	default:
		return isOld, nil
	}
}

// evidence notes what an answer says about a new version; mu is held.
func (e *Engine) evidence(p *pool.Entry, route string, failed bool, head time.Duration) {
	r, ok := e.rolls[p.Service]
	if !ok || r.trial.State == roll.Proven || r.trial.State == roll.Rejected {
		return
	}
	if p.Version != r.trial.Version {
		r.judge.Old(route, failed, head)
		return
	}
	was := r.judge.Bad()
	r.judge.New(route, failed, head)
	if !was && r.judge.Bad() {
		e.Log.Warn("relay: A new version was found bad.", zap.String("service", p.Service), zap.String("version", p.Version),
			zap.String("route", route), zap.Float64("evidence", r.judge.Sum()))
	}
}

// failedAnswer reports whether a status is a failure of the endpoint itself.
func failedAnswer(status int) bool { return status >= 500 }

// notSent reports whether an attempt never reached its endpoint.
func notSent(err *fault.Error) bool { return err.Run == fault.NotRun && err.Kind == fault.EndpointLost }
