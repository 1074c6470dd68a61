// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/mirror"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/poison"
)

const (
	// verdictCheckInterval is the interval at which a router checks whether a verdict has to be
	// stored. Stored verdicts survive if all routers of a fleet are killed at once.
	verdictCheckInterval = config.Span(250 * time.Millisecond)
	// verdictRankDelay is how long a router waits for each router that precedes it in rank to store
	// a verdict. A slow store takes half a second to answer. Only few routers are cut off from the
	// store at a time.
	verdictRankDelay = 800 * time.Millisecond
	// verdictRetryDelay is the pause after a failed call, unless the store answers any router sooner.
	// Each call costs money, and all routers receive the verdict from other routers every second in
	// the meantime. A router that starts in that time reads the store at once.
	verdictRetryDelay = config.Span(2 * time.Second)
)

// applyVerdict passes a quarantine that was stored or removed to the engine.
func (r *Router) applyVerdict(c mirror.Change) error {
	if c.Removed {
		p, err := poison.ParseFingerprint(c.Name)
		switch {
		case err != nil:
		case c.Restored:
			r.Engine.MergeRestoredVerdict(poison.Verdict{Fingerprint: p})
		default:
			r.Engine.RecordVerdictRemoval(p)
		}
		return err
	}
	v, err := r.wire.Verdict(c.Object, time.Now())
	switch {
	case err != nil:
	case c.Restored:
		r.Engine.MergeRestoredVerdict(v)
	default:
		r.Engine.MergeStoredVerdict(v)
	}
	return err
}

// Alone reports whether other routers receive the state of this one only through the store.
func (r *Router) Alone() bool { return r.puller.Isolated(time.Now()) }

// storeVerdicts writes verdicts on quarantined requests that the store lacks, until ctx is done.
func (r *Router) storeVerdicts(ctx context.Context) error {
	var failedAt time.Time
	for ctx.Err() == nil {
		now := time.Now()
		r.checkVerdicts()
		storeAnswered := r.mirror.ConfirmedAt(r.wire.ConfigKind).After(failedAt)
		if storeAnswered || now.After(verdictRetryDelay.After(failedAt)) {
			failedAt = r.storeNext(ctx)
		}
		tasks.Pause(ctx, verdictCheckInterval.After(now))
	}
	return nil
}

// checkVerdicts has verdicts stored again that the store lacks since it came back from an older copy. The copy of the
// verdicts may not have had those that this router wrote last, so that no change tells.
func (r *Router) checkVerdicts() {
	e := r.mirror.Revision(r.wire.VerdictKind).Epoch()
	if e <= r.verdictsIn {
		return
	}
	r.verdictsIn = e
	for _, p := range r.Engine.StoredVerdicts() {
		if !r.mirror.HasObject(r.wire.VerdictKind, p.String()) {
			r.Engine.MergeRestoredVerdict(poison.Verdict{Fingerprint: p})
		}
	}
}

// storeNext stores one quarantine, if one is due. It returns the time of a failure; the zero time if
// there was none.
func (r *Router) storeNext(ctx context.Context) (failedAt time.Time) {
	v := r.Engine.Unstored(verdictRankDelay)
	if v == nil {
		return time.Time{}
	}
	if err := r.storeVerdict(ctx, *v); err != nil {
		r.Log.Warn("router: A quarantine could not be stored.", zap.Stringer("fingerprint", v.Fingerprint), zap.Int("round", v.Round), logs.Err(err))
		return time.Now()
	}
	return time.Time{}
}

// storeVerdict stores a quarantine, or removes it from the store if it was lifted or has expired.
func (r *Router) storeVerdict(ctx context.Context, v poison.Verdict) error {
	if !v.InForce() {
		if err := r.wire.RemoveVerdict(ctx, v.Fingerprint); err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		r.Engine.SetStoredRound(v.Fingerprint, 0)
		return nil
	}
	stored, err := r.wire.WriteVerdict(ctx, v, time.Now())
	if err == nil {
		r.Engine.MergeStoredVerdict(stored)
	}
	return err
}
