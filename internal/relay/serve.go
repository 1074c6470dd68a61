// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/poison"
)

// Serve answers a request and returns once it has ended. It panics with http.ErrAbortHandler where
// an answer has to be aborted after a part of it was sent.
func (e *Engine) Serve(ctx context.Context, w http.ResponseWriter, r *Request) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	active := &activeRequest{r: r, cancel: cancel, control: http.NewResponseController(w)}
	e.active.add(active)
	defer e.active.remove(active)
	x := &run{e: e, r: r, w: w, active: active}
	defer x.recoverPanic()
	if e.aborted.Load() {
		// Abort may have listed the requests before this one was added.
		x.closeConn = true
		x.refuse(x.stoppingError(stopError{"it is about to end"}, fault.NotRun))
		return
	}
	if err := x.arrive(ctx); err != nil {
		x.refuse(err)
		return
	}
	x.deadline = r.Deadline
	if t := x.route.Timeout.After(r.Arrived); x.route.Timeout > 0 && (x.deadline.IsZero() || t.Before(x.deadline)) {
		x.deadline = t
	}
	if x.deadline.IsZero() {
		x.deadline = defaultTimeout.After(r.Arrived)
	}
	ctx, release := context.WithDeadline(ctx, x.deadline)
	defer release()
	x.serve(ctx)
}

// recoverPanic answers a request whose goroutine panicked, unless an answer has begun. The HTTP server would close the
// connection without an answer.
func (x *run) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler {
		panic(v)
	}
	x.e.Log.Error("relay: A request ended in a panic: it is answered with an error.", zap.String("request", x.r.ID), zap.Any("value", v), zap.Stack("stack"))
	err := fault.New(fault.Internal, fault.MayHaveRun, "%s", fault.Internal.Answer().Advice)
	if x.headSent {
		x.log(x.e.Now(), 0, err)
		panic(http.ErrAbortHandler)
	}
	x.refuse(err)
}

// arrive admits the request and reads its body. A request that is refused by its head gets no memory for a body; one that
// is admitted is admitted again once its body was read, as the configuration may have changed.
func (x *run) arrive(ctx context.Context) *fault.Error {
	hasBody := x.r.ReadBody != nil && x.r.BodyLength != 0
	if err := x.lookUp(ctx); err != nil {
		// The rest of the body may still arrive on the caller's connection.
		x.closeConn = hasBody
		return err
	}
	if x.r.ReadBody != nil {
		if err := x.readBody(ctx); err != nil {
			return err
		}
	}
	x.active.setStage(StageArrived)
	if !hasBody {
		return nil
	}
	return x.lookUp(ctx)
}

// lookUp sets route and workspace of the request once the router has a configuration.
func (x *run) lookUp(ctx context.Context) (err *fault.Error) {
	x.e.awaitStart(ctx)
	x.e.awaitResume(ctx)
	x.route, x.workspace, err = x.e.admit(x.r)
	return err
}

// readBody reads the body of the request. After an error the rest of it may still arrive on the caller's
// connection, so that no other request can follow there.
func (x *run) readBody(ctx context.Context) *fault.Error {
	err := x.r.ReadBody(ctx)
	x.closeConn = err != nil
	if s, stopped := stopReason(ctx); stopped && err != nil {
		return x.stoppingError(s, fault.NotRun)
	}
	return err
}

const (
	// startTimeout is how long after its start a router holds requests while it has no
	// configuration or no list of endpoints. It needs a few hundred milliseconds to get them, and a
	// caller that is refused may have no other attempt left.
	startTimeout = config.Span(1500 * time.Millisecond)
	// startPollInterval is how often a held request checks whether the router is ready.
	startPollInterval = config.Span(10 * time.Millisecond)
)

// awaitStart returns once the router has configuration and endpoints, or startTimeout has passed.
func (e *Engine) awaitStart(ctx context.Context) {
	if e.initialized.Load() {
		return
	}
	for until := startTimeout.After(e.startedAt); ctx.Err() == nil && e.Now().Before(until); {
		if e.table.Load() != nil && e.EndpointsListed() {
			e.initialized.Store(true)
			return
		}
		tasks.Pause(ctx, startPollInterval.After(time.Now()))
	}
}

// defaultTimeout is the timeout of a request without any deadline. Callers are expected to wait for
// 25 s at most.
const defaultTimeout = config.Span(60 * time.Second)

// admit returns the route and the workspace of a request, or why it is not served. It denies that a
// route or a key exists only while the table is known to be current.
func (e *Engine) admit(r *Request) (*Route, *Workspace, *fault.Error) {
	t := e.table.Load()
	now := e.Now()
	if t == nil {
		return nil, nil, fault.New(fault.StaleSettings, fault.NotRun, "The router knows no configuration yet.").WithRetryAt(retryDelay.After(now))
	}
	if r.ID == "" {
		return nil, nil, fault.New(fault.BadRequest, fault.NotRun, "The request has no ID.")
	}
	if t.Bounds.MaxBody > 0 && max(int64(len(r.Body)), r.BodyLength) > int64(t.Bounds.MaxBody) {
		return nil, nil, fault.New(fault.TooLarge, fault.NotRun, "The body has more than %d bytes.", t.Bounds.MaxBody)
	}
	age := e.age(now)
	route, err := t.find(r, age <= time.Duration(e.limits.Load().ConfigWithin), now)
	if err != nil {
		return route, nil, err
	}
	if e.refusesWhileStopping(route, r, now) {
		return route, nil, fault.New(fault.Stopping, fault.NotRun, "The router is stopping.").WithRetryAt(now)
	}
	if !t.RequiresKey() || route.Anonymous {
		return route, nil, nil
	}
	ws, err := e.workspaceOf(t, r, age, now)
	return route, ws, err
}

