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

// Guards against decisions that look at the silence of an endpoint alone: what another one brings the caller by the time
// left, whether the present one is alive, and that a stop cuts what has begun all count.
func TestSilentEndpointIsLeftOnlyForBetter(t *testing.T) {
	sure := outlook{next: "f", nextProb: 1, laterProb: 0.3, stayProb: 0.5, known: true}
	unsure := sure
	unsure.nextProb = 0.6
	worse := sure
	worse.nextProb = 0.4
	stop := func(o outlook) outlook { o.begun, o.stopping = true, true; return o }
	later := stop(sure)
	later.laterProb = 1
	unknown := stop(sure)
	unknown.known = false
	for _, c := range []struct {
		name  string
		o     outlook
		alive Liveness
		want  string
	}{
		{"another ends it for certain", sure, "", ""},
		{"no other endpoint", outlook{stayProb: 0.5}, "", keptNoOther},
		{"too late for any other", outlook{next: "f"}, LivenessUnknown, keptNoOther},
		{"another may end it", unsure, "", keptUnchecked},
		{"another may end it, alive", unsure, Alive, keptAlive},
		{"another may end it, held", unsure, Held, ""},
		{"another may end it, refused", unsure, Ended, ""},
		{"another will hardly end it, held", worse, Held, keptTimeLeft},
		{"another will hardly end it, lost", worse, LivenessUnknown, ""},
		{"in a stop", stop(sure), "", keptUnchecked},
		{"in a stop, alive", stop(sure), Alive, keptAlive},
		{"in a stop, held, at the last time to leave", stop(sure), Held, ""},
		{"in a stop, held, with time to leave later", later, Held, keptTimeLeft},
		{"in a stop, held, nothing known", unknown, Held, keptTimeLeft},
		{"in a stop, lost", later, LivenessUnknown, ""},
	} {
		if got := c.o.keeps(c.alive); got != c.want {
			t.Errorf("%s: kept: got %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against an expected head that ignores attempts that already wait for longer at the endpoint.
func TestWaitingAttemptsDelayTheNext(t *testing.T) {
	e := engine(streamRoute, nil)
	e.PutEndpoint(pool.Entry{ID: "f", Service: "s", Slots: 4, Revision: 1})
	now := time.Now()
	e.inFlight[pool.HashOf("f")] = &inFlight{requests: []*sentRequest{{attempt: &Attempt{}, sentAt: now.Add(-3 * time.Second)}, {attempt: &Attempt{}, sentAt: now.Add(-9 * time.Second), headAt: now}}}
	x := &run{e: e, route: e.table.Load().Match("h", "/"), service: "s", r: &Request{Arrived: now}, deadline: now.Add(4 * time.Second)}
	p := &progress{endpoint: "e", sentAt: now.Add(-time.Second)}
	x.tried = []string{"e"}
	e.mu.Lock()
	defer e.mu.Unlock()
	o := x.newLeaving(&Attempt{hash: pool.HashOf("e")}, p).outlook(now)
	if o.next != "f" || o.nextHead != 3*time.Second || o.nextProb >= sureProb {
		t.Errorf("outlook: got head at %q after %v with probability %.2f, want at f after 3s, less than %v", o.next, o.nextHead, o.nextProb, sureProb)
	}
}

// Guards against a rest of a stream that counts as nothing as long as no stream of the route has ended: another endpoint then
// seems to end it in time for certain.
func TestRestOfFirstStreamIsNotNothing(t *testing.T) {
	e := engine(streamRoute, nil)
	e.PutEndpoint(pool.Entry{ID: "f", Service: "s", Slots: 4, Revision: 1})
	now := time.Now()
	for left, want := range map[time.Duration]string{20 * time.Second: "", 3 * time.Second: keptUnchecked} {
		x := &run{e: e, route: e.table.Load().Match("h", "/"), service: "s", r: &Request{Arrived: now}, deadline: now.Add(left), tried: []string{"e"}}
		p := &progress{endpoint: "e", sentAt: now.Add(-3 * time.Second)}
		p.hear(now.Add(-time.Second), 5, true)
		e.mu.Lock()
		o := x.newLeaving(&Attempt{hash: pool.HashOf("e")}, p).outlook(now)
		e.mu.Unlock()
		if got := o.keeps(""); got != want || o.known {
			t.Errorf("%v left after 2 s of events: kept: got %q with probability %.2f elsewhere, want %q", left, got, o.nextProb, want)
		}
	}
}
