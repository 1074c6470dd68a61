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

// request is one caller's request while it is served here.
type request struct {
	id   string
	call wire.Call
	// cachedFingerprint is the request's fingerprint; zero before it was asked for.
	cachedFingerprint poison.Fingerprint
	// key is the caller's own key or ticket; empty without one.
	key string
	// effective is what was in force when the request arrived.
	effective *config.Effective
	// repeatable says that the request may be run again after it may have
	// run.
	repeatable bool
	// pinned is the session's version; nil without a session.
	pinned *pin
	// following says that another entry runs the request and bills it; joins
	// counts how often one was followed.
	following      bool
	followAttempts int
	// nameNotStored says that the name of the request's session could not be kept.
	nameNotStored bool
	// buf takes the answer. It is finished exactly once.
	buf *stream.Buffer
	// record is written by the goroutine that runs the request, until done.
	record trail.Record
	// attempts are what is billed.
	attempts []bill.Attempt
	// seed drives the random choices of the request's decisions.
	seed uint64
	// ctx is done when nobody waits for the answer any more.
	ctx    context.Context
	cancel context.CancelFunc
	// finished says that finish was called; it never goes back.
	finished atomic.Bool
	// done is closed when the request has ended, with its bill and trail
	// handed over.
	done chan struct{}
}

// newRequest returns a request that has not started.
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

// billID names the line that the request is billed on.
func (r *request) billID() string {
	if r.key != "" {
		return r.call.Workspace + "/" + r.key
	}
	return r.id
}

// routeRequest is what a decision needs to know of the request.
func (r *request) routeRequest(zone string, avoid []int) route.Request {
	req := route.Request{Model: r.call.Model, AvailabilityZone: zone, Seed: r.seed + uint64(len(r.record.Steps)), Draw: route.Uniform(r.seed), Avoid: avoid}
	if r.pinned != nil {
		req.Model, req.Version, req.Pinned = r.pinned.Model, r.pinned.Version, true
	}
	return req
}

// finish ends the request once: answer, bill and trail.
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

// observe counts the end of a request.
func (e *Entry) observe(r *request, err *fault.Error) {
	kind := "whole"
	if err != nil {
		kind = string(err.Kind)
	}
	s := e.Scope.SubScope("entry").Tagged(map[string]string{"workspace": r.call.Workspace, "outcome": kind})
	s.Counter("requests").Inc(1)
	s.Timer("request").Record(r.record.Ended.Sub(r.record.Arrived))
}

// capDeadline returns the earlier of a deadline and a time that lies s after now.
func capDeadline(now, deadline time.Time, s config.Span) time.Time {
	if t := s.After(now); t.Before(deadline) {
		return t
	}
	return deadline
}