// workspaceOf returns the workspace of a request's API key, or why it is not served. age is the age of the table.
func (e *Engine) workspaceOf(t *Table, r *Request, age time.Duration, now time.Time) (*Workspace, *fault.Error) {
	if maxAge := e.maxConfirmAge(); maxAge > 0 && age > maxAge {
		return nil, fault.New(fault.StaleSettings, fault.NotRun, "The API keys were last confirmed %d ms ago.", age.Milliseconds()).WithRetryAt(retryDelay.After(now))
	}
	ws := t.ByKey(r.Key)
	if ws == nil {
		known := age <= time.Duration(e.limits.Load().ConfigWithin) && !t.LacksWorkspaces
		return nil, denied(known, fault.Unauthorized, now, "The API key is not known.")
	}
	return ws, nil
}

// find returns the route of a request, or why it is not served. known says that the table is known to be current.
func (t *Table) find(r *Request, known bool, now time.Time) (*Route, *fault.Error) {
	route := t.Match(r.Host, r.Path)
	switch {
	case route == nil:
		return nil, denied(known && !t.LacksRoutes, fault.NotFound, now, "No route of this host begins the path.")
	case route.Unreadable:
		return route, fault.New(fault.StaleSettings, fault.NotRun, "The configuration of the route could not be read.").WithRetryAt(retryDelay.After(now))
	default:
		return route, nil
	}
}

// denied returns an error of kind k if the table is known to be current. Otherwise it returns one
// that asks the caller to come back.
func denied(known bool, k fault.Kind, now time.Time, message string) *fault.Error {
	if known {
		return fault.New(k, fault.NotRun, "%s", message)
	}
	return fault.New(fault.StaleSettings, fault.NotRun, "%s The configuration may be old.", message).WithRetryAt(retryDelay.After(now))
}

// retryDelay is when a caller is asked to come back if no better time is known. A refused caller
// that is served within its aim still earns half, and aims start at 100 ms.
const retryDelay = config.Span(150 * time.Millisecond)

