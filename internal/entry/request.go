// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/bill"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/poison"
	"github.com/traildrift/traildrift/pkg/route"
	"github.com/traildrift/traildrift/pkg/stream"
	"github.com/traildrift/traildrift/pkg/trail"
)

// request is the state of one caller's request.
type request struct {
	id   string
	call wire.Call
	// cachedFingerprint is the request's fingerprint; zero until fingerprint is called.
	cachedFingerprint poison.Fingerprint
	// key is the caller's own key or ticket; empty if there is none.
	key string
	// effective holds the settings that applied when the request arrived.
	effective *config.Effective
	// repeatable reports that the request may run again after it may have run.
	repeatable bool
	// pinned is the session's version; nil if the request is not pinned to one.
	pinned *pin
	// following reports that the request follows a run of another entry, which bills it.
	// followAttempts counts the calls to follow one.
	following      bool
	followAttempts int
	// nameNotStored reports that the claim log did not accept the name of the request's
	// session.
	nameNotStored bool
	// buf receives the answer. It is finished exactly once.
	buf *stream.Buffer
	// record is written only by the goroutine that runs the request, until done is closed.
	record trail.Record
	// attempts holds the attempts to bill: those that ran or may have run.
	attempts []bill.Attempt
	// seed seeds the random choices of the request's decisions.
	seed uint64
	// ctx is done when no caller waits for the answer any more, at the latest at the
	// deadline.
	ctx    context.Context
	cancel context.CancelFunc
	// finished is set by finish and never reset.
	finished atomic.Bool
	// done is closed when the request has ended and its bill line and trail record are
	// queued.
	done chan struct{}
}

// newRequest returns a request that has not started. A missing deadline or priority is
// taken from the settings.
func (e *Entry) newRequest(call wire.Call, key string) *request {
	now := e.Now()
	seq := e.seq.Add(1)
	snap := e.Holder.Current()
	eff := snap.Effective(call.Workspace, call.Workload, call.District)
	r := &request{
		id:         fmt.Sprintf("%s-%x-%x", e.Identity.Incarnation, now.UnixMilli(), seq),
		call:       call,
		key:        key,
		effective:  eff,
		repeatable: *eff.Values.Repeatable,
		buf:        stream.New(maxAnswerBytes),
		seed:       seq ^ uint64(now.UnixNano()),
		done:       make(chan struct{}),
	}
	if r.call.Deadline.IsZero() {
		r.call.Deadline = eff.Values.AnswerWithin.After(now)
	}
	if r.call.Priority == "" {
		r.call.Priority = *eff.Values.Priority
	}
	r.ctx, r.cancel = context.WithDeadline(e.kill, r.call.Deadline)
	r.record = trail.Record{
		RequestID: r.id,
		Workspace: call.Workspace,
		Workload:  call.Workload,
		District:  call.District,
		Entry:     e.Common.VM,
		Revision:  snap.Head.Revision,
		Arrived:   now,
		Deadline:  r.call.Deadline,
		BillID:    r.billID(),
		Effective: eff,
	}
	return r
}

// billID returns the ID of the request's bill line. Repeats with one key share the line.
func (r *request) billID() string {
	if r.key != "" {
		return r.call.Workspace + "/" + r.key
	}
	return r.id
}

// routeRequest returns what a routing decision depends on. avoid lists the indexes of the
// endpoints that were tried.
func (r *request) routeRequest(zone string, avoid []int) route.Request {
	req := route.Request{Model: r.call.Model, AvailabilityZone: zone, Seed: r.seed + uint64(len(r.record.Steps)), Draw: route.Uniform(r.seed), Avoid: avoid}
	if r.pinned != nil {
		req.Model, req.Version, req.Pinned = r.pinned.Model, r.pinned.Version, true
	}
	return req
}

// finish ends the request: it ends the answer and queues the bill line and the trail
// record. length is the size of a complete answer in bytes. Only the first call takes
// effect.
func (e *Entry) finish(r *request, length int, err *fault.Error) {
	if !r.finished.CompareAndSwap(false, true) {
		return
	}
	r.buf.Finish(length, err)
	err = r.buf.Ended().Err
	r.record.Ended = e.Now()
	r.record.Err = err
	if len(r.attempts) > 0 {
		line := bill.Line{
			ID:        r.billID(),
			RequestID: r.id,
			Workspace: r.call.Workspace,
			Workload:  r.call.Workload,
			At:        r.record.Ended,
			Attempts:  r.attempts,
			Whole:     true,
		}
		if !e.bills.Add(line) {
			e.counts.billsLost.Inc(1)
		}
	}
	if !e.trail.Add(r.record) {
		e.counts.trailLost.Inc(1)
	}
	e.recent.put(r.record)
	if r.key != "" {
		e.keepAnswer(r, err)
	}
	e.observe(r, err)
	r.cancel()
	close(r.done)
}

// observe records the end of a request in the metrics.
func (e *Entry) observe(r *request, err *fault.Error) {
	kind := "whole"
	if err != nil {
		kind = string(err.Kind)
	}
	s := e.Scope.SubScope("entry").Tagged(map[string]string{"workspace": r.call.Workspace, "outcome": kind})
	s.Counter("requests").Inc(1)
	s.Timer("request").Record(r.record.Ended.Sub(r.record.Arrived))
}

// capDeadline returns now plus s, or the deadline if that is earlier.
func capDeadline(now, deadline time.Time, s config.Span) time.Time {
	if t := s.After(now); t.Before(deadline) {
		return t
	}
	return deadline
}
