// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package mirror

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/epoch"
)

// watchCalls holds the calls of one watch. If the answer is overdue, or another follower has found its connection
// silent, a second call is made on a new connection, which the store does not hold, and the first answer is used: a
// connection may go silent without the store being away.
type watchCalls struct {
	f     *Follower
	since epoch.Revision
	// due is the time until which the store may hold the first call.
	due     time.Time
	answers chan answer
	// pending is the number of calls that are under way, at most maxWatchCalls.
	pending int
	// overdue is set secondCallDelay after due.
	overdue bool
}

// answer is the result of a call.
type answer struct {
	changes  []Change
	revision epoch.Revision
	err      error
	// second is set for the second call.
	second bool
}

const (
	// maxWatchCalls is the maximum number of calls of a watch that are under way.
	maxWatchCalls = 2
	// secondCallDelay is how long an answer may be overdue before a second call is made. Usual answers take some
	// milliseconds.
	secondCallDelay = 250 * time.Millisecond
)

// run makes the calls and returns the answer with which the watch ends. It ends early if an epoch after that of since is observed
// meanwhile: the store may not answer any more, and changes since a revision are known within its epoch only.
func (w *watchCalls) run(ctx context.Context) answer {
	epochBegun, suspected := w.f.Mirror.epochAfter(w.since.Epoch()), w.f.Mirror.connectionsSuspected()
	timer := time.NewTimer(time.Until(w.due.Add(secondCallDelay)))
	defer timer.Stop()
	overdue := timer.C
	if !w.f.lostSince.IsZero() {
		// The first call is a retry on a new connection.
		overdue, suspected = nil, nil
	}
	w.start(ctx, false, w.due)
	for {
		select {
		case <-ctx.Done():
			return answer{revision: epoch.None, err: ctx.Err()}
		case <-epochBegun:
			return answer{revision: epoch.None, err: ErrHistoryGone}
		case <-overdue:
			w.overdue = true
			w.startSecond(ctx)
		case <-suspected:
			suspected = nil
			w.startSecond(ctx)
		case a := <-w.answers:
			w.pending--
			if w.isFinal(a) {
				return a
			}
		}
	}
}

// start starts a call.
func (w *watchCalls) start(ctx context.Context, second bool, until time.Time) {
	w.pending++
	go func() { w.answers <- w.call(ctx, second, until) }()
}

// startSecond starts the second call, unless it is under way.
func (w *watchCalls) startSecond(ctx context.Context) {
	if w.pending < maxWatchCalls {
		w.f.reconnect()
		w.start(ctx, true, time.Now())
	}
}

// isFinal reports whether the watch ends with an answer. An error does not end it while the other call may still be
// answered in time.
func (w *watchCalls) isFinal(a answer) bool {
	if a.err != nil {
		return w.pending == 0 || a.second && w.overdue
	}
	if a.second && w.overdue {
		w.f.Log.Warn("mirror: A connection to the store has gone silent; a new one was answered.", zap.String("kind", w.f.Kind), zap.Time("answerDue", w.due))
		w.f.Mirror.SuspectConnections()
	}
	return true
}

// wait waits for the end of the calls that are under way.
func (w *watchCalls) wait() {
	for ; w.pending > 0; w.pending-- {
		<-w.answers
	}
}

// call makes one call and records whether the store answered it in time.
func (w *watchCalls) call(ctx context.Context, second bool, until time.Time) (a answer) {
	ctx, cancel := context.WithDeadline(ctx, until.Add(callTimeout))
	defer cancel()
	a.second = second
	a.changes, a.revision, a.err = w.f.Source.Watch(ctx, w.f.Kind, w.since, until)
	if a.err != nil && !errors.Is(a.err, ErrHistoryGone) {
		return a
	}
	ended := time.Now()
	if isNew := second || !w.f.lostSince.IsZero(); isNew && ended.Sub(until) > maxAnswerTime {
		// The store may have been away until shortly before the answer.
		w.f.Mirror.RecordNoAnswer(until.Add(maxAnswerTime))
	}
	w.f.Mirror.RecordAnswer(ended)
	return a
}
