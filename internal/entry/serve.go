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

// serve takes one parsed call through to its answer.
func (e *Entry) serve(ctx *fasthttp.RequestCtx, call wire.Call, key string) {
	e.catchUp()
	eff := e.Holder.Current().Effective(call.Workspace, call.Workload, call.District)
	if err := e.admit(&call, eff); err != nil {
		r := e.newRequest(call, key)
		e.finish(r, 0, err)
		e.answer(ctx, r, func() {})
		return
	}
	leave := func() { e.limits.leave(call.Workspace) }
	r, err := e.place(call, key, eff)
	if err != nil {
		leave()
		e.refuse(ctx, err)
		return
	}
	e.answer(ctx, r, leave)
}

const (
	// hearWithin is how long settings count as heard of; heartbeats confirm
	// them far more often, unless this process was frozen or is cut off.
	hearWithin = config.Span(3 * time.Second)
	// catchUpWithin bounds the wait for a peer's word before a request is
	// decided without it.
	catchUpWithin = config.Span(500 * time.Millisecond)
)

// catchUp asks the peers before a request is decided, if nothing was heard of
// the settings for long: a process that was frozen finds out here.
func (e *Entry) catchUp() {
	now := e.Now()
	if now.Before(hearWithin.After(e.Holder.ConfirmedAt())) {
		return
	}
	e.peers.pokeAll()
	deadline := catchUpWithin.After(now)
	for e.Now().Before(deadline) && e.Holder.ConfirmedAt().Before(now) {
		tasks.Pause(e.kill, stopPoll.After(time.Now()))
	}
}

// admit checks what needs no endpoint: cutover and limits. A call that it lets
// in counts as under way until its caller is answered.
func (e *Entry) admit(call *wire.Call, eff *config.Effective) *fault.Error {
	if !*eff.Values.Enabled {
		return fault.New(fault.NotCutOver, fault.NotRun, "Requests are not served here: enabled is false at %q.", eff.Setting("enabled").Origin.Path)
	}
	if held, _ := e.bills.Held(); held >= e.settings.RecordsHeld && *eff.Values.OnBillsFull == config.Refuse {
		return fault.New(fault.PlatformDown, fault.NotRun, "%d bill lines wait for the platform.", held).WithRetryAt(comeBackAfter.After(e.Now()))
	}
	return e.limits.enter(e.Now(), call.Workspace, &eff.Values)
}

// place starts the call's request, or finds the one that a key names.
func (e *Entry) place(call wire.Call, key string, eff *config.Effective) (*request, *fault.Error) {
	if isTicket(key) {
		return e.placeTicket(call, key)
	}
	if key != "" && !*eff.Values.Repeatable {
		return e.placeClaimed(call, key)
	}
	r := e.newRequest(call, key)
	if err := e.start(r); err != nil {
		e.finish(r, 0, err)
	}
	return r, nil
}

// start runs a request in the bounded pool.
func (e *Entry) start(r *request) *fault.Error {
	return e.submit(func() { e.run(r) })
}

// submit runs a task in the bounded pool; it counts as under way.
func (e *Entry) submit(task func()) *fault.Error {
	e.under.Add(1)
	err := e.runs.Submit(func() {
		defer e.under.Add(-1)
		task()
	})
	if err == nil {
		return nil
	}
	e.under.Add(-1)
	return fault.New(fault.Overloaded, fault.NotRun, "The entry has too many requests under way.").WithRetryAt(comeBackAfter.After(e.Now()))
}
