// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/pool"
)

// An attempt that fails just as its silence timeout fires must be followed by another one, as the
// caller is still there. The failure: on a busy machine, a request was answered with 499 after one
// attempt. The timeout fired between two reads of the attempt's context, of which the first asked
// for the cause of its end and the second whether it had ended. An end without a cause was then
// taken for the caller having left.
func TestFailureAtSilenceTimeoutIsNotCallerGone(t *testing.T) {
	const passesWithin = 60 * time.Microsecond
	lost := fault.New(fault.EndpointLost, fault.MayHaveRun, "lost")
	var gone atomic.Int64
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 1000 {
				e := engine(Route{Kind: Safe, MaxAttempts: 3}, func(context.Context, *Attempt) (*Reply, error) {
					// The silence timeout of the route is 0, so that it fires about now.
					for until := time.Now().Add(rand.N(passesWithin)); time.Now().Before(until); {
						runtime.Gosched()
					}
					return nil, lost
				})
				w := httptest.NewRecorder()
				e.Serve(t.Context(), w, &Request{ID: "x", Method: "GET", Host: "h", Path: "/", Target: "/", Header: http.Header{}, Arrived: time.Now()})
				if w.Code == 499 {
					gone.Add(1)
				}
			}
		})
	}
	callers.Wait()
	if got := gone.Load(); got > 0 {
		t.Errorf("answers with status 499: got %d, want none", got)
	}
}

// An answer that arrives while this process stands still is read before its endpoint is taken for silent, and an
// endpoint that is silent is left as soon as the process has read what had arrived.
//
// Guards against timers that fire before the sockets are read: a router that stood still for 0.7 s gave up
// attempts whose answers had come. It let sound endpoints rest, sent their requests to others, and lost a
// refusal that asked for rest, so that the endpoint got 23 requests in a rest of 3 s.
func TestStalledProcessReadsAnswersBeforeSilence(t *testing.T) {
	const headTimeout = 50 * time.Millisecond
	for _, c := range []struct {
		name    string
		stalled bool
		// headAt is when the head of the first answer is read after the request was sent.
		headAt       time.Duration
		wantAttempts int64
	}{
		{"readAfterStall", true, headTimeout + resumeDelay/2, 1},
		{"silentAfterStall", true, time.Hour, 2},
		{"silent", false, time.Hour, 2},
	} {
		var boot atomic.Int64
		var attempts atomic.Int64
		e := engine(Route{Kind: Safe, MaxAttempts: 2, Aim: config.Span(2 * headTimeout)}, func(ctx context.Context, _ *Attempt) (*Reply, error) {
			if attempts.Add(1) == 1 {
				if c.stalled {
					boot.Add(int64(time.Second))
				}
				select {
				case <-time.After(c.headAt):
				case <-ctx.Done():
					return nil, fault.New(fault.EndpointLost, fault.MayHaveRun, "cancelled")
				}
			}
			return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody, IDMatches: true, Authenticated: true}, nil
		})
		e.PutEndpoint(pool.Entry{ID: "e2", Service: "s", Slots: 4, Revision: 1})
		e.Boot = func() time.Duration { return time.Duration(boot.Load()) }
		e.stalls.Tick()
		w, began := httptest.NewRecorder(), time.Now()
		e.Serve(t.Context(), w, &Request{ID: "x", Method: "GET", Host: "h", Path: "/", Target: "/", Header: http.Header{}, Arrived: began})
		if w.Code != http.StatusOK || attempts.Load() != c.wantAttempts {
			t.Errorf("%s: got status %d after %d attempts, want 200 after %d", c.name, w.Code, attempts.Load(), c.wantAttempts)
		}
		if got, most := time.Since(began), headTimeout+2*time.Duration(maxResumeWait)+time.Second; got > most {
			t.Errorf("%s: got an answer after %v, want %v at most", c.name, got, most)
		}
	}
}

// A silent endpoint that has started again is not alive for the attempts that were sent to the process before, whatever
// answers its health check.
//
// Guards against a stream that is left to wait at a process that is gone, as the next one answers.
func TestNextIncarnationIsNoSignOfLife(t *testing.T) {
	e := engine(Route{Kind: Stream}, nil)
	p := e.book.Get("e").Entry
	p.StartedAt = time.Unix(1, 0)
	e.PutEndpoint(p)
	s := &silenceTimer{e: e, ctx: t.Context(), attempt: &Attempt{Endpoint: p, hash: pool.HashOf("e")}}
	if got := s.checkAlive(); got != Alive {
		t.Errorf("before the restart: got %s, want %s", got, Alive)
	}
	p.StartedAt = time.Unix(2, 0)
	e.PutEndpoint(p)
	if got := s.checkAlive(); got != LivenessUnknown {
		t.Errorf("after the restart: got %s, want %s", got, LivenessUnknown)
	}
}
