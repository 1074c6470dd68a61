// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/config"
)

const (
	// stallCheckInterval is how often the process checks whether it stood still, and minStall the
	// shortest time that counts: a loaded processor delays a tick by 0.1 s.
	stallCheckInterval = 200 * time.Millisecond
	minStall           = 500 * time.Millisecond
	// resumeDelay is how long requests that arrived while the process stood still wait after that.
	// Messages of other routers that arrived meanwhile wait beside them, and are read within a few
	// milliseconds. Without the delay, a router that was frozen sent four of some fifteen repeats
	// of a quarantined request on.
	resumeDelay = 30 * time.Millisecond
	// maxResumeWait limits the wait where the process gets no time for its ticks.
	// resumePollInterval is how often a request checks whether the wait is over.
	maxResumeWait      = config.Span(300 * time.Millisecond)
	resumePollInterval = config.Span(5 * time.Millisecond)
)

// WatchClock detects and logs that the process stood still, until ctx is done. It always returns
// nil.
func (e *Engine) WatchClock(ctx context.Context) error {
	t := time.NewTicker(stallCheckInterval)
	defer t.Stop()
	for {
		if stood := e.stalls.Tick(); stood > 0 {
			e.Log.Warn("relay: The process stood still.", zap.Int64("forMs", stood.Milliseconds()), zap.Int64("configurationAgeMs", e.age(e.Now()).Milliseconds()))
			e.metrics.count("stood_still", "", "")
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// awaitResume returns once the router has read the messages that arrived while the process stood
// still, or ctx is done, or maxResumeWait has passed.
func (e *Engine) awaitResume(ctx context.Context) {
	until := maxResumeWait.After(e.Now())
	for e.stalls.Resuming(resumeDelay) && ctx.Err() == nil && e.Now().Before(until) {
		tasks.Pause(ctx, resumePollInterval.After(time.Now()))
	}
}

// hasTimeLeft moves the deadline earlier by the time for which the VM was suspended since the
// request arrived, and reports whether any time is left: nobody would wait for a later attempt.
func (x *run) hasTimeLeft(now time.Time) bool {
	if x.r.ArrivedBoot == 0 {
		return true
	}
	suspended := x.e.Boot() - x.r.ArrivedBoot - now.Sub(x.r.Arrived)
	if more := suspended - x.suspended; more >= minStall {
		x.suspended = suspended
		x.deadline = x.deadline.Add(-more)
	}
	return x.suspended == 0 || now.Before(x.deadline)
}
