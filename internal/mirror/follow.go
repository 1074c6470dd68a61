// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

// ErrHistoryGone means that the store no longer has the changes after the requested revision, so
// that the kind must be listed again.
const ErrHistoryGone fault.Const = "mirror: the history is gone"

// Source makes the calls to the store. Tests replace its functions.
type Source struct {
	// Page returns a page of the objects of a kind in the order of their names: those after the
	// given name, or the first ones for the empty name.
	Page func(ctx context.Context, kind, after string) (Page, error)
	// Watch waits for changes of a kind after the revision since, and returns them with the revision
	// that includes them. It returns no changes at the time until. The error is ErrHistoryGone if
	// the store no longer has the changes after since.
	Watch func(ctx context.Context, kind string, since int64, until time.Time) ([]Change, int64, error)
}

// Page is a page of a list.
type Page struct {
	Objects []Object
	// Revision is the store's revision at which the page was read.
	Revision int64
	// More is set if there are objects after the last one of the page.
	More bool
}

// Follower keeps the copy of one kind current from the store. Its exported fields must be set before
// Run.
type Follower struct {
	Log    *zap.Logger
	Source Source
	Mirror *Mirror
	Kind   string
	// WatchTimeout is how long the store holds a watch without changes before it answers.
	WatchTimeout config.Span
	// BatchDelay is the pause after a watch that returned changes, so that one call returns all the
	// changes that follow within it.
	BatchDelay config.Span
	// AwaitTurn blocks until this process should call the store for the kind. It returns false if
	// ctx was done first. nil means that the store may be called at any time.
	AwaitTurn func(ctx context.Context) bool
	// RetrySlowly reports whether other routers retry an unreachable store more often than this one
	// and will notify it once the store is back. Retries then use the longer backoff. nil means no.
	RetrySlowly func() bool

	// pages holds the pages of an unfinished list, and listedAt is when the first one was requested.
	// After a failed call only the next page is requested again, not the whole list.
	pages    []Page
	listedAt time.Time
	// relist is set if the store no longer has the history, so that the kind must be listed again.
	relist bool
	// resumed is set if other routers called the store until now.
	resumed bool
	// lostSince is the time of the last answer before the store was lost; zero while it answers.
	lostSince time.Time
	// lapsesAt is when removals of entries that lapsed during the last outage take effect.
	lapsesAt time.Time
	// failures counts the failed calls since the last successful one.
	failures int
}

const (
	// callTimeout bounds a call, beyond the time that a watch may wait. A slow store takes up to
	// 0.4 s to answer.
	callTimeout = 1500 * time.Millisecond
	// minOutage is the shortest outage in which entries may lapse. The store removes an entry after
	// three missed heartbeats, which are sent about once a second.
	minOutage = time.Second
	// lapseGrace is how long after an outage the entries that lapsed in it are kept, as their owners
	// may register them again.
	lapseGrace = config.Span(2 * time.Second)
	// minBackoff and maxBackoff bound the pause after a failed call, which doubles with each failure.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// minSlowBackoff and maxSlowBackoff replace them if RetrySlowly reports true: each call costs
	// money, also while the store is down, and the notification by the other routers takes less
	// than half a second.
	minSlowBackoff = 400 * time.Millisecond
	maxSlowBackoff = 4 * time.Second
	// pageTTL is how long the pages of an unfinished list are kept. The changes since the first page
	// have to be in the store's history once the list is complete. Stores keep the history for 20 s,
	// some possibly for less.
	pageTTL = 10 * time.Second
)

// Run updates the copy until ctx is done. It always returns nil.
func (f *Follower) Run(ctx context.Context) error {
	lastSuccess := time.Now()
	for ctx.Err() == nil {
		if f.AwaitTurn != nil {
			before := time.Now()
			if !f.AwaitTurn(ctx) {
				return nil
			}
			if time.Since(before) > minOutage {
				lastSuccess, f.resumed = time.Now(), true
			}
		}
		sent := time.Now()
		err := f.step(ctx, sent)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil:
			f.recordSuccess(sent)
			lastSuccess = time.Now()
		case errors.Is(err, ErrHistoryGone):
			f.Log.Info("mirror: The store no longer has the changes since this revision; listing all objects again.", zap.String("kind", f.Kind), zap.Int64("revision", f.Mirror.Revision(f.Kind)))
			f.relist = true
		default:
			f.recordFailure(lastSuccess, err)
			tasks.Pause(ctx, time.Now().Add(f.backoff()))
		}
	}
	return nil
}

