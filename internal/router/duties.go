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
	// dutyPollInterval is the interval at which a router checks whether an action for the duties or a
	// report to another router is due.
	dutyPollInterval = config.Span(100 * time.Millisecond)
	// dutyCallTimeout bounds a call to the store for the duties. A slow store takes half a second to
	// answer.
	dutyCallTimeout = config.Span(time.Second)
	// storeReachableWindow is the maximum time since the last confirmation of the configuration for
	// the store to count as reachable.
	storeReachableWindow = 2500 * time.Millisecond
)

// DutyWire makes the calls to the platform for the duties that one VM at a time performs. The platform
// package sets its fields; tests replace its functions.
type DutyWire struct {
	// Read returns the stored record, or store.ErrNotFound if there is none.
	Read func(ctx context.Context) (duty.Record, error)
	// Write replaces the stored record of the revision r.Revision, or creates the record if the
	// revision is 0, and returns the new one. With store.ErrConflict it returns the stored record
	// instead. After a creation the revision of the returned record is not known.
	Write func(ctx context.Context, r duty.Record) (duty.Record, error)
	// Report sends the usage of a window to the platform, with the name of the holder's VM and its
	// fencing token. The error is ErrRefused if the platform does not accept it from this holder.
	Report func(ctx context.Context, vm string, fence int64, r duty.Report) error
}

// ErrRefused means that the platform does not accept a call from this holder of the duties.
var ErrRefused = errors.New("router: the platform refuses the holder of the duties")

// duties performs the part of a router in the duties of one VM at a time. It counts the requests of
// workspaces by windows, sends the counts to the holder of the duties and its standbys, and reports
// the sums to the platform while this router is the holder. It is safe for concurrent use.
type duties struct {
	log       *zap.Logger
	scope     tally.Scope
	wire      DutyWire
	fleet     *peers.Fleet
	transport *peers.Transport
	windows   usage.Clock
	// dueAfter is how long after the end of a window its report is due at the platform.
	dueAfter config.Span
	self     usage.Reporter
	// clock estimates the true time. Its steady time is used for the machine, as it advances during
	// suspensions of the VM and is never stepped.
	clock *clock.MedianClock
	// storeReachable reports whether the store has answered this router or a peer lately.
	storeReachable func() bool
	// epoch returns the newest known epoch of the store.
	epoch func() int64
	// mu guards the fields below.
	mu      sync.Mutex
	counter *usage.Counter
	machine *duty.Machine
	// finalReports holds the state of each final report that was sent, by receiver and window.
	finalReports map[finalReportKey]*finalReportState
	// lastSentAt is when the counts of the current window were last sent; the zero time to send them
	// at once.
	lastSentAt time.Time
	// stopping is set when this router stops, and never reset. Reports of the current window are then
	// final, as this router counts no more requests.
	stopping bool
	// loggedSettled is the newest window whose settlement was logged. A window is settled again as
	// long as the store does not accept the record, but logged once.
	loggedSettled usage.Window
	// loggedAhead is how far the estimate of the true time was ahead of the steady time when that was last logged.
	loggedAhead time.Duration
	// loggedRecord is the record whose holder was last logged.
	loggedRecord duty.Record
}

// newDuties returns the duties of a router and connects them with its engine and transport; nil if
// the settings name no duty that a router performs.
func newDuties(r *Router, incarnation uint64) *duties {
	s := &r.settings
	if !s.reportsUsage() {
		return nil
	}
	trueClock := clock.NewMedianClock(r.Engine.Boot, r.wire.WallClock)
	d := &duties{
		log: r.Log, scope: r.admin.Scope.SubScope("duties"), wire: r.wire.Duties, fleet: r.fleet, transport: r.transport,
		windows: usage.Clock{Length: s.UsageWindow}, dueAfter: s.UsageLate, self: usage.Reporter{Router: s.VM, Incarnation: incarnation}, clock: trueClock,
		storeReachable: func() bool { return time.Since(r.mirror.ConfirmedAt(r.wire.ConfigKind)) <= storeReachableWindow },
		epoch:          r.mirror.Epoch,
		counter:        usage.NewCounter(), machine: duty.New(s.VM, incarnation, s.DutyLease, trueClock.Steady()), finalReports: make(map[finalReportKey]*finalReportState),
	}
	r.Engine.OnRequestStarted = d.countRequest
	r.transport.OnUsageReport, r.transport.OnUsageAck = d.receiveReport, d.receiveAck
	return d
}