// httpStatus returns the HTTP status of an error. It returns a status that says that the request
// has not run only if that is certain.
func httpStatus(err *fault.Error) int {
	s := err.Kind.Answer().Status
	if s < 500 {
		return s
	}
	switch {
	case err.Run == fault.NotRun:
		return http.StatusServiceUnavailable
	case err.Kind == fault.DeadlinePassed:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// refuse answers the request with an error. No part of an answer may have been sent.
func (x *run) refuse(err *fault.Error) {
	now := x.e.Now()
	h := x.w.Header()
	clear(h)
	code := httpStatus(err)
	body, _ := json.Marshal(fault.Body{Error: err})
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if !err.RetryAt.IsZero() {
		h.Set("Retry-After", strconv.FormatFloat(max(err.RetryAt.Sub(now).Seconds(), 0.01), 'f', 3, 64))
	}
	x.closeWhenNeeded()
	x.w.WriteHeader(code)
	if _, e := x.w.Write(body); e != nil {
		x.e.Log.Debug("relay: The error response could not be written, as the caller has disconnected.", zap.String("request", x.r.ID), zap.Error(e))
	}
	x.log(now, code, err)
}

// closeWhenNeeded asks the caller to open another connection if the router is stopping, or if the present one can't
// be used any more.
func (x *run) closeWhenNeeded() {
	if x.closeConn || x.r.CloseConn || x.e.stopping.Load() {
		x.w.Header().Set("Connection", "close")
	}
}

// log writes the request's log lines, one for each attempt and one for its end, and updates its
// metrics.
func (x *run) log(now time.Time, code int, err *fault.Error) {
	e := x.e
	name, kind := "", "whole"
	if x.route != nil {
		name = x.route.Name
	}
	if err != nil {
		kind = string(err.Kind)
	}
	e.metrics.count("requests", name, kind)
	x.countMoved(err)
	e.metrics.time("request", name, now.Sub(x.r.Arrived))
	x.countBodyEnds()
	if !e.logLimits.allow(now, err != nil, e.stopping.Load()) && !(x.endsUnannounced() && e.logLimits.unannounced.AllowN(now, 1)) {
		e.metrics.count("unlogged_requests", name, kind)
		return
	}
	for i := range x.records {
		e.Log.Info("relay: An attempt has ended.", x.records[i].fields(x.r.ID, i+1)...)
	}
	version := int64(0)
	if t := e.table.Load(); t != nil {
		version = t.Version
	}
	workspace := ""
	if x.workspace != nil {
		workspace = x.workspace.Name
	}
	fields := x.contentionFields()
	if err != nil {
		fields = append(fields, x.active.workFields(now)...)
	}
	e.Log.Info("relay: A request has ended.", append(fields, zap.String("request", x.r.ID), zap.String("route", name), zap.Int64("aimMs", x.aim().Milliseconds()), zap.Int64("pauseAimMs", x.pauseAim().Milliseconds()), zap.Int64("headMs", x.timeToHead().Milliseconds()), zap.String("workspace", workspace),
		zap.String("session", x.r.Session), zap.Int("tokensIn", x.r.TokensIn), zap.Int("tokensOut", x.r.TokensOut), zap.Int64("configuration", version), zap.Int64("configurationAgeMs", e.age(now).Milliseconds()),
		zap.Int("status", code), e.fingerprintField(x.r), x.partField(), zap.String("outcome", kind), zap.Int64("tookMs", now.Sub(x.r.Arrived).Milliseconds()), faultField(err), x.stageField(err != nil), e.stoppingField(now), zap.String("told", string(x.told)), zap.String("wholeBy", string(x.wholeBy())), x.room.heldField(), x.room.causeField(), x.room.ageField())...)
}

// fields returns the log fields of attempt n of a request; n starts at 1.
func (t *attemptRecord) fields(request string, n int) []zap.Field {
	f := []zap.Field{zap.String("request", request), zap.Int("attempt", n), zap.String("endpoint", t.Endpoint), zap.Bool("far", t.CrossZone),
		zap.String("version", t.Version), zap.String("model", t.Model), zap.String("why", string(t.Why)), zap.Int64("load", int64(t.Load)),
		zap.Int("unread", t.UnreadTokens), zap.Int64("waitMs", millis(t.Wait)), zap.Int64("readMs", millis(t.ReadTime)), zap.Float64("times", t.PaceFactor),
		zap.Time("at", t.At), zap.Int("status", t.Status), zap.Int("confidence", t.Confidence), zap.Float64("good", round(t.GoodProb)), zap.Float64("keepWorth", round(t.KeepWorth)), zap.Float64("askWorth", round(t.AskWorth)), zap.Int64("headMs", t.HeadMillis), zap.Int64("pauseMs", t.PauseMillis), zap.Int("events", t.Events), zap.String("firstEvent", t.FirstEvent), zap.String("lastEvent", t.LastEvent), zap.String("framing", string(t.Framing)), zap.String("bodyEnd", string(t.BodyEnd)), zap.Int64("paceUs", t.Pace.Microseconds()), zap.String("weighed", t.CountedAs),
		zap.Int("sentBytes", t.Sent), zap.Int("gotBytes", t.Received), zap.String("outcome", t.Outcome), faultField(t.Err)}
	f = append(append(f, t.End.fields()...), t.leftFields()...)
	f = append(f, t.livenessFields()...)
	if t.Joint {
		f = append(f, zap.Bool("joint", true))
	}
	if t.Limited {
		f = append(f, zap.Float64("limit", t.Limit), zap.Bool("granted", t.Granted))
	}
	if t.PriceCost > 0 {
		f = append(f, zap.Float64("priceCost", round(t.PriceCost)))
	}
	if t.PassedOver == "" {
		return f
	}
	return append(f, zap.String("passed", t.PassedOver), zap.Int64("costMs", millis(t.Cost)), zap.Int64("passedCostMs", millis(t.PassedCost)))
}

// round rounds to three decimal places.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }

// millis converts seconds to whole milliseconds.
func millis(s float64) int64 { return int64(s * 1000) }

// aim returns the route's Aim; 0 without a route.
func (x *run) aim() time.Duration {
	if x.route == nil {
		return 0
	}
	return time.Duration(x.route.Aim)
}

// pauseAim returns the route's EventAim; 0 without a route.
func (x *run) pauseAim() time.Duration {
	if x.route == nil {
		return 0
	}
	return time.Duration(x.route.EventAim)
}

// timeToHead returns the time from the request's arrival until a head was sent to the caller; -1 ms
// if none was sent.
func (x *run) timeToHead() time.Duration {
	if x.headAt.IsZero() {
		return -time.Millisecond
	}
	return x.headAt.Sub(x.r.Arrived)
}

// fingerprintField returns the log field of the request's fingerprint. It is skipped unless the
// fingerprint was computed, as happens when an attempt fails or is abandoned.
func (e *Engine) fingerprintField(r *Request) zap.Field {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.fingerprint == (poison.Fingerprint{}) {
		return zap.Skip()
	}
	return zap.Stringer("fingerprint", r.fingerprint)
}

// partField returns the log field of the fingerprint of the part because of which the request was refused. It
// is skipped if there is none.
func (x *run) partField() zap.Field {
	if x.quarantinedBy == (poison.Subject{}) {
		return zap.Skip()
	}
	return zap.Stringer("quarantinedBy", x.quarantinedBy.Fingerprint)
}

func faultField(err *fault.Error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
