// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/finish"
	"github.com/traildrift/traildrift/pkg/pool"
)

const (
	// endWindow is the time over which the events of a stream are averaged: callers notice pauses from about a
	// second on, and an engine reads a part of a prompt in some hundred milliseconds.
	endWindow = 250 * time.Millisecond
	// minMoveAge is how long a stream must have run before it may be moved: bursts of prompts take an endpoint
	// about a second to read, and pass.
	minMoveAge = time.Second
	// minStuckProb is the probability of not ending at the present endpoint from which on a stream is moved, and
	// maxMovedProb the largest one at the new endpoint. In between, a move would cost the reading of the prompt
	// and an attempt for a result that is as uncertain.
	minStuckProb, maxMovedProb = 0.7, 0.2
	// safeMovedProb is the probability of not ending elsewhere if the stream is moved only after half of the time
	// left. Up to this value the stream stays for now: slowness may pass, and a complete answer earns as much at
	// the deadline as before.
	safeMovedProb = 0.05
	// minCutEvents is the number of events from which on the mean time between them is learned from a stream that
	// did not end.
	minCutEvents = 4
	// headSpread is how many times the expected time the head of a moved stream may take: the time is
	// about uniform from 0 to twice the expected.
	headSpread = 2
)

// errMoved ends an attempt whose stream is moved to another endpoint. outcomeMoved is the outcome of that attempt.
var errMoved = errors.New("relay: the stream is moved to another endpoint")

const outcomeMoved = "moved"

// endRecord is the prediction for the end of an attempt's stream, made at its head, and what came of it. All
// times are from sending.
type endRecord struct {
	// predicted says that there was a prediction: the median and the interval.
	predicted         bool
	median, low, high time.Duration
	// took is the time of the last event; 0 if there was none.
	took  time.Duration
	hint  int
	moved bool
}

// fields returns the log fields; none without a prediction, unless the stream was moved.
func (d *endRecord) fields() []zap.Field {
	var f []zap.Field
	if d.predicted {
		f = append(f, zap.Int64("endMs", d.median.Milliseconds()), zap.Int64("endLowMs", d.low.Milliseconds()),
			zap.Int64("endHighMs", d.high.Milliseconds()), zap.Int64("tookMs", d.took.Milliseconds()), zap.Int("hint", d.hint))
	}
	if d.moved {
		f = append(f, zap.Bool("moved", true))
	}
	return f
}

// endWatch follows the events of one attempt's stream. A nil endWatch does nothing.
type endWatch struct {
	x *run
	a *Attempt
	t *attemptRecord
	// load is the load of the endpoint at the head, and logGap the predicted logarithm of the time between
	// events.
	load   finish.Load
	logGap float64
	// unusual says that the times between events are not those of other streams, as the endpoint warms up or runs
	// a version on trial, or this process stood still.
	unusual bool
	// first and last are when the first and the last event came; count is the number of events, of which
	// firstCount came with the first read.
	first, last       time.Time
	firstCount, count int
	// from is when the present window began, and fromCount the number of events by then.
	from      time.Time
	fromCount int
}

// newEndWatch returns a watch for the stream whose head has come, and records the prediction of its end; nil if the
// mechanism is not in use.
func (x *run) newEndWatch(a *Attempt, t *attemptRecord) *endWatch {
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	p := x.e.book.Get(a.Endpoint.ID)
	x.end.watch = nil
	if p == nil || !x.e.enabled(EndEstimates, x.service) {
		return nil
	}
	now := x.e.Now()
	w := &endWatch{x: x, a: a, t: t, load: endLoad(p, 0, now)}
	r := x.e.activeTrial(p.Service)
	w.unusual = a.warming || r != nil && r.isNew(&a.Endpoint)
	x.end.watch = w
	if !x.prepareEnd(now) {
		return w
	}
	w.logGap = x.logGap(p, 0)
	median, low, high := x.end.rest.Interval(math.Exp(w.logGap))
	head := now.Sub(t.At)
	limit := func(s float64) time.Duration { return head + seconds(min(s, maxPredicted.Seconds())) }
	t.End = endRecord{predicted: true, median: limit(median), low: limit(low), high: limit(high), hint: x.r.LengthHint}
	return w
}

