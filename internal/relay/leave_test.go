// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/pool"
)

// pausing is the body of a stream that sends some events and nothing more until its context is done.
type pausing struct {
	ctx    context.Context
	events int
}

func (p *pausing) Read(b []byte) (int, error) {
	if p.events > 0 {
		p.events--
		return copy(b, piece(1)), nil
	}
	<-p.ctx.Done()
	return 0, context.Cause(p.ctx)
}

func (p *pausing) Close() error { return nil }

// logged returns the fields of the lines with a message.
func logged(logs *observer.ObservedLogs, message string) (list []map[string]any) {
	for _, l := range logs.FilterMessage(message).All() {
		list = append(list, l.ContextMap())
	}
	return list
}

// Guards against logs that do not tell why an endpoint was left, what was expected of the next one, and which endpoint
// was at work when a request was cut.
func TestLogTellsWhyEndpointsAreLeft(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	e := engine(Route{Kind: Stream, Resume: true, MaxAttempts: 2, Aim: config.Span(100 * time.Millisecond), EventAim: config.Span(40 * time.Millisecond)}, func(ctx context.Context, a *Attempt) (*Reply, error) {
		if a.LastEvent != "" {
			<-ctx.Done()
			return nil, fault.New(fault.EndpointLost, fault.MayHaveRun, "cancelled")
		}
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: &pausing{ctx: ctx, events: 1}, Length: -1, IDMatches: true, Authenticated: true}, nil
	})
	e.PutEndpoint(pool.Entry{ID: "f", Service: "s", Slots: 4, Revision: 1})
	e.Log = zap.New(core)
	func() {
		defer func() { _ = recover() }()
		e.Serve(t.Context(), httptest.NewRecorder(), &Request{ID: "x", Method: "POST", Host: "h", Path: "/", Target: "/", Header: http.Header{}, Arrived: time.Now(), Deadline: time.Now().Add(time.Second)})
	}()
	attempts, ends := logged(logs, "relay: An attempt has ended."), logged(logs, "relay: A request has ended.")
	if len(attempts) != 2 || len(ends) != 1 {
		t.Fatalf("lines: got %d of attempts and %d of the end, want 2 and 1", len(attempts), len(ends))
	}
	first, end := attempts[0], ends[0]
	if first["left"] != leftSilent || first["next"] != attempts[1]["endpoint"] || first["quietMs"].(int64) < 60 || first["timeLeftMs"].(int64) <= 0 {
		t.Errorf("first attempt: got %v, want that it was left as silent after 60 ms for %v, with time left", first, attempts[1]["endpoint"])
	}
	if end["atWork"] != attempts[1]["endpoint"] || end["atWorkQuietMs"].(int64) < 500 || end["atWorkEvents"] != int64(0) {
		t.Errorf("end of the request: got %v, want %v at work without an event", end, attempts[1]["endpoint"])
	}
}

// Guards against logs of a stop that grow with the number of requests that it cuts.
func TestLogOfAttemptsIsBoundedInAStop(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	e := engine(Route{Kind: Stream, Resume: true, MaxAttempts: 1}, func(ctx context.Context, _ *Attempt) (*Reply, error) {
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: &pausing{ctx: ctx, events: 1}, Length: -1, IDMatches: true, Authenticated: true}, nil
	})
	e.Log = zap.New(core)
	const requests = 2 * (maxStopLogs + failedLogsPerSecond)
	ended := make(chan struct{}, requests)
	for i := range requests {
		go func() {
			defer func() { _ = recover(); ended <- struct{}{} }()
			e.Serve(t.Context(), httptest.NewRecorder(), &Request{ID: fmt.Sprint(i), Method: "POST", Host: "h", Path: "/", Target: "/", Header: http.Header{}, Arrived: time.Now()})
		}()
	}
	for answering := 0; answering < requests; <-time.After(time.Millisecond) {
		answering = 0
		for _, q := range e.active.list() {
			if q.loadStage() == StageAnswering {
				answering++
			}
		}
	}
	e.Stop(time.Now().Add(time.Second))
	e.Abort("test")
	for range requests {
		<-ended
	}
	// Limits are refilled while the test runs.
	const most = maxStopLogs + 2*failedLogsPerSecond
	if got := len(logged(logs, "relay: A request has ended.")); got < maxStopLogs || got > most {
		t.Errorf("lines of cut requests: got %d of %d, want %d to %d", got, requests, maxStopLogs, most)
	}
	if got := int(e.UnloggedStops()) + len(logged(logs, "relay: A request has ended.")); got != requests {
		t.Errorf("cut requests logged and counted: got %d, want %d", got, requests)
	}
}
