// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/pool"
)

// engineAtLimit returns an engine whose share of its endpoint's limit is used up. It counts the attempts that
// the engine sends. onQuery receives the engine's queries to the router that has the rest of the limit.
func engineAtLimit(sent *int, onQuery func(e *Engine, w NoticeMessage)) *Engine {
	e := engine(Route{Kind: Safe, MaxAttempts: 1}, func(context.Context, *Attempt) (*Reply, error) {
		*sent++
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok")), Length: 2, IDMatches: true, Authenticated: true}, nil
	})
	e.book.SetSenders(pool.Senders{Self: 1, All: []uint64{1, 2}})
	p := e.book.Get("e")
	p.RecordSend(time.Now())
	p.RecordNotice(pool.Notice{Limit: pool.Limited, PerSecond: 0.01}, time.Now(), time.Now())
	e.Notifier.QueryLimit = func(w NoticeMessage, _ int, _ uint64) { go onQuery(e, w) }
	return e
}

// A request that exceeds this router's shares of the limits is sent if another router grants it. Otherwise
// it is refused soon, with a time to retry.
func TestRequestIsSentByGrant(t *testing.T) {
	by := netip.MustParseAddr("127.0.0.1")
	answer := func(w NoticeMessage, granted bool) NoticeMessage {
		w.IsAnswer, w.Granted, w.Wait = true, granted, time.Minute
		return w
	}
	for _, c := range []struct {
		name         string
		onQuery      func(e *Engine, w NoticeMessage)
		status, sent int
	}{
		{"granted", func(e *Engine, w NoticeMessage) { e.ReceiveNotice(by, answer(w, true)) }, 200, 1},
		{"granted for another incarnation", func(e *Engine, w NoticeMessage) { w.Incarnation++; e.ReceiveNotice(by, answer(w, true)) }, 503, 0},
		{"not granted", func(e *Engine, w NoticeMessage) { e.ReceiveNotice(by, answer(w, false)) }, 503, 0},
		{"limit lifted", func(e *Engine, w NoticeMessage) { w.Limit = pool.Unlimited; e.ReceiveNotice(by, answer(w, false)) }, 200, 1},
		{"no answer", func(*Engine, NoticeMessage) {}, 503, 0},
	} {
		sent := 0
		e := engineAtLimit(&sent, c.onQuery)
		w := httptest.NewRecorder()
		e.Serve(t.Context(), w, &Request{ID: "x", Method: "GET", Host: "h", Path: "/", Target: "/", Header: http.Header{}, Arrived: time.Now()})
		if w.Code != c.status || sent != c.sent {
			t.Errorf("%s: got status %d after %d attempts, want %d and %d", c.name, w.Code, sent, c.status, c.sent)
		}
		if w.Code == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
			t.Errorf("%s: refused without Retry-After", c.name)
		}
	}
}

// A router grants a request of its share at most once per interval, and none for a limit that was lifted
// or that another incarnation of the endpoint announced.
func TestShareIsGrantedOnce(t *testing.T) {
	e := engine(Route{Kind: Safe}, nil)
	now := time.Now()
	e.Now = func() time.Time { return now }
	e.book.SetSenders(pool.Senders{Self: 1, All: []uint64{1, 2}})
	p := e.book.Get("e")
	const interval = 2 * time.Second
	q := NoticeMessage{Endpoint: p.Hash(), Incarnation: p.Incarnation(), Notice: pool.Notice{Limit: pool.Limited, PerSecond: 1 / interval.Seconds()}}
	if _, all := p.LimitSharers(); !all {
		t.Fatal("limit shared by two routers: this one has no share")
	}
	for _, c := range []struct {
		name    string
		before  func()
		ok      bool
		limit   pool.LimitStatus
		granted bool
	}{
		{"limit unknown so far", func() {}, true, pool.Limited, false},
		{"request available", func() { now = now.Add(2 * interval) }, true, pool.Limited, true},
		{"share used up", func() {}, true, pool.Limited, false},
		{"limit lifted", func() { p.RecordNotice(pool.Notice{Limit: pool.Unlimited}, now.Add(time.Millisecond), now) }, true, pool.Unlimited, false},
		{"another incarnation", func() { q.Incarnation++ }, false, pool.LimitUnspecified, false},
	} {
		c.before()
		w, ok := e.AnswerLimitQuery(q)
		if ok != c.ok || w.Limit != c.limit || w.Granted != c.granted {
			t.Errorf("%s: got %+v, %v, want limit %v, granted %v, %v", c.name, w, ok, c.limit, c.granted, c.ok)
		}
		if waits := w.Limit == pool.Limited; waits != (w.Wait > 0) {
			t.Errorf("%s: got a wait of %v, want more than 0 only for a limited endpoint", c.name, w.Wait)
		}
	}
}

