// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/epoch"
	"github.com/traildrift/traildrift/pkg/roll"
)

// PutRestoredTrial is PutTrial for a trial that the store came back with from an older copy. A trial of
// another version than the known one replaces it after RestoreGrace, unless the operator orders the known one
// again.
func (e *Engine) PutRestoredTrial(t roll.Trial) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r, ok := e.rollouts[t.Service]; ok && r.trial.Version != t.Version && t.Revision > r.trial.Revision {
		r.replacement, r.replacedAt = &t, RestoreGrace.After(e.Now())
		e.logLostTrial(r, t.Revision)
		return
	}
	e.putTrial(t)
}

// logLostTrial logs that the store came back without the state of a trial; mu is held.
func (e *Engine) logLostTrial(r *rollout, revision epoch.Revision) {
	e.Log.Warn("relay: The store has lost the state of a roll-out.", zap.String("service", r.trial.Service), zap.String("version", r.trial.Version),
		zap.String("state", string(r.trial.State)), zap.Int("step", r.trial.Step), zap.Stringer("revision", revision))
}

// hasLost reports whether the store came back from an older copy, and t, which it holds now, is an earlier state
// of the trial than the known one.
func (r *rollout) hasLost(t *roll.Trial) bool {
	return r.trial.Version == t.Version && (r.lost || t.Revision.Epoch() > r.trial.Revision.Epoch()) && r.trial.IsAfter(t)
}

// expireLostTrials removes or replaces the trials that the store has lost and that were not ordered again; mu is
// held.
func (e *Engine) expireLostTrials(now time.Time) {
	for _, r := range e.rollouts {
		if r.replacedAt.IsZero() || now.Before(r.replacedAt) {
			continue
		}
		next := r.replacement
		e.removeTrial(r, r.trial.Revision)
		if next != nil {
			e.putTrial(*next)
		}
	}
}
