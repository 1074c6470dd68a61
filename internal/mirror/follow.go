// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package mirror

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/epoch"
	"github.com/traildrift/traildrift/pkg/fault"
)

// ErrHistoryGone means that the store no longer has the changes after the requested revision, or is in a
// later epoch, so that the kind must be listed again.
const ErrHistoryGone fault.Const = "mirror: the history is gone"

// errOutdated means that an answer of the store is older than what is known: it is of an earlier epoch, or
// a list of a lower revision than the copy.
const errOutdated fault.Const = "mirror: the answer is older than the copy"

// Source makes the calls to the store. Tests replace its functions.
type Source struct {
	// Page returns a page of the objects of a kind in the order of their names: those after the
	// given name, or the first ones for the empty name.
	Page func(ctx context.Context, kind, after string) (Page, error)
	// Watch waits for changes of a kind after the revision since, and returns them with the revision
	// that includes them. It returns no changes at the time until. The error is ErrHistoryGone if
	// the store no longer has the changes after since.
	Watch func(ctx context.Context, kind string, since epoch.Revision, until time.Time) ([]Change, epoch.Revision, error)
	// Reconnect closes the idle connections, so that the next call opens one. nil means that there are none.
	Reconnect func()
}

// Page is a page of a list.
type Page struct {
	Objects []Object
	// Revision is the store's revision at which the page was read.
	Revision epoch.Revision
	// More is set if there are objects after the last one of the page.
	More bool
	// Last is the name of the last object of the page; empty for that of the last one in Objects.
	Last string
}

// last returns the name of the last object of the page; empty if there is none.
func (p *Page) last() string {
	if n := len(p.Objects); p.Last == "" && n > 0 {
		return p.Objects[n-1].Name
	}
	return p.Last
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
	// AskPeers asks other routers when the store answered them, and records their answers in Mirror. nil means that
	// there are no others.
	AskPeers func(ctx context.Context)

	// pages holds the pages of an unfinished list, and listedAt is when the first one was requested.
	// After a failed call only the next page is requested again, not the whole list.
	pages    []Page
	listedAt time.Time
	// relist is set if the store no longer has the history, or has begun a new epoch, so that the kind
	// must be listed again.
	relist bool
	// resumed is set if other routers called the store until now.
	resumed bool
	// lostSince is the time of the last answer before this follower lost the store; zero while it answers, and
	// while other routers call it.
	lostSince time.Time
	// failures counts the failed calls since the last successful one.
	failures int
}

const (
	// callTimeout bounds a call, beyond the time that a watch may wait. A slow store takes up to
	// 0.4 s to answer.
	callTimeout = 1500 * time.Millisecond
	// minRelief is how long other routers must have called the store for this follower to forget its own failed calls.
	minRelief = time.Second
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
			if time.Since(before) > minRelief {
				// Calls that failed before the pause say nothing about the store now.
				lastSuccess, f.resumed = time.Now(), true
				f.lostSince, f.failures = time.Time{}, 0
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
			f.Log.Info("mirror: The store no longer has the changes since this revision; listing all objects again.", zap.String("kind", f.Kind), zap.Stringer("revision", f.Mirror.Revision(f.Kind)), zap.Int64("epoch", f.Mirror.Epoch()))
			f.relist = true
		case errors.Is(err, errOutdated):
			f.Log.Warn("mirror: An answer of the store is older than the copy and was dropped.", zap.String("kind", f.Kind), zap.Stringer("revision", f.Mirror.Revision(f.Kind)), zap.Int64("epoch", f.Mirror.Epoch()), logs.Err(err))
			f.failures++
			tasks.Pause(ctx, time.Now().Add(f.backoff()))
		default:
			f.recordFailure(lastSuccess, err)
			// The pause ends early if the store answers another follower.
			f.Mirror.awaitAnswer(ctx, time.Now().Add(f.backoff()))
		}
	}
	return nil
}

// step lists the kind, or makes one watch call if the copy has a revision of the newest epoch. sent is the
// present time.
func (f *Follower) step(ctx context.Context, sent time.Time) error {
	since := f.Mirror.Revision(f.Kind)
	if since < 0 || f.relist {
		return f.list(ctx, sent)
	}
	if since.Epoch() < f.Mirror.Epoch() {
		return ErrHistoryGone
	}
	until := f.WatchTimeout.After(sent)
	if !f.lostSince.IsZero() || f.resumed {
		// The store answers this watch at once, without waiting for a change. So the end of an outage
		// is detected early, and so is a copy confirmed early if the router that called the store
		// before is gone and other routers wait for a confirmation.
		until = sent
	}
	changes, revision, err := f.watch(ctx, since, until)
	if err != nil {
		return err
	}
	f.resumed = false
	f.delayRemovals(ctx, changes)
	f.Mirror.Apply(f.Kind, changes, revision, sent)
	if len(changes) > 0 && f.BatchDelay > 0 {
		tasks.Pause(ctx, f.BatchDelay.After(time.Now()))
	}
	return nil
}

// watch waits for changes of the kind after a revision; see Source.Watch. It makes the calls of watchCalls.
func (f *Follower) watch(ctx context.Context, since epoch.Revision, until time.Time) ([]Change, epoch.Revision, error) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watchCalls{f: f, since: since, due: until, answers: make(chan answer, maxWatchCalls)}
	a := w.run(ctx)
	cancel()
	w.wait()
	if a.err == nil {
		f.Mirror.ObserveEpoch(a.revision.Epoch())
	}
	switch newest := f.Mirror.Epoch(); {
	case newest > since.Epoch():
		return nil, a.revision, ErrHistoryGone
	case a.err == nil && a.revision.Epoch() < newest:
		return nil, a.revision, errors.Wrapf(errOutdated, "revision %v", a.revision)
	}
	return a.changes, a.revision, a.err
}

