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
	// verdictEvery is how often a router looks whether a verdict is to be stored: the store
	// keeps them for fleets that are killed at once.
	verdictEvery = config.Span(250 * time.Millisecond)
	// verdictStep is how long the next router in rank leaves that to the one before: a slow
	// store takes half a second. A router that is cut off from it is one of few.
	verdictStep = 800 * time.Millisecond
	// verdictAgain is how long a router waits after a call that failed, unless the store was
	// heard of sooner: each call is priced, and all are told each second meanwhile. A router
	// that starts just then reads the store at once.
	verdictAgain = config.Span(2 * time.Second)
)

// takeVerdict takes over a quarantine that was stored or removed.
func (r *Router) takeVerdict(c mirror.Change) error {
	if c.Gone {
		p, err := poison.ParseFingerprint(c.Name)
		if err == nil {
			r.Engine.DropVerdict(p)
		}
		return err
	}
	v, err := r.wire.Verdict(c.Object, time.Now())
	if err == nil {
		r.Engine.TakeVerdict(v)
	}
	return err
}

// Alone reports whether no other router hears of what this one learns but from the store.
func (r *Router) Alone() bool { return r.asker.Isolated(time.Now()) }

// storeVerdicts stores what the store lacks of quarantined requests until ctx is done.
func (r *Router) storeVerdicts(ctx context.Context) error {
	var failedAt time.Time
	for ctx.Err() == nil {
		now := time.Now()
		heard := r.mirror.Proven(r.wire.ConfigKind).After(failedAt)
		if heard || now.After(verdictAgain.After(failedAt)) {
			failedAt = r.storeNext(ctx)
		}
		tasks.Pause(ctx, verdictEvery.After(now))
	}
	return nil
}

// storeNext stores one quarantine, if one is to be, and returns when that failed; zero if it
// did not.
func (r *Router) storeNext(ctx context.Context) (failedAt time.Time) {
	v := r.Engine.Unstored(verdictStep)
	if v == nil {
		return time.Time{}
	}
	if err := r.storeVerdict(ctx, *v); err != nil {
		r.Log.Warn("router: A quarantine could not be stored.", zap.Stringer("fingerprint", v.Fingerprint), zap.Int("round", v.Round), logs.Err(err))
		return time.Now()
	}
	return time.Time{}
}

// storeVerdict stores a quarantine, or removes one that was lifted or is forgotten.
func (r *Router) storeVerdict(ctx context.Context, v poison.Verdict) error {
	if !v.InForce() {
		if err := r.wire.RemoveVerdict(ctx, v.Fingerprint); err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		r.Engine.Stored(v.Fingerprint, 0)
		return nil
	}
	standing, err := r.wire.WriteVerdict(ctx, v, time.Now())
	if err == nil {
		r.Engine.TakeVerdict(standing)
	}
	return err
}
