// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"sync"
	"time"
)

// silenceTimer cancels an attempt whose endpoint sends nothing for too long, if another endpoint is better for the
// request by the time that is left.
type silenceTimer struct {
	e       *Engine
	leaving *leaving
	// attempt is the one that is observed, ctx its context, which cancel ends.
	attempt *Attempt
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// eventTimeout is the time to wait for the next event; 0 for no limit.
	eventTimeout time.Duration
	// mu guards the fields below. timer is nil for a timer that never fires.
	mu    sync.Mutex
	timer *time.Timer
	// silentAt is when the endpoint has been silent for too long; zero for never. checkAt is when the
	// timer is due; it is later than silentAt while answers are read that arrived during a stall, at
	// most until readUntil, which is zero if there was none.
	silentAt, checkAt, readUntil time.Time
}

// maxTimerDelay is the largest delay of a timer of a process that is not short of processor time.
const maxTimerDelay = 10 * time.Millisecond

// startSilenceTimer starts the head timeout of an attempt, which calls cancel with errSilent. It returns a
// timer that never fires if the request cannot be attempted again.
func (x *run) startSilenceTimer(ctx context.Context, a *Attempt, cancel context.CancelCauseFunc) *silenceTimer {
	s := &silenceTimer{e: x.e, leaving: x.leaving, attempt: a, ctx: ctx, cancel: cancel}
	if x.e.disabled(SilenceTimeouts) || !x.mayTryAgain() {
		return s
	}
	if x.route.resumable() {
		s.eventTimeout = time.Duration(eventTimeoutFactor * float64(x.route.EventAim))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	timeout := a.headTimeout(x.route)
	s.setSilentAt(time.Now().Add(timeout))
	s.timer = time.AfterFunc(timeout, s.check)
	return s
}

// setSilentAt sets the time at which the endpoint has been silent for too long; mu is held.
func (s *silenceTimer) setSilentAt(at time.Time) {
	s.silentAt, s.checkAt, s.readUntil = at, at, time.Time{}
}

// mayTryAgain reports whether another attempt may follow the present one.
func (x *run) mayTryAgain() bool {
	return x.route.repeatable() && x.attempts < x.route.MaxAttempts && len(x.records) < maxTries
}

// check cancels the attempt if its endpoint is silent and another one is better for the request. Otherwise it is called
// again after recheckInterval.
func (s *silenceTimer) check() {
	silentAt, due := s.due()
	if !due {
		return
	}
	kept := s.decide()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.silentAt.Equal(silentAt):
		// Something was received meanwhile, or the attempt has ended.
		s.e.mu.Lock()
		s.leaving.refund(s.e.Now())
		s.e.mu.Unlock()
	case kept == "":
		s.cancel(errSilent)
	default:
		s.e.metrics.count("silent_endpoints_kept", s.leaving.run.route.Name, kept)
		s.checkAt = time.Now().Add(recheckInterval)
		s.timer.Reset(recheckInterval)
	}
}

// decide returns why the endpoint is kept; empty if it is left.
func (s *silenceTimer) decide() (kept string) {
	decide := func(alive Liveness) string {
		s.e.mu.Lock()
		defer s.e.mu.Unlock()
		return s.leaving.decide(alive, s.e.Now())
	}
	if kept = decide(""); kept != keptUnchecked {
		return kept
	}
	if alive := s.checkAlive(); s.ctx.Err() == nil {
		kept = decide(alive)
	}
	return kept
}

// checkAlive checks whether the endpoint is alive. One that accepts or refuses connections counts as Held at least: it may
// reset those that it has no room for. One that has started again, as its listed entry shows, does not go on with the answer.
func (s *silenceTimer) checkAlive() Liveness {
	if s.e.restarted(&s.attempt.Endpoint) {
		s.e.metrics.count("silent_endpoints_restarted", s.attempt.Endpoint.Service, "")
		return LivenessUnknown
	}
	alive := s.e.checkAlive(s.ctx, s.attempt)
	if alive != LivenessUnknown {
		return alive
	}
	ctx, cancel := context.WithTimeout(s.ctx, silenceProbeTimeout)
	defer cancel()
	if _, known := s.e.CheckEnded(ctx, s.attempt.Endpoint); known {
		return Held
	}
	return LivenessUnknown
}

// due reports whether the endpoint has been silent for too long, and since when. If this process was stalled, answers
// may wait in its sockets, so it gets resumeDelay to read them, at most maxResumeWait in all.
func (s *silenceTimer) due() (silentAt time.Time, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.silentAt.IsZero() || now.Before(s.silentAt) {
		return time.Time{}, false
	}
	stalled := now.Sub(s.checkAt) > maxTimerDelay || s.e.stalls.Resuming(resumeDelay)
	if s.readUntil.IsZero() {
		s.readUntil = maxResumeWait.After(now)
	}
	if stalled && now.Before(s.readUntil) {
		s.e.metrics.count("silence_postponed", "", "")
		s.checkAt = now.Add(resumeDelay)
		s.timer.Reset(resumeDelay)
		return time.Time{}, false
	}
	return s.silentAt, true
}

// eventReceived restarts the timer for the next event, or stops it if there is no such timeout.
func (s *silenceTimer) eventReceived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.timer == nil:
	case s.eventTimeout > 0:
		s.setSilentAt(time.Now().Add(s.eventTimeout))
		s.timer.Reset(s.eventTimeout)
	default:
		s.setSilentAt(time.Time{})
		s.timer.Stop()
	}
}

func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setSilentAt(time.Time{})
	if s.timer != nil {
		s.timer.Stop()
	}
}
