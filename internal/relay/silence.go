// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"sync"
	"time"
)

// silenceTimer cancels an attempt whose endpoint sends nothing for too long, if the request may go to
// another endpoint. The zero value never does.
type silenceTimer struct {
	e      *Engine
	cancel context.CancelCauseFunc
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
func (x *run) startSilenceTimer(a *Attempt, cancel context.CancelCauseFunc) *silenceTimer {
	s := &silenceTimer{e: x.e, cancel: cancel}
	if x.e.disabled(SilenceTimeouts) || !x.route.repeatable() || x.attempts >= x.route.MaxAttempts {
		return s
	}
	x.e.mu.Lock()
	inBudget := x.e.budget(x.service).Remaining(x.e.Now()) >= 1
	x.e.mu.Unlock()
	if !inBudget {
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

// check cancels the attempt, unless something was received meanwhile. If this process was stalled, answers
// may wait in its sockets, so it gets resumeDelay to read them, at most maxResumeWait in all.
func (s *silenceTimer) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.silentAt.IsZero() || now.Before(s.silentAt) {
		return
	}
	stalled := now.Sub(s.checkAt) > maxTimerDelay || s.e.stalls.Resuming(resumeDelay)
	if s.readUntil.IsZero() {
		s.readUntil = maxResumeWait.After(now)
	}
	if stalled && now.Before(s.readUntil) {
		s.e.metrics.count("silence_postponed", "", "")
		s.checkAt = now.Add(resumeDelay)
		s.timer.Reset(resumeDelay)
		return
	}
	s.cancel(errSilent)
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
