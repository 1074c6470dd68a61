// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package follow

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

// ErrHistory says that the store no longer has the changes that were asked for.
const ErrHistory fault.Const = "follow: the history is gone"

// Object is one stored object.
type Object struct {
	Name     string
	Revision int64
	// Spec is what its writer wants, Status what came of it.
	Spec, Status json.RawMessage
}

// Change is a change of an object; of one that is gone only name and revision
// count.
type Change struct {
	Object
	Gone bool
}

// Source is where objects are read. Its functions are seams.
type Source struct {
	// List returns all objects of a kind as they were at a revision.
	List func(ctx context.Context, kind string) ([]Object, int64, error)
	// Watch returns the changes after a revision and the revision they lead
	// to, as soon as there are any, or none at the time until. The error is
	// ErrHistory if they are not known any more.
	Watch func(ctx context.Context, kind string, since int64, until time.Time) ([]Change, int64, error)
}

// Follower follows one kind. All fields but Log are set before Run; the functions
// are called by one goroutine.
type Follower struct {
	Log    *zap.Logger
	Source Source
	Kind   string
	// Wait is how long one watch waits.
	Wait config.Span
	// OnList takes over all objects. Those that are missing were removed; after
	// a time in which the store could not be read they may only have lapsed,
	// and count as gone at lapsesAt.
	OnList func(objects []Object, revision int64, lapsesAt time.Time)
	// OnChange takes over one change; lapsesAt is as for OnList.
	OnChange func(c Change, lapsesAt time.Time)
	// OnProven is told that what is known was the newest at a time; nil if
	// nobody asks.
	OnProven func(at time.Time)

	// revision is what is known; -1 before the first list.
	revision int64
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
	// LapseGrace is how long after an outage lapsed entries are waited for.
	LapseGrace = config.Span(2 * time.Second)
	// pauseFirst and pauseMost bound the pauses between failed calls, which
	// double.
	pauseFirst = 50 * time.Millisecond
	pauseMost  = 800 * time.Millisecond
)

// Run follows until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	f.revision = -1
	heard := time.Now()
	for ctx.Err() == nil {
		sent := time.Now()
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil:
			f.back(sent)
			heard = time.Now()
			if f.OnProven != nil {
				f.OnProven(sent)
			}
		case errors.Is(err, ErrHistory):
			f.Log.Info("follow: The history is gone; all is read again.", zap.String("kind", f.Kind), zap.Int64("revision", f.revision))
			f.revision = -1
		default:
			f.lost(heard, err)
			tasks.Pause(ctx, time.Now().Add(f.pause()))
		}
	}
	return nil
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	if f.revision < 0 {
		return f.list(ctx)
	}
	until := f.Wait.After(time.Now())
	ctx, cancel := context.WithDeadline(ctx, until.Add(callWithin))
	defer cancel()
	changes, revision, err := f.Source.Watch(ctx, f.Kind, f.revision, until)
	if err != nil {
		return err
	}
	f.returned(time.Now())
	for _, c := range changes {
		f.OnChange(c, f.lapsesAt)
	}
	f.revision = max(f.revision, revision)
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	objects, revision, err := f.Source.List(ctx, f.Kind)
	if err != nil {
		return err
	}
	f.returned(time.Now())
	f.OnList(objects, revision, f.lapsesAt)
	f.revision = revision
	return nil
}

// returned sets when lapsed entries count as gone, on the first answer after an
// outage.
func (f *Follower) returned(now time.Time) {
	if !f.lostAt.IsZero() && now.Sub(f.lostAt) >= outageLeast {
		f.lapsesAt = LapseGrace.After(now)
	}
}

// lost notes a failed call.
func (f *Follower) lost(heard time.Time, err error) {
	f.failures++
	if f.lostAt.IsZero() {
		f.lostAt = heard
		f.Log.Warn("follow: The store was lost.", zap.String("kind", f.Kind), zap.Int64("revision", f.revision), logs.Err(err))
	}
}

// back notes an answer.
func (f *Follower) back(now time.Time) {
	if !f.lostAt.IsZero() {
		f.Log.Info("follow: The store is back.", zap.String("kind", f.Kind), zap.Int64("revision", f.revision),
			zap.Int("failures", f.failures), zap.Duration("away", now.Sub(f.lostAt)))
	}
	f.lostAt, f.failures = time.Time{}, 0
}

// pause returns the pause after a failed call.
func (f *Follower) pause() time.Duration {
	d := min(pauseMost, pauseFirst<<min(f.failures, 8))
	return d/2 + time.Duration(rand.Int64N(int64(d)))/2
}
