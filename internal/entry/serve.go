// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

// serve handles one parsed call until its answer.
func (e *Entry) serve(ctx *fasthttp.RequestCtx, call wire.Call, key string) {
	e.catchUp()
	eff := e.Holder.Current().Effective(call.Workspace, call.Workload, call.District)
	if err := e.admit(&call, eff); err != nil {
		r := e.newRequest(call, key)
		e.finish(r, 0, err)
		e.answer(ctx, r, func() {})
		return
	}
	release := func() { e.limits.release(call.Workspace) }
	r, err := e.startOrJoin(call, key, eff)
	if err != nil {
		release()
		e.refuse(ctx, err)
		return
	}
	e.answer(ctx, r, release)
}

const (
	// maxConfirmationAge is how old the last confirmation of the settings may be before
	// catchUp asks for a new one. Heartbeats confirm them far more often, unless this
	// process was suspended or is partitioned.
	maxConfirmationAge = config.Span(3 * time.Second)
	// catchUpTimeout bounds the wait for a confirmation by a peer. After it the request is
	// decided without one.
	catchUpTimeout = config.Span(500 * time.Millisecond)
)

// catchUp requests heartbeats before a request is decided, if the settings were not
// confirmed within maxConfirmationAge. A process that was suspended receives newer settings
// here. It returns once a peer has confirmed the settings or after catchUpTimeout.
func (e *Entry) catchUp() {
	now := e.Now()
	if now.Before(maxConfirmationAge.After(e.Holder.ConfirmedAt())) {
		return
	}
	e.peers.requestHeartbeats()
	deadline := catchUpTimeout.After(now)
	for e.Now().Before(deadline) && e.Holder.ConfirmedAt().Before(now) {
		tasks.Pause(e.kill, pollInterval.After(time.Now()))
	}
}

// admit makes the checks that need no endpoint: whether the settings enable the service,
// whether too many bill lines wait for the platform, and the workspace's limits. An
// admitted call counts against the concurrency limit until its caller is answered.
func (e *Entry) admit(call *wire.Call, eff *config.Effective) *fault.Error {
	if !*eff.Values.Enabled {
		return fault.New(fault.NotCutOver, fault.NotRun, "Requests are not served here: enabled is false at %q.", eff.Setting("enabled").Origin.Path)
	}
	if held, _ := e.bills.Held(); held >= e.settings.MaxHeldRecords && *eff.Values.OnBillsFull == config.Refuse {
		return fault.New(fault.PlatformDown, fault.NotRun, "%d bill lines wait for the platform.", held).WithRetryAt(defaultRetryAfter.After(e.Now()))
	}
	return e.limits.acquire(e.Now(), call.Workspace, &eff.Values)
}

// startOrJoin starts the request of a call, or joins the run that its key or ticket names.
// A repeatable request is started whether or not its key was used before.
func (e *Entry) startOrJoin(call wire.Call, key string, eff *config.Effective) (*request, *fault.Error) {
	if isTicket(key) {
		return e.startOrJoinTicket(call, key)
	}
	if key != "" && !*eff.Values.Repeatable {
		return e.startOrJoinClaimed(call, key)
	}
	r := e.newRequest(call, key)
	if err := e.start(r); err != nil {
		e.finish(r, 0, err)
	}
	return r, nil
}

// start runs a request in the worker pool. It returns fault.Overloaded if the pool is full.
func (e *Entry) start(r *request) *fault.Error {
	return e.submit(func() { e.run(r) })
}

// submit runs a task in the worker pool and counts it in inFlight. It returns
// fault.Overloaded if the pool is full.
func (e *Entry) submit(task func()) *fault.Error {
	e.inFlight.Add(1)
	err := e.runs.Submit(func() {
		defer e.inFlight.Add(-1)
		task()
	})
	if err == nil {
		return nil
	}
	e.inFlight.Add(-1)
	return fault.New(fault.Overloaded, fault.NotRun, "The entry has too many requests under way.").WithRetryAt(defaultRetryAfter.After(e.Now()))
}