// step lists the kind, or makes one watch call if the copy has a revision. sent is the present time.
func (f *Follower) step(ctx context.Context, sent time.Time) error {
	since := f.Mirror.Revision(f.Kind)
	if since < 0 || f.relist {
		return f.list(ctx, sent)
	}
	until := f.WatchTimeout.After(sent)
	if !f.lostSince.IsZero() || f.resumed {
		// The store answers this watch at once, without waiting for a change. So the end of an outage
		// is detected early, and so is a copy confirmed early if the router that called the store
		// before is gone and other routers wait for a confirmation.
		until = sent
	}
	ctx, cancel := context.WithDeadline(ctx, until.Add(callTimeout))
	defer cancel()
	changes, revision, err := f.Source.Watch(ctx, f.Kind, since, until)
	if err != nil {
		return err
	}
	f.resumed = false
	f.updateLapse(time.Now())
	for i := range changes {
		changes[i].LapsesAt = f.lapsesAt
	}
	f.Mirror.Apply(f.Kind, changes, revision, sent)
	if len(changes) > 0 && f.BatchDelay > 0 {
		tasks.Pause(ctx, f.BatchDelay.After(time.Now()))
	}
	return nil
}

// list reads the remaining pages of the kind and replaces the copy. The copy gets the revision of
// the first page, so that the first watch returns all changes made while the pages were read.
func (f *Follower) list(ctx context.Context, sent time.Time) error {
	if f.pages == nil || sent.Sub(f.listedAt) > pageTTL {
		f.pages, f.listedAt = nil, sent
	}
	for {
		page, err := f.nextPage(ctx)
		if err != nil {
			return err
		}
		f.pages = append(f.pages, page)
		if !page.More || len(page.Objects) == 0 {
			break
		}
		if !f.relist && f.Mirror.Revision(f.Kind) >= 0 {
			// A peer has supplied the list in the meantime.
			f.pages = nil
			return nil
		}
	}
	f.updateLapse(time.Now())
	if had := f.Mirror.Revision(f.Kind); f.pages[0].Revision < had {
		f.Log.Warn("mirror: A list is older than the copy and was dropped.", zap.String("kind", f.Kind), zap.Int64("revision", f.pages[0].Revision), zap.Int64("copy", had))
	}
	var objects []Object
	for _, p := range f.pages {
		objects = append(objects, p.Objects...)
	}
	f.Mirror.Replace(f.Kind, objects, f.pages[0].Revision, f.listedAt, f.lapsesAt)
	f.Log.Info("mirror: All of a kind was read.", zap.String("kind", f.Kind), zap.Int64("revision", f.pages[0].Revision), zap.Int("objects", len(objects)),
		zap.Int("pages", len(f.pages)), zap.Bool("historyLost", f.relist), zap.Int64("tookMs", time.Since(f.listedAt).Milliseconds()))
	f.relist, f.pages = false, nil
	return nil
}

// nextPage reads the page after those in pages.
func (f *Follower) nextPage(ctx context.Context) (Page, error) {
	after := ""
	if n := len(f.pages); n > 0 {
		last := f.pages[n-1].Objects
		after = last[len(last)-1].Name
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(callTimeout))
	defer cancel()
	return f.Source.Page(ctx, f.Kind, after)
}

// updateLapse sets lapsesAt on the first answer after an outage of at least minOutage.
func (f *Follower) updateLapse(now time.Time) {
	if !f.lostSince.IsZero() && now.Sub(f.lostSince) >= minOutage {
		f.lapsesAt = lapseGrace.After(now)
	}
}

// recordFailure counts a failed call. lastSuccess is the time of the last answer.
func (f *Follower) recordFailure(lastSuccess time.Time, err error) {
	f.failures++
	if f.lostSince.IsZero() {
		f.lostSince = lastSuccess
		f.Log.Warn("mirror: The store was lost.", zap.String("kind", f.Kind), zap.Int64("revision", f.Mirror.Revision(f.Kind)), logs.Err(err))
	}
}

// recordSuccess ends an outage, if there is one, with a call that was sent at now and answered.
func (f *Follower) recordSuccess(now time.Time) {
	if !f.lostSince.IsZero() {
		f.Log.Info("mirror: The store is back.", zap.String("kind", f.Kind), zap.Int64("revision", f.Mirror.Revision(f.Kind)),
			zap.Int("failures", f.failures), zap.Duration("away", now.Sub(f.lostSince)))
	}
	f.lostSince, f.failures = time.Time{}, 0
}

// backoff returns the pause after a failed call. It is a random time between half the current backoff
// and the whole, so that routers do not retry at the same time.
func (f *Follower) backoff() time.Duration {
	d := min(maxBackoff, minBackoff<<min(f.failures, 8))
	if f.RetrySlowly != nil && f.RetrySlowly() {
		d = min(maxSlowBackoff, minSlowBackoff<<min(f.failures, 8))
	}
	return d/2 + time.Duration(rand.Int64N(int64(d)))/2
}