// An attempt whose endpoint is silent is not given up where no other endpoint has room or no retry is left: its answer
// still comes. Guards against an error for a request whose runner named its limit and then answered later than the
// silence timeout, as callers got on a busy machine.
func TestSilenceAtLimitIsEndured(t *testing.T) {
	for _, c := range []struct {
		name  string
		kind  Kind
		spend bool
	}{{"no endpoint with room", Safe, false}, {"no retry left", Safe, true}, {"may not be repeated", Unsafe, false}} {
		attempts := 0
		var e *Engine
		e = engine(Route{Kind: c.kind, MaxAttempts: 3}, func(ctx context.Context, _ *Attempt) (*Reply, error) {
			e.mu.Lock()
			e.book.Get("e").RecordNotice(pool.Notice{Limit: pool.Limited, PerSecond: 0.01}, time.Now(), time.Now())
			for c.spend && e.budget("s").Take(time.Now(), 0) {
				continue
			}
			e.mu.Unlock()
			attempts++
			select {
			case <-time.After(3 * recheckInterval):
				return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody, IDMatches: true, Authenticated: true}, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		})
		w := httptest.NewRecorder()
		e.Serve(t.Context(), w, &Request{ID: "x", Method: "POST", Host: "h", Path: "/", Target: "/", Header: http.Header{}, Arrived: time.Now(), Deadline: time.Now().Add(2 * time.Second)})
		if w.Code != http.StatusOK || attempts != 1 {
			t.Errorf("%s: got status %d after %d attempts, want 200 after one", c.name, w.Code, attempts)
		}
	}
}

// A request that may be repeated and whose endpoint is lost is told when to come back, though no other endpoint has room or no
// retry is left. Guards against callers that wait until their deadline for an endpoint that can't answer any more.
func TestLostEndpointAtLimitNamesRetryTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		spend bool
	}{{"no endpoint with room", false}, {"no retry left", true}} {
		var e *Engine
		e = engine(Route{Kind: Safe, MaxAttempts: 3}, func(ctx context.Context, _ *Attempt) (*Reply, error) {
			e.mu.Lock()
			e.book.Get("e").RecordNotice(pool.Notice{Limit: pool.Limited, PerSecond: 0.01}, time.Now(), time.Now())
			for c.spend && e.budget("s").Take(time.Now(), 0) {
				continue
			}
			e.mu.Unlock()
			<-ctx.Done()
			return nil, ctx.Err()
		})
		e.CheckAlive = func(context.Context, pool.Entry, string) Liveness { return LivenessUnknown }
		e.CheckEnded = func(context.Context, pool.Entry) (gone, known bool) { return false, false }
		w, began := httptest.NewRecorder(), time.Now()
		e.Serve(t.Context(), w, &Request{ID: "x", Method: "POST", Host: "h", Path: "/", Target: "/", Header: http.Header{}, Arrived: began, Deadline: began.Add(20 * time.Second)})
		if took := time.Since(began); w.Code < 500 || w.Header().Get("Retry-After") == "" || took > 10*time.Second {
			t.Errorf("%s: got status %d, Retry-After %q after %v, want an error with Retry-After long before the deadline", c.name, w.Code, w.Header().Get("Retry-After"), took)
		}
	}
}
