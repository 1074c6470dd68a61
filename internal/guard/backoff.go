// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/fault"
)

// recordBackoff notes how a run ended: an engine that refused it may have asked for rest. Entries are told, as a
// guard that refuses everything looks idle. g.mu is held.
func (g *Guard) recordBackoff(r *record, err *fault.Error) {
	if err == nil || err.Kind != fault.Overloaded || !err.RetryAt.After(g.backoffUntil) {
		return
	}
	g.backoffUntil = err.RetryAt
	g.broadcastLoadAsync()
	g.Log.Info("guard: The engine asks for rest.", zap.String("run", runID(r.key)), zap.Time("until", g.backoffUntil))
}

// backoffRefusal returns why no run is sent to the engine while it rests; nil if it does not. The guard is
// the engine's only sender, so what it refuses is not sent by another. g.mu is held.
func (g *Guard) backoffRefusal(now time.Time) *fault.Error {
	if !now.Before(g.backoffUntil) {
		return nil
	}
	return fault.New(fault.Overloaded, fault.NotRun, "The engine has asked for rest.").WithRetryAt(g.backoffUntil)
}
