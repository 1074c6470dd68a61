// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/fault"
)

// recordBackoff stores the backoff that the engine asked for if it refused run r with err and a
// Retry-After. The load is sent to all entries at once, as an endpoint that refuses every run appears
// idle and would be chosen first. g.mu is held.
func (g *Guard) recordBackoff(r *record, err *fault.Error) {
	if err == nil || err.Kind != fault.Overloaded || !err.RetryAt.After(g.backoffUntil) {
		return
	}
	g.backoffUntil = err.RetryAt
	g.broadcastLoadAsync()
	g.Log.Info("guard: The engine has asked for backoff.", zap.String("run", runID(r.key)), zap.Time("until", g.backoffUntil))
}

// backoffRefusal returns the refusal of runs during the engine's backoff, with its end as the time to
// retry; nil if there is no backoff. As all runs pass through the guard, the engine receives none
// meanwhile. g.mu is held.
func (g *Guard) backoffRefusal(now time.Time) *fault.Error {
	if !now.Before(g.backoffUntil) {
		return nil
	}
	return fault.New(fault.Overloaded, fault.NotRun, "The engine has asked for backoff.").WithRetryAt(g.backoffUntil)
}
