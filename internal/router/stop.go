// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/proc"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/config"
)

const (
	// balancerDrainDelay is how long after the signal a stopping router still gets new connections.
	// The balancer checks the readiness every second and removes the router after two negative
	// answers.
	balancerDrainDelay = config.Span(3 * time.Second)
	// drainPollInterval is the interval at which a stopping router checks whether all requests have
	// been answered.
	drainPollInterval = config.Span(20 * time.Millisecond)
)

// stop performs a planned stop. The router reports that it is not ready, closes each connection after
// the current response, and waits until all requests are answered. It ends those with an answer that cannot end in
// time, and aborts the rest once the time for the stop has passed or stages.Kill is done. ctx is that of the tasks.
func (r *Router) stop(ctx context.Context, stages proc.Stages) {
	now := time.Now()
	signaled := proc.Signaled{At: now}
	_ = errors.As(context.Cause(stages.Stop), &signaled)
	abortAt := r.settings.abortWithin().After(signaled.At)
	r.stopping.Store(true)
	r.fleet.SetLeaving()
	if r.duties != nil {
		r.duties.stop()
	}
	r.Engine.Stop(abortAt)
	r.Log.Info("router: Stopping.", append(r.Engine.StageFields(), zap.String("why", endCause(stages.Stop)), zap.Int64("signalAgeMs", now.Sub(signaled.At).Milliseconds()),
		zap.Int64("abortInMs", abortAt.Sub(now).Milliseconds()), zap.Int("underWay", r.Engine.ActiveRequests()))...)
	r.tasks.Go(ctx, "removal of the registration", func(ctx context.Context) error {
		err := r.wire.Unregister(ctx, r.unconditional())
		if err != nil {
			r.Log.Warn("router: The registration could not be removed from the store.", logs.Err(err))
		}
		return err
	})
	if r.drain(ctx, stages, now, abortAt) {
		return
	}
	why := endCause(stages.Kill)
	if why == "" {
		why = proc.ErrStopTimeout.Error()
	}
	if left := r.Engine.ActiveRequests(); left > 0 {
		r.Log.Warn("router: Requests are aborted.", append(append(r.Engine.StageFields(), r.Engine.QuietFields()...), zap.String("why", why), zap.Int("underWay", left))...)
	} else {
		r.Log.Info("router: Connections without a request are closed.", zap.String("why", why))
	}
	r.Engine.Abort(why)
	r.awaitHandlers()
	// Callers get the time to read the last answers before their connections are closed.
	flush, cancel := context.WithDeadline(context.WithoutCancel(ctx), flushTimeout.After(time.Now()))
	defer cancel()
	_ = r.callers.Shutdown(flush)
}

// drain waits until all requests have ended and the connections of callers are closed, for balancerDrainDelay at least
// after the stop began. It reports false if that is not so by abortAt, or when stages.Kill is done.
func (r *Router) drain(ctx context.Context, stages proc.Stages, began, abortAt time.Time) bool {
	// closed is nil until the server is being shut down.
	var closed chan struct{}
	poll := time.NewTicker(time.Duration(drainPollInterval))
	defer poll.Stop()
	for {
		now := time.Now()
		left := r.Engine.EndLate(now)
		if closed == nil && left == 0 && now.After(balancerDrainDelay.After(began)) {
			r.Log.Info("router: All requests have ended.", zap.Int64("afterMs", now.Sub(began).Milliseconds()))
			closed = make(chan struct{})
			r.tasks.Go(ctx, "shutdown", func(ctx context.Context) error {
				defer close(closed)
				return r.callers.Shutdown(ctx)
			})
		}
		if !now.Before(abortAt) {
			return false
		}
		select {
		case <-closed:
			return true
		case s := <-stages.Later:
			r.Log.Info("router: Another signal was received; the stop goes on as planned.", zap.String("why", s.Error()), zap.Int("underWay", left))
		case <-poll.C:
		case <-stages.Kill.Done():
			return false
		}
	}
}

// endCause returns why a stage of the process has ended, for the log.
func endCause(stage context.Context) string {
	if cause := context.Cause(stage); cause != nil {
		return cause.Error()
	}
	return ""
}

const (
	// stopMargin is how long before Settings.StopWithin has passed a stopping router aborts the requests
	// that are left. It includes times for which a busy machine does not run the process.
	// handlerEndTimeout and flushTimeout are parts of it: how long the router waits until the aborted requests
	// have ended and been logged, and until their callers have read the last answers.
	stopMargin        = config.Span(600 * time.Millisecond)
	handlerEndTimeout = config.Span(150 * time.Millisecond)
	flushTimeout      = config.Span(150 * time.Millisecond)
)

// abortWithin returns how long after the signal a stopping router aborts the requests that are left: half of a time
// that is shorter than twice the margin.
func (s *Settings) abortWithin() config.Span { return max(s.StopWithin-stopMargin, s.StopWithin/2) }

// awaitHandlers waits until all requests have ended, at most for handlerEndTimeout.
func (r *Router) awaitHandlers() {
	for until := handlerEndTimeout.After(time.Now()); r.Engine.ActiveRequests() > 0 && time.Now().Before(until); {
		tasks.Pause(context.Background(), time.Now().Add(time.Millisecond))
	}
}
