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

// ErrHistoryGone says that the store no longer has the changes that were asked for.
const ErrHistoryGone fault.Const = "mirror: the history is gone"

// Source is where objects are read. Its functions are seams.
type Source struct {
	// Page returns the objects of a kind that come after a name, or the first ones, with
	// the store's revision, and whether there are more.
	Page func(ctx context.Context, kind, after string) (Page, error)
	// Watch returns the changes after a revision and the revision they lead
	// to, as soon as there are any, or none at the time until. The error is
	// ErrHistoryGone if they are not known any more.
	Watch func(ctx context.Context, kind string, since int64, until time.Time) ([]Change, int64, error)
}

// Page is a part of a list.
type Page struct {
	Objects  []Object
	Revision int64
	More     bool
}

// Follower keeps the copy of one kind in step with the store. Its fields are set
// before Run.
type Follower struct {
	Log    *zap.Logger
	Source Source
	Mirror *Mirror
	Kind   string
	// WatchTimeout is how long one watch waits.
	WatchTimeout config.Span
	// BatchDelay is how long it rests after a change, so that changes that come
	// together cost one call.
	BatchDelay config.Span
	// AwaitTurn returns when the store should be asked, and false if ctx was done
	// first; nil for always.
	AwaitTurn func(ctx context.Context) bool
	// RetrySlowly reports whether others try a store that is lost more often than this
	// router and will tell it of its return; nil for no.
	RetrySlowly func() bool

	// pages holds the pages of a list that were pages so far, and at when the first was
	// asked for: a page that fails is asked for again, not the whole list.
	pages    []Page
	listedAt time.Time
	// relist says that the history was lost, so that all is read relist.
	relist bool
	// resumed says that others asked the store until now.
	resumed bool
	// lostSince is when the store was heard of last before it was lost; zero while
	// it answers.
	lostSince time.Time
	// lapsesAt is when entries that lapsed in the last outage count as gone.
	lapsesAt time.Time
	failures int
}

const (
	// callTimeout bounds a call beyond the time that it waits on purpose. The
	// users' slow store takes up to 0.4 s an answer.
	callTimeout = 1500 * time.Millisecond
	// minOutage is how long the store must be away for entries to lapse;
	// they are removed after three missed heartbeats of about a second.
	minOutage = time.Second
	// lapseGrace is how long after an outage lapsed entries are waited for.
	lapseGrace = config.Span(2 * time.Second)
	// minBackoff and pauseMost bound the pauses between failed calls, which
	// double.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// minSlowBackoff and patientMost do so where others try more often: each call is priced
	// also while the store is down, and the others' word takes less than half a second.
	minSlowBackoff = 400 * time.Millisecond
	maxSlowBackoff = 4 * time.Second
	// pageTTL is how long pages that were read are kept: the history that brings them up
	// to date goes back 20 s on the users' stores, and may be shorter.
	pageTTL = 10 * time.Second
)

// Run follows until ctx is done.
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
			f.Log.Info("mirror: The history is gone; all is read again.", zap.String("kind", f.Kind), zap.Int64("revision", f.Mirror.Revision(f.Kind)))
			f.relist = true
		default:
			f.recordFailure(lastSuccess, err)
			tasks.Pause(ctx, time.Now().Add(f.backoff()))
		}
	}
	return nil
}

// step makes one call.
func (f *Follower) step(ctx context.Context, sent time.Time) error {
	since := f.Mirror.Revision(f.Kind)
	if since < 0 || f.relist {
		return f.list(ctx, sent)
	}
	until := f.WatchTimeout.After(sent)
	if !f.lostSince.IsZero() || f.resumed {
		// Word that the store is back should not wait for a change, nor the proof that others
		// wait for where the one that asked the store before is gone.
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

// list reads the pages of a kind that are left. What changes meanwhile comes again with the
// first watch, as the revision is the first page's.
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
			// A peer was quicker.
			f.pages = nil
			return nil
		}
	}
	f.updateLapse(time.Now())
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

// nextPage reads the next nextPage.
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

// updateLapse sets when lapsed entries count as gone, on the first answer after an
// outage.
func (f *Follower) updateLapse(now time.Time) {
	if !f.lostSince.IsZero() && now.Sub(f.lostSince) >= minOutage {
		f.lapsesAt = lapseGrace.After(now)
	}
}

// recordFailure notes a failed call.
func (f *Follower) recordFailure(lastSuccess time.Time, err error) {
	f.failures++
	if f.lostSince.IsZero() {
		f.lostSince = lastSuccess
		f.Log.Warn("mirror: The store was lost.", zap.String("kind", f.Kind), zap.Int64("revision", f.Mirror.Revision(f.Kind)), logs.Err(err))
	}
}

// recordSuccess notes an answer.
func (f *Follower) recordSuccess(now time.Time) {
	if !f.lostSince.IsZero() {
		f.Log.Info("mirror: The store is back.", zap.String("kind", f.Kind), zap.Int64("revision", f.Mirror.Revision(f.Kind)),
			zap.Int("failures", f.failures), zap.Duration("away", now.Sub(f.lostSince)))
	}
	f.lostSince, f.failures = time.Time{}, 0
}

// backoff returns the backoff after a failed call.
func (f *Follower) backoff() time.Duration {
	d := min(maxBackoff, minBackoff<<min(f.failures, 8))
	if f.RetrySlowly != nil && f.RetrySlowly() {
		d = min(maxSlowBackoff, minSlowBackoff<<min(f.failures, 8))
	}
	return d/2 + time.Duration(rand.Int64N(int64(d)))/2
}