// reconnect lets the next call open a connection, instead of one that may be silent.
func (f *Follower) reconnect() {
	if f.Source.Reconnect != nil {
		f.Source.Reconnect()
	}
}

// list reads the remaining pages of the kind and replaces the copy.
func (f *Follower) list(ctx context.Context, sent time.Time) error {
	if f.pages == nil || sent.Sub(f.listedAt) > pageTTL {
		f.pages, f.listedAt = nil, sent
	}
	for {
		last, err := f.readPage(ctx)
		if err != nil {
			return err
		}
		if last {
			return f.replace(ctx)
		}
		if !f.relist && f.Mirror.Revision(f.Kind) >= 0 {
			// A peer has supplied the list in the meantime.
			f.pages = nil
			return nil
		}
	}
}

// readPage adds the next page to pages, and reports whether it is the last one. The pages are read anew if the
// store begins a new epoch between them.
func (f *Follower) readPage(ctx context.Context) (last bool, err error) {
	asked := time.Now()
	page, err := f.nextPage(ctx)
	if err != nil {
		return false, err
	}
	f.Mirror.RecordAnswer(time.Now())
	f.Mirror.ObserveEpoch(page.Revision.Epoch())
	if page.Revision.Epoch() < f.Mirror.Epoch() {
		f.pages = nil
		return false, errors.Wrapf(errOutdated, "revision %v", page.Revision)
	}
	if len(f.pages) > 0 && page.Revision.Epoch() != f.pages[0].Revision.Epoch() {
		f.pages, f.listedAt = nil, asked
		return false, nil
	}
	f.pages = append(f.pages, page)
	return !page.More || page.last() == "", nil
}

// replace replaces the copy by the list in pages. The copy gets the revision of the first page, so that the first
// watch returns all changes made while the pages were read.
func (f *Follower) replace(ctx context.Context) error {
	var objects []Object
	for _, p := range f.pages {
		objects = append(objects, p.Objects...)
	}
	revision, had := f.pages[0].Revision, f.Mirror.Revision(f.Kind)
	pages, historyLost := len(f.pages), f.relist
	var lapsesAt time.Time
	if had >= 0 {
		lapsesAt = f.lapseTime(ctx)
	}
	applied := f.Mirror.Replace(f.Kind, objects, revision, f.listedAt, lapsesAt)
	f.relist, f.pages = false, nil
	if !applied {
		// A peer may have sent a later state meanwhile.
		return errors.Wrapf(errOutdated, "revision %v", revision)
	}
	f.Log.Info("mirror: All of a kind was read.", zap.String("kind", f.Kind), zap.Stringer("revision", revision), zap.Int("objects", len(objects)),
		zap.Int("pages", pages), zap.Bool("historyLost", historyLost), zap.Int64("tookMs", time.Since(f.listedAt).Milliseconds()))
	if had >= 0 && revision.Epoch() > had.Epoch() {
		f.Log.Warn("mirror: The store has come back from an older copy.", zap.String("kind", f.Kind), zap.Stringer("revision", revision), zap.Stringer("copy", had))
	}
	return nil
}

// nextPage reads the page after those in pages.
func (f *Follower) nextPage(ctx context.Context) (Page, error) {
	after := ""
	if n := len(f.pages); n > 0 {
		after = f.pages[n-1].last()
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(callTimeout))
	defer cancel()
	return f.Source.Page(ctx, f.Kind, after)
}

// lapseTime returns when removals that were just read from the store take effect. Before calls without an answer are
// taken for an outage of the store, other routers are asked, as this one may have lost the store alone.
func (f *Follower) lapseTime(ctx context.Context) time.Time {
	at := f.Mirror.LapsesAt(time.Now())
	if at.IsZero() || f.AskPeers == nil {
		return at
	}
	f.AskPeers(ctx)
	return f.Mirror.LapsesAt(time.Now())
}

// delayRemovals sets when the removals among changes that were just read from the store take effect.
func (f *Follower) delayRemovals(ctx context.Context, changes []Change) {
	if !slices.ContainsFunc(changes, func(c Change) bool { return c.Removed }) {
		return
	}
	at := f.lapseTime(ctx)
	if at.IsZero() {
		return
	}
	for i := range changes {
		changes[i].LapsesAt = at
	}
	f.Log.Info("mirror: Removals take effect later, as the entries may have lapsed while the store was away.", zap.String("kind", f.Kind),
		zap.Int("changes", len(changes)), zap.Time("lapsesAt", at))
}

// recordFailure counts a failed call. lastSuccess is the time of the last answer.
func (f *Follower) recordFailure(lastSuccess time.Time, err error) {
	f.failures++
	f.Mirror.RecordNoAnswer(time.Now())
	f.reconnect()
	if f.lostSince.IsZero() {
		f.lostSince = lastSuccess
		f.Log.Warn("mirror: The store was lost.", zap.String("kind", f.Kind), zap.Stringer("revision", f.Mirror.Revision(f.Kind)), logs.Err(err))
	}
}

// recordSuccess ends an outage, if there is one, with a call that was sent at now and answered.
func (f *Follower) recordSuccess(now time.Time) {
	if !f.lostSince.IsZero() {
		f.Log.Info("mirror: The store is back.", zap.String("kind", f.Kind), zap.Stringer("revision", f.Mirror.Revision(f.Kind)),
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
