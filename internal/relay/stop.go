// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

// Stop makes Ready report false and closes each connection after its next answer. Requests that are
// still under way at abortAt will be aborted. It must be called only once.
func (e *Engine) Stop(abortAt time.Time) {
	e.stoppedAt, e.stopDeadline = e.Now(), abortAt
	e.answerAt = abortAt.Add(-min(answerMargin, abortAt.Sub(e.stoppedAt)/4))
	e.stopping.Store(true)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.wakeAllWaiting()
}

const (
	// StopGracePeriod is how long a stopping router still accepts every request that it expects to
	// end in time. The load balancer sends new connections for 2 s after the router stops being ready,
	// and callers that were asked to close their connection have done so by then. After this period
	// the router accepts only requests that are certain to end in time.
	StopGracePeriod = config.Span(2500 * time.Millisecond)
	// answerMargin is how long before stopDeadline requests without the head of an answer are answered
	// with an error, a quarter of the stop at most: callers that are slow to read, or far, get it before
	// the connection is closed.
	answerMargin = 200 * time.Millisecond
	// proofMargin is how long before answerAt the deadline of an attempt is that may not be repeated: an
	// endpoint that has not begun it by then says so, in time for the caller to hear that it did not run.
	proofMargin = 100 * time.Millisecond
	// abortWriteTimeout is how long a caller that does not read holds up an abort.
	abortWriteTimeout = 50 * time.Millisecond
)

// refusesWhileStopping reports whether a stopping router refuses a request of the route, as it might not end in time,
// or is not expected to.
func (e *Engine) refusesWhileStopping(route *Route, r *Request, now time.Time) bool {
	if !e.stopping.Load() {
		return false
	}
	if !now.Before(e.answerAt) {
		return true
	}
	if !now.After(StopGracePeriod.After(e.stoppedAt)) {
		return e.endsTooLate(route, r, now)
	}
	return route.Kind == Stream || route.Timeout.After(now).After(e.answerAt)
}

// endsTooLate reports whether a stream whose head came at now would be expected to end after stopDeadline. Of a stream
// that its caller resumes it is not known how much is left.
func (e *Engine) endsTooLate(route *Route, r *Request, now time.Time) bool {
	if route.Kind != Stream || r.LastEvent != "" {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Add(seconds(e.streamTimes[route.Name].expect(0))).After(e.stopDeadline)
}

// stopError is the cause of ending a request as the router stops.
type stopError struct{ why string }

// Error returns why the router does not wait for the request.
func (s stopError) Error() string { return s.why }

// stopReason returns the stopError that ended ctx; ok is false if there is none.
func stopReason(ctx context.Context) (s stopError, ok bool) {
	ok = errors.As(context.Cause(ctx), &s)
	return s, ok
}

// EndLate ends the requests of a stopping router that cannot end in time, or are not expected to, and have no head
// of an answer. It returns the number of requests under way.
func (e *Engine) EndLate(now time.Time) int {
	list := e.active.list()
	for _, q := range list {
		if e.isLate(q, now) {
			q.cancel(stopError{"no answer is expected in time"})
		}
	}
	return len(list)
}

// isLate reports whether EndLate ends a request. Until StopGracePeriod has passed its caller may be sent to this
// router again. A request that may not be repeated is left at its endpoint for as long as it can be.
func (e *Engine) isLate(q *activeRequest, now time.Time) bool {
	stage := q.loadStage()
	switch {
	case stage == StageAnswering:
		return false
	case !now.Before(e.answerAt):
		return true
	case !now.After(StopGracePeriod.After(e.stoppedAt)):
		return false
	}
	t := e.table.Load()
	if t == nil {
		return false
	}
	route := t.Match(q.r.Host, q.r.Path)
	switch {
	case route == nil:
		return false
	case stage == StageReading:
		return e.refusesWhileStopping(route, q.r, now)
	case stage == StageSent && !route.repeatable():
		return false
	default:
		return e.endsTooLate(route, q.r, now)
	}
}

// Abort ends all requests of a stopping router, and refuses those that still arrive; why says why it does not wait for
// them. Answers that have begun are cut, also where the caller does not read.
func (e *Engine) Abort(why string) {
	e.aborted.Store(true)
	for _, q := range e.active.list() {
		q.cancel(stopError{why})
		if q.loadStage() == StageAnswering {
			// It fails only where there is no connection any more, or none at all, as in tests.
			_ = q.control.SetWriteDeadline(time.Now().Add(abortWriteTimeout))
		}
	}
}

// attemptDeadline returns the deadline of an attempt that is sent now. A stream may go on until the router ends.
func (x *run) attemptDeadline() time.Time {
	end, stopping := x.mustEndAt()
	if stopping && !x.route.repeatable() && x.route.Kind != Stream {
		return x.e.answerAt.Add(-proofMargin)
	}
	return end
}

// endsBeforeStop reports whether an answer of the model with this index is known to end before the router does. The
// caller must hold the engine's mu.
func (x *run) endsBeforeStop(size int, now time.Time) bool {
	stream := x.e.streamTimes[x.route.Name].expect(0)
	return stream > 0 && headSpread*x.estimateHead(size, now).time+stream <= x.e.stopDeadline.Sub(now).Seconds()
}

// stoppingError returns the error of a request that was ended as the router stops.
func (x *run) stoppingError(s stopError, run fault.RunState) *fault.Error {
	err := fault.New(fault.Stopping, run, "The router is stopping: %s.", s.why)
	if run == fault.NotRun || x.route != nil && x.route.repeatable() {
		return err.WithRetryAt(x.e.Now())
	}
	return err
}
