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

	// read holds the pages of a list that were read so far, and at when the first was
	// asked for: a page that fails is asked for again, not the whole list.
	read []Page
	at   time.Time
	// again says that the history was lost, so that all is read again.
	again bool
	// begins says that others asked the store until now.
	begins bool
	// lostAt is when the store was heard of last before it was lost; zero while
	// it answers.
	lostAt time.Time
	// lapsesAt is when entries that lapsed in the last outage count as gone.
	lapsesAt time.Time
	failures int
}

const (
	// callWithin bounds a call beyond the time that it waits on purpose. The
	// users' slow store takes up to 0.4 s an answer.
	callWithin = 1500 * time.Millisecond
	// outageLeast is how long the store must be away for entries to lapse;
	// they are removed after three missed heartbeats of about a second.
	outageLeast = time.Second
	// lapseGrace is how long after an outage lapsed entries are waited for.
	lapseGrace = config.Span(2 * time.Second)
	// pauseFirst and pauseMost bound the pauses between failed calls, which
	// double.
	pauseFirst = 50 * time.Millisecond
	pauseMost  = 800 * time.Millisecond
	// patientFirst and patientMost do so where others try more often: each call is priced
	// also while the store is down, and the others' word takes less than half a second.
	patientFirst = 400 * time.Millisecond
	patientMost  = 4 * time.Second
	// pagesFor is how long pages that were read are kept: the history that brings them up
	// to date goes back 20 s on the users' stores, and may be shorter.
	pagesFor = 10 * time.Second
)

// Run follows until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	heard := time.Now()
	for ctx.Err() == nil {
		if f.AwaitTurn != nil {
			before := time.Now()
			if !f.AwaitTurn(ctx) {
				return nil
			}
			if time.Since(before) > outageLeast {
				heard, f.begins = time.Now(), true
			}
		}
		sent := time.Now()
		err := f.step(ctx, sent)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil:
			f.back(sent)
			heard = time.Now()
		case errors.Is(err, ErrHistoryGone):
			f.Log.Info("mirror: The history is gone; all is read again.", zap.String("kind", f.Kind), zap.Int64("revision", f.Mirror.Revision(f.Kind)))
			f.again = true
		default:
			f.lost(heard, err)
			tasks.Pause(ctx, time.Now().Add(f.pause()))
		}
	}
	return nil
}

// step makes one call.
func (f *Follower) step(ctx context.Context, sent time.Time) error {
	since := f.Mirror.Revision(f.Kind)
	if since < 0 || f.again {
		return f.list(ctx, sent)
	}
	until := f.WatchTimeout.After(sent)
	if !f.lostAt.IsZero() || f.begins {
		// Word that the store is back should not wait for a change, nor the proof that others
		// wait for where the one that asked the store before is gone.
		until = sent
	}
	ctx, cancel := context.WithDeadline(ctx, until.Add(callWithin))
	defer cancel()
	changes, revision, err := f.Source.Watch(ctx, f.Kind, since, until)
	if err != nil {
		return err
	}
	f.begins = false
	f.returned(time.Now())
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
	if f.read == nil || sent.Sub(f.at) > pagesFor {
		f.read, f.at = nil, sent
	}
	for {
		page, err := f.page(ctx)
		if err != nil {
			return err
		}
		f.read = append(f.read, page)
		if !page.More || len(page.Objects) == 0 {
			break
		}
		if !f.again && f.Mirror.Revision(f.Kind) >= 0 {
			// A peer was quicker.
			f.read = nil
			return nil
		}
	}
	f.returned(time.Now())
	var objects []Object
	for _, p := range f.read {
		objects = append(objects, p.Objects...)
	}
	f.Mirror.Replace(f.Kind, objects, f.read[0].Revision, f.at, f.lapsesAt)
	f.Log.Info("mirror: All of a kind was read.", zap.String("kind", f.Kind), zap.Int64("revision", f.read[0].Revision), zap.Int("objects", len(objects)),
		zap.Int("pages", len(f.read)), zap.Bool("historyLost", f.again), zap.Int64("tookMs", time.Since(f.at).Milliseconds()))
	f.again, f.read = false, nil
	return nil
}

// page reads the next page.
func (f *Follower) page(ctx context.Context) (Page, error) {
	after := ""
	if n := len(f.read); n > 0 {
		last := f.read[n-1].Objects
		after = last[len(last)-1].Name
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(callWithin))
	defer cancel()
	return f.Source.Page(ctx, f.Kind, after)
}

// returned sets when lapsed entries count as gone, on the first answer after an
// outage.
func (f *Follower) returned(now time.Time) {
	if !f.lostAt.IsZero() && now.Sub(f.lostAt) >= outageLeast {
		f.lapsesAt = lapseGrace.After(now)
	}
}

// lost notes a failed call.
func (f *Follower) lost(heard time.Time, err error) {
	f.failures++
	if f.lostAt.IsZero() {
		f.lostAt = heard
		f.Log.Warn("mirror: The store was lost.", zap.String("kind", f.Kind), zap.Int64("revision", f.Mirror.Revision(f.Kind)), logs.Err(err))
	}
}

// back notes an answer.
func (f *Follower) back(now time.Time) {
	if !f.lostAt.IsZero() {
		f.Log.Info("mirror: The store is back.", zap.String("kind", f.Kind), zap.Int64("revision", f.Mirror.Revision(f.Kind)),
			zap.Int("failures", f.failures), zap.Duration("away", now.Sub(f.lostAt)))
	}
	f.lostAt, f.failures = time.Time{}, 0
}

// pause returns the pause after a failed call.
func (f *Follower) pause() time.Duration {
	d := min(pauseMost, pauseFirst<<min(f.failures, 8))
	if f.RetrySlowly != nil && f.RetrySlowly() {
		d = min(patientMost, patientFirst<<min(f.failures, 8))
	}
	return d/2 + time.Duration(rand.Int64N(int64(d)))/2
}