// maxPredicted bounds predictions, so that they fit a duration.
const maxPredicted = time.Hour

// recordShortest records the shortest sum of paceWindow times between events in a row.
func (w *endWatch) recordShortest(p *pace) {
	if w == nil || w.unusual {
		return
	}
	w.x.e.mu.Lock()
	defer w.x.e.mu.Unlock()
	getOrCreate(w.x.e.ends.gaps, w.x.service).AddShortest(w.load, p.minRow.Seconds()/paceWindow)
}

// add records that count events have come by now and reports whether the stream is to be moved. If so, an
// attempt has been taken from the retry budget. The run's records must have the events. goesOn says that the
// stream has not ended.
func (w *endWatch) add(now time.Time, count int, goesOn bool) (move bool) {
	if w == nil || count == w.count {
		return false
	}
	if w.count == 0 {
		w.first, w.firstCount, w.from, w.fromCount = now, count, now, count
	}
	w.last, w.count = now, count
	if now.Sub(w.from) < endWindow {
		return false
	}
	gap := now.Sub(w.from).Seconds() / float64(count-w.fromCount)
	w.from, w.fromCount = now, count
	if w.x.e.stalls.Resuming(resumeDelay) {
		// The time passed while this process stood still.
		w.unusual = true
		return false
	}
	e := w.x.e
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.book.Get(w.a.Endpoint.ID)
	if p == nil {
		return false
	}
	if e.ends.recent[p.Hash()] == nil && len(e.ends.recent) >= maxRecent {
		clear(e.ends.recent)
	}
	getOrCreate(e.ends.recent, p.Hash()).Add(getOrCreate(e.ends.gaps, w.x.service), endLoad(p, 0, now), gap, now)
	return goesOn && now.Sub(w.first) >= minMoveAge && w.x.move(w.a, now)
}

// move reports whether the stream is to continue at another endpoint, as it will probably not end where it is and
// will there. If so, it takes an attempt from the retry budget. A smaller model, which reads the prompt sooner,
// continues only if the present one would not end there either. The caller must hold the engine's mu.
func (x *run) move(a *Attempt, now time.Time) bool {
	if !x.mayMove() {
		return false
	}
	if x.presentUnfinishedProb(now) < minStuckProb {
		return false
	}
	var to *pool.Endpoint
	var why pool.Reason
	size := x.size
	for ; size >= 0; size-- {
		if to, why = x.endsElsewhere(size, now); to != nil {
			break
		}
	}
	if to == nil {
		return false
	}
	b := x.e.budget(x.service)
	if !b.Take(now, reserveFor(b.Allowed(now))) {
		return false
	}
	x.prepaid, x.mayHaveRun, x.size = true, true, size
	x.end.moved, x.end.movedFrom = true, []string{a.Endpoint.ID}
	x.end.movedTo, x.end.movedWhy = []uint64{to.Hash()}, why
	return true
}

// pickMoved returns the endpoint where a stream that was just moved is to continue, and the reason; nil if there is
// none or it may not serve the request any more. It must not be drawn anew, as the stream may not end elsewhere. The
// caller must hold the engine's mu.
func (x *run) pickMoved(want *pool.Want, now time.Time) (*pool.Endpoint, pool.Reason) {
	if x.end.movedTo == nil {
		return nil, ""
	}
	only := want.Only
	want.Only, x.end.movedTo = x.end.movedTo, nil
	p, _ := x.e.book.Pick(now, want)
	want.Only = only
	return p, x.end.movedWhy
}

