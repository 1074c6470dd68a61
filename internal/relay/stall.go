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
	// stallCheckInterval is how often it is looked whether the process stood still, and stillLeast how
	// long that must be: a loaded processor delays a tick by a tenth of a second.
	stallCheckInterval = 200 * time.Millisecond
	minStall           = 500 * time.Millisecond
	// resumeDelay is how long after that requests wait, which came meanwhile: what other routers
	// told meanwhile waits beside them, and is read within a few milliseconds. Without it a
	// router that was frozen sent four of some fifteen repeats of a quarantined request on.
	resumeDelay = 30 * time.Millisecond
	// maxResumeWait bounds the wait where the process gets no time for its ticks, and wakePoll is
	// how often a request looks.
	maxResumeWait      = config.Span(300 * time.Millisecond)
	resumePollInterval = config.Span(5 * time.Millisecond)
)

// WatchClock notices that the process stood still, until ctx is done.
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

// awaitResume returns once the router knows what it was told while it stood still.
func (e *Engine) awaitResume(ctx context.Context) {
	until := maxResumeWait.After(e.Now())
	for e.stalls.Resuming(resumeDelay) && ctx.Err() == nil && e.Now().Before(until) {
		tasks.Pause(ctx, resumePollInterval.After(time.Now()))
	}
}

// hasTimeLeft takes the time for which the VM was suspended since the request arrived off its
// deadline, and reports whether any is left: an attempt after it would run for nobody.
func (x *run) hasTimeLeft(now time.Time) bool {
	if x.r.ArrivedBoot == 0 {
		return true
	}
	hidden := x.e.Boot() - x.r.ArrivedBoot - now.Sub(x.r.Arrived)
	if more := hidden - x.suspended; more >= minStall {
		x.suspended = hidden
		x.deadline = x.deadline.Add(-more)
	}
	return x.suspended == 0 || now.Before(x.deadline)
}
