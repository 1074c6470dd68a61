// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/fault"
)

// rests notes how a run ended: an engine that refused it may have asked for rest. Entries are told, as a
// guard that refuses everything looks idle. g.mu is held.
func (g *Guard) rests(r *record, err *fault.Error) {
	if err == nil || err.Kind != fault.Overloaded || !err.RetryAt.After(g.restsUntil) {
		return
	}
	g.restsUntil = err.RetryAt
	g.tellLoad()
	g.Log.Info("guard: The engine asks for rest.", zap.String("run", runID(r.key)), zap.Time("until", g.restsUntil))
}

// resting returns why no run is sent to the engine while it rests; nil if it does not. The guard is
// the engine's only sender, so what it refuses is not sent by another. g.mu is held.
func (g *Guard) resting(now time.Time) *fault.Error {
	if !now.Before(g.restsUntil) {
		return nil
	}
	return fault.New(fault.Overloaded, fault.NotRun, "The engine has asked for rest.").WithRetryAt(g.restsUntil)
}