// endsElsewhere returns another endpoint where the rest of the stream will probably end if the model with index size
// continues it there now, but not surely if it does so once half of the time left has passed, and the reason to pick
// it; nil if there is none. The caller must hold the engine's mu.
func (x *run) endsElsewhere(size int, now time.Time) (*pool.Endpoint, pool.Reason) {
	presentSize := x.size
	x.size = size
	defer func() { x.size = presentSize }()
	p, why := x.pick(now)
	if p == nil || slices.Contains(x.tried, p.ID) {
		return nil, ""
	}
	head := x.lastWant.Wait(p, now) + p.Pace.Factor(now)*x.readTime(x.unreadTokens(why))
	if x.unfinishedProb(p, headSpread*head, now) > maxMovedProb {
		return nil, ""
	}
	half := x.end.left / 2
	if x.end.rest.UnfinishedProb(half-headSpread*head, x.logGap(p, 1)) <= safeMovedProb {
		return nil, ""
	}
	return p, why
}

// mayMove reports whether the run may move its stream to another endpoint at all. A stopping router does not: the
// stream would be cut again when the router ends.
func (x *run) mayMove() bool {
	return !x.end.moved && x.headSent && x.lastEvent != "" && x.route.resumable() && x.attempts < x.route.MaxAttempts &&
		len(x.records) < maxTries && !x.e.stopping.Load()
}

// learnEnd learns from the stream of an attempt that has ended. err is nil if the answer is complete; cut says that
// it will not be completed.
func (x *run) learnEnd(err error, cut bool) {
	w := x.end.watch
	x.end.watch = nil
	if w == nil || w.count == 0 {
		return
	}
	e := x.e
	e.mu.Lock()
	defer e.mu.Unlock()
	d := &w.t.End
	d.took, d.moved = w.last.Sub(w.t.At), errors.Is(err, errMoved)
	r := getOrCreate(e.ends.routes, x.route.Name)
	w.learnGap(r, err == nil)
	x.learnLength(r, err == nil, cut)
	if d.predicted && !w.unusual && w.count > w.firstCount {
		x.calibrate(r, d, err == nil, cut)
	}
}

// learnGap learns the mean time between events. The caller must hold the engine's mu.
func (w *endWatch) learnGap(r *routeEnds, complete bool) {
	n := w.count - w.firstCount
	if n == 0 || w.unusual || !complete && w.count < minCutEvents {
		return
	}
	gap := w.last.Sub(w.first).Seconds() / float64(n)
	getOrCreate(w.x.e.ends.gaps, w.x.service).AddMean(w.load, gap)
	if w.t.End.predicted && gap > 0 {
		r.calibration.AddGap(math.Log(gap) - w.logGap)
	}
}

// learnLength learns the number of events of the answer. The caller must hold the engine's mu.
func (x *run) learnLength(r *routeEnds, complete, cut bool) {
	switch {
	case x.r.LastEvent != "":
		// The number of events that came before this request is not certain.
	case complete:
		r.lengths.Add(x.r.LengthHint, x.eventsSent())
	case cut:
		r.lengths.AddCut(x.r.LengthHint, x.eventsSent())
	}
}

// calibrate records whether an answer ended inside the predicted interval. One that was cut off before the
// interval's end shows nothing. The caller must hold the engine's mu.
func (x *run) calibrate(r *routeEnds, d *endRecord, complete, cut bool) {
	result := "inside"
	switch {
	case d.took > d.high && (complete || cut):
		result = "later"
	case !complete:
		return
	case d.took < d.low:
		result = "earlier"
	}
	r.calibration.AddEnd(result == "inside")
	x.e.metrics.count("predicted_ends", x.route.Name, result)
}

// isCut reports whether an answer that broke off will not be continued, as the caller left or its deadline has
// passed.
func isCut(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent)
}

// countMoved counts a request whose stream was moved by how it ended; err is nil if its answer is complete.
func (x *run) countMoved(err *fault.Error) {
	if !x.end.moved {
		return
	}
	result := "ended"
	if err != nil {
		result = string(err.Kind)
	}
	x.e.metrics.count("streams_moved", x.route.Name, result)
}
