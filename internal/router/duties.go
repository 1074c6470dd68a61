// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/clock"
	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/peers"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/duty"
	"github.com/traildrift/traildrift/pkg/usage"
)

const (
	// dutyPoll is how often a router looks what is to be done of the duties.
	dutyPoll = config.Span(100 * time.Millisecond)
	// dutyCall bounds a call to the store about them; a slow store takes half a second.
	dutyCall = config.Span(time.Second)
	// reachedWithin is how old word of the store may be for it to be called.
	reachedWithin = 2500 * time.Millisecond
)

// DutyWire is what the platform speaks of the duties of one VM at a time, decoded.
type DutyWire struct {
	// Read returns the stored record, or store.ErrNotFound.
	Read func(ctx context.Context) (duty.Record, error)
	// Write stores a record on the revision that it names, or where there is none on revision
	// 0, and returns it; with store.ErrConflict the one that stands. After a creation the
	// revision is not known.
	Write func(ctx context.Context, r duty.Record) (duty.Record, error)
	// Report sends the usage of a window under a holder's name and fence.
	Report func(ctx context.Context, vm string, fence int64, r duty.Report) error
}

// ErrRefused says that the platform does not take a call from this holder.
var ErrRefused = errors.New("router: the platform refuses the holder of the duties")

// duties is what a router does of the duties of one VM at a time: it counts the usage of
// workspaces, tells it to the holder, and reports it where it is the holder itself.
type duties struct {
	log     *zap.Logger
	scope   tally.Scope
	wire    DutyWire
	fleet   *peers.Fleet
	notes   *peers.Transport
	windows usage.Clock
	// late is how long after its end a window's report is due.
	late config.Span
	self usage.Reporter
	// clock tells the true time; its own hand is that of the machine, as it counts suspensions.
	clock *clock.MedianClock
	// reachable reports whether the store was heard of lately.
	reachable func() bool
	// mu guards what follows.
	mu      sync.Mutex
	book    *usage.Counter
	machine *duty.Machine
	// told holds what other routers were told of windows.
	told map[tellKey]*telling
	// toldAt is when the window under way was told of last.
	toldAt time.Time
	// stops says that this router stops, and counts nothing any more once it has told so.
	stops bool
	// toldSettled is the newest window whose settling was logged: it is tried again while the
	// store does not take it.
	toldSettled usage.Window
	// logged is the record whose holder was logged last.
	logged duty.Record
}

// newDuties returns the duties of a router; nil if the platform asks for none.
func newDuties(r *Router, life uint64) *duties {
	s := &r.settings
	if !s.reportsUsage() {
		return nil
	}
	common := clock.NewMedianClock(r.Engine.Boot, time.Now())
	d := &duties{
		log: r.Log, scope: r.admin.Scope.SubScope("duties"), wire: r.wire.Duties, fleet: r.fleet, notes: r.notes,
		windows: usage.Clock{Length: s.UsageWindow}, late: s.UsageLate, self: usage.Reporter{Router: s.VM, Incarnation: life}, clock: common,
		reachable: func() bool { return time.Since(r.mirror.Proven(r.wire.ConfigKind)) <= reachedWithin },
		book:      usage.NewCounter(), machine: duty.New(s.VM, life, s.DutyLease, common.Local()), told: make(map[tellKey]*telling),
	}
	r.Engine.Began = d.began
	r.notes.OnUsageReport, r.notes.OnUsageAck = d.heard, d.answered
	return d
}

// run does what is to be done of the duties until ctx is done.
func (d *duties) run(ctx context.Context) error {
	for ctx.Err() == nil {
		d.step(ctx)
		tasks.Pause(ctx, dutyPoll.After(time.Now()))
	}
	return nil
}

// stop leaves the duties to others, and tells them.
func (d *duties) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Stop()
	d.stops, d.toldAt = true, time.Time{}
}

// step does one thing, if one is to be done.
func (d *duties) step(ctx context.Context) {
	now := d.clock.Local()
	d.mu.Lock()
	a := d.machine.Next(now, d.view(now))
	d.mu.Unlock()
	if a.Kind == duty.Nothing {
		return
	}
	o, r, err := d.do(ctx, a)
	now = d.clock.Local()
	d.mu.Lock()
	d.machine.Done(now, a, o, r)
	d.logHolder(now)
	d.mu.Unlock()
	d.logDone(a, o, err)
}

// view returns what the machine needs to know; mu is held.
func (d *duties) view(now time.Time) duty.View {
	rec, _ := d.machine.Record()
	v := duty.View{Rank: d.fleet.RankExcept(time.Now(), rec.Holder), Peers: d.fleet.Len() - 1, StoreReachable: d.reachable(), Window: d.windows.At(d.clock.Now())}
	if d.machine.Holds(now) {
		v.Ready = d.ready(v.Window)
	}
	return v
}

// do carries out an action.
func (d *duties) do(ctx context.Context, a duty.Action) (duty.Outcome, duty.Record, error) {
	until := dutyCall.After(time.Now())
	if a.Kind == duty.Send {
		until = time.Now().Add(a.Deadline.Sub(d.clock.Local()))
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	var r duty.Record
	var err error
	switch a.Kind {
	case duty.Read:
		r, err = d.wire.Read(ctx)
	case duty.Send:
		err = d.wire.Report(ctx, d.self.Router, a.Fence, a.Report)
	default:
		r, err = d.wire.Write(ctx, a.Record)
	}
	return outcomeOf(err), r, err
}

// outcomeOf returns what an error says of a call.
func outcomeOf(err error) duty.Outcome {
	switch {
	case err == nil:
		return duty.Done
	case errors.Is(err, store.ErrConflict):
		return duty.Conflict
	case errors.Is(err, store.ErrNotFound):
		return duty.Missing
	case errors.Is(err, ErrRefused):
		return duty.Refused
	case errors.Is(err, store.ErrDown):
		return duty.Failed
	default:
		return duty.Unknown
	}
}

// logHolder tells when the duties have another holder; mu is held.
func (d *duties) logHolder(now time.Time) {
	rec, known := d.machine.Record()
	if !known || rec.Holder == d.logged.Holder && rec.Incarnation == d.logged.Incarnation {
		return
	}
	d.logged = rec
	if d.machine.Holds(now) {
		// The next in rank would take it for absent.
		d.toldAt = time.Time{}
	}
	d.log.Info("router: The duties of one VM have a holder.", zap.String("holder", rec.Holder), zap.Int64("revision", rec.Revision),
		zap.Bool("self", d.machine.Holds(now)), zap.Strings("past", rec.PastHolders), zap.Int64("settled", int64(rec.Settled)), zap.Int("unsent", len(rec.Unsent)))
}

// logDone tells what became of an action.
func (d *duties) logDone(a duty.Action, o duty.Outcome, err error) {
	d.scope.Tagged(map[string]string{"action": string(a.Kind), "outcome": string(o)}).Counter("actions").Inc(1)
	fields := []zap.Field{zap.String("outcome", string(o)), logs.Err(err)}
	if a.Kind == duty.Send {
		d.log.Info("router: Usage was reported.", append(fields, zap.Int64("window", int64(a.Report.Window)), zap.Int64("fence", a.Fence),
			zap.Uint64("requests", a.Report.Counts.Sum()), zap.Int("workspaces", len(a.Report.Counts)))...)
		return
	}
	d.log.Info("router: The record of the duties was asked for.", append(fields, zap.String("action", string(a.Kind)), zap.Int64("onRevision", a.Record.Revision),
		zap.Int64("settled", int64(a.Record.Settled)), zap.Int("unsent", len(a.Record.Unsent)))...)
}
