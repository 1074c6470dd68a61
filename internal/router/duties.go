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
	// dutyPollInterval is how often a router looks what is to be done of the duties.
	dutyPollInterval = config.Span(100 * time.Millisecond)
	// dutyCallTimeout bounds a call to the store about them; a slow store takes half a second.
	dutyCallTimeout = config.Span(time.Second)
	// storeReachableWindow is how old word of the store may be for it to be called.
	storeReachableWindow = 2500 * time.Millisecond
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
	notes   *peers.Notes
	windows usage.Clock
	// dueAfter is how long after its end a window's report is due.
	dueAfter config.Span
	self     usage.Reporter
	// clock tells the true time; its own hand is that of the machine, as it counts suspensions.
	clock *clock.MedianClock
	// storeReachable reports whether the store was heard of lately.
	storeReachable func() bool
	// mu guards what follows.
	mu      sync.Mutex
	counter *usage.Counter
	machine *duty.Machine
	// sentEnds holds what other routers were sentEnds of windows.
	sentEnds map[sentEndKey]*sentEnd
	// lastSentAt is when the window under way was told of last.
	lastSentAt time.Time
	// stopping says that this router stopping, and counts nothing any more once it has told so.
	stopping bool
	// loggedSettled is the newest window whose settling was logged: it is tried again while the
	// store does not take it.
	loggedSettled usage.Window
	// loggedRecord is the record whose holder was loggedRecord last.
	loggedRecord duty.Record
}

// newDuties returns the duties of a router; nil if the platform asks for none.
func newDuties(r *Router, incarnation uint64) *duties {
	s := &r.settings
	if !s.reportsUsage() {
		return nil
	}
	common := clock.NewMedianClock(r.Engine.Boot, time.Now())
	d := &duties{
		log: r.Log, scope: r.admin.Scope.SubScope("duties"), wire: r.wire.Duties, fleet: r.fleet, notes: r.notes,
		windows: usage.Clock{Length: s.UsageWindow}, dueAfter: s.UsageLate, self: usage.Reporter{Router: s.VM, Incarnation: incarnation}, clock: common,
		storeReachable: func() bool { return time.Since(r.mirror.ConfirmedAt(r.wire.ConfigKind)) <= storeReachableWindow },
		counter:        usage.NewCounter(), machine: duty.New(s.VM, incarnation, s.DutyLease, common.Local()), sentEnds: make(map[sentEndKey]*sentEnd),
	}
	r.Engine.Began = d.countRequest
	r.notes.OnUsage, r.notes.OnUsageAnswer = d.receiveReport, d.receiveAnswer
	return d
}

// run does what is to be done of the duties until ctx is done.
func (d *duties) run(ctx context.Context) error {
	for ctx.Err() == nil {
		d.step(ctx)
		tasks.Pause(ctx, dutyPollInterval.After(time.Now()))
	}
	return nil
}

// stop leaves the duties to others, and tells them.
func (d *duties) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Stop()
	d.stopping, d.lastSentAt = true, time.Time{}
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
	o, r, err := d.perform(ctx, a)
	now = d.clock.Local()
	d.mu.Lock()
	d.machine.Done(now, a, o, r)
	d.logHolder(now)
	d.mu.Unlock()
	d.logAction(a, o, err)
}

// view returns what the machine needs to know; mu is held.
func (d *duties) view(now time.Time) duty.View {
	rec, _ := d.machine.Record()
	v := duty.View{Rank: d.fleet.Before(time.Now(), rec.Holder), Peers: d.fleet.Len() - 1, StoreReachable: d.storeReachable(), Window: d.windows.At(d.clock.Now())}
	if d.machine.Holds(now) {
		v.Ready = d.ready(v.Window)
	}
	return v
}

// perform carries out an action.
func (d *duties) perform(ctx context.Context, a duty.Action) (duty.Outcome, duty.Record, error) {
	until := dutyCallTimeout.After(time.Now())
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
	return callOutcome(err), r, err
}

// callOutcome returns what an error says of a call.
func callOutcome(err error) duty.Outcome {
	switch {
	case err == nil:
		return duty.Done
	case errors.Is(err, store.ErrConflict):
		return duty.Conflict
	case errors.Is(err, store.ErrNotFound):
		return duty.Missing
	case errors.Is(err, ErrRefused):
		return duty.Refused
	case errors.Is(err, store.ErrUnavailable):
		return duty.Failed
	default:
		return duty.Unknown
	}
}

// logHolder tells when the duties have another holder; mu is held.
func (d *duties) logHolder(now time.Time) {
	rec, known := d.machine.Record()
	if !known || rec.Holder == d.loggedRecord.Holder && rec.Incarnation == d.loggedRecord.Incarnation {
		return
	}
	d.loggedRecord = rec
	if d.machine.Holds(now) {
		// The next in rank would take it for absent.
		d.lastSentAt = time.Time{}
	}
	d.log.Info("router: The duties of one VM have a holder.", zap.String("holder", rec.Holder), zap.Int64("revision", rec.Revision),
		zap.Bool("self", d.machine.Holds(now)), zap.Strings("past", rec.PastHolders), zap.Int64("settled", int64(rec.Settled)), zap.Int("unsent", len(rec.Unsent)))
}

// logAction tells what became of an action.
func (d *duties) logAction(a duty.Action, o duty.Outcome, err error) {
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