// run performs the actions that the machine requests, until ctx is done.
func (d *duties) run(ctx context.Context) error {
	for ctx.Err() == nil {
		d.step(ctx)
		tasks.Pause(ctx, dutyPollInterval.After(time.Now()))
	}
	return nil
}

// stop resigns from the duties. The counts of the current window are sent at once, as final.
func (d *duties) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Stop()
	d.stopping, d.lastSentAt = true, time.Time{}
}

// step performs the next action of the machine, if one is due.
func (d *duties) step(ctx context.Context) {
	now := d.clock.Steady()
	d.mu.Lock()
	a := d.machine.Next(now, d.view(now))
	d.mu.Unlock()
	if a.Kind == duty.Nothing {
		return
	}
	o, r, err := d.perform(ctx, a)
	now = d.clock.Steady()
	d.mu.Lock()
	d.machine.Done(now, a, o, r)
	d.logHolder(now)
	d.mu.Unlock()
	d.logAction(a, o, err)
}

// view returns the state that the machine depends on. The caller holds mu.
func (d *duties) view(now time.Time) duty.View {
	rec, _ := d.machine.Record()
	v := duty.View{Rank: d.fleet.RankExcept(time.Now(), rec.Holder), Peers: d.fleet.Len() - 1, StoreReachable: d.storeReachable(), Window: d.windows.At(d.clock.Now()), Epoch: d.epoch()}
	if d.machine.Holds(now) {
		v.Ready = d.ready(v.Window)
	}
	return v
}

// perform makes the call of an action. It returns its outcome, the record that the store returned, and
// the error, for the log. The deadline of Send is that of the action.
func (d *duties) perform(ctx context.Context, a duty.Action) (duty.Outcome, duty.Record, error) {
	until := dutyCallTimeout.After(time.Now())
	if a.Kind == duty.Send {
		until = time.Now().Add(a.Deadline.Sub(d.clock.Steady()))
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

// callOutcome returns the outcome of a call that returned err.
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

// logHolder logs the holder of the duties whenever it changes. A new holder sends its counts, and with
// them its gossip, at once. The caller holds mu.
func (d *duties) logHolder(now time.Time) {
	rec, known := d.machine.Record()
	if !known || rec.Holder == d.loggedRecord.Holder && rec.Incarnation == d.loggedRecord.Incarnation {
		return
	}
	d.loggedRecord = rec
	if d.machine.Holds(now) {
		// The next router in rank would otherwise regard the holder as absent.
		d.lastSentAt = time.Time{}
	}
	d.log.Info("router: The duties of one VM have a holder.", zap.String("holder", rec.Holder), zap.Stringer("revision", rec.Revision),
		zap.Bool("self", d.machine.Holds(now)), zap.Strings("past", rec.PastHolders), zap.Int64("settled", int64(rec.Settled)), zap.Int("unsent", len(rec.Unsent)))
}

// logAction logs and counts an action that was performed.
func (d *duties) logAction(a duty.Action, o duty.Outcome, err error) {
	d.scope.Tagged(map[string]string{"action": string(a.Kind), "outcome": string(o)}).Counter("actions").Inc(1)
	fields := []zap.Field{zap.String("outcome", string(o)), logs.Err(err)}
	if a.Kind == duty.Send {
		d.log.Info("router: Usage was reported.", append(fields, zap.Int64("window", int64(a.Report.Window)), zap.Int64("fence", a.Fence),
			zap.Uint64("requests", a.Report.Counts.Sum()), zap.Int("workspaces", len(a.Report.Counts)))...)
		return
	}
	d.log.Info("router: The record of the duties was asked for.", append(fields, zap.String("action", string(a.Kind)), zap.Stringer("onRevision", a.Record.Revision),
		zap.Int64("settled", int64(a.Record.Settled)), zap.Int("unsent", len(a.Record.Unsent)))...)
}
