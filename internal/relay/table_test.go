// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/pool"
)

func TestMatch(t *testing.T) {
	table := NewTable(1, Bounds{}, []Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "B.example", Prefix: "/x/"},
	}, nil)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/z", "short"},
		{"a.example", "/x", "root"},
		{"A.Example:8080", "/x/", "short"},
		{"b.example", "/x/y/", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: got %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestBackendsByWeight(t *testing.T) {
	r := Route{Backends: []Backend{{"a", 90}, {"b", 10}}}
	got := make(map[string]int)
	for d := range uint64(1000) {
		got[r.drawBackend(d)]++
	}
	if got["a"] != 900 || got["b"] != 100 {
		t.Errorf("draws: got %v, want a 900, b 100", got)
	}
}

// engine returns an engine with one route to one endpoint, whose attempts send answers.
func engine(r Route, send Send) *Engine {
	e := New(zap.NewNop(), tally.NoopScope, Limits{RetryRatio: 1, RetrySlack: 100, RetryWindow: config.Span(10 * time.Second), ConfigWithin: config.Span(time.Hour)})
	e.Send, e.EndpointsListed = send, func() bool { return true }
	e.ConfirmedAt = time.Now
	r.Name, r.Host, r.Prefix, r.Backends, r.Anonymous = "r", "h", "/", []Backend{{"s", 1}}, true
	e.SetTable(NewTable(1, Bounds{}, []Route{r}, nil))
	e.PutEndpoint(pool.Entry{ID: "e", Service: "s", Slots: 4, Revision: 1})
	return e
}

// serveOnce serves a request whose attempts all fail with err. It returns the HTTP status and the
// number of attempts.
func serveOnce(t *testing.T, r Route, err *fault.Error) (status, sent int) {
	e := engine(r, func(context.Context, *Attempt) (*Reply, error) { sent++; return nil, err })
	w := httptest.NewRecorder()
	e.Serve(t.Context(), w, &Request{ID: "x", Method: "POST", Host: "h", Path: "/", Target: "/", Header: http.Header{}, Arrived: time.Now()})
	return w.Code, sent
}

func TestAttemptsByRunState(t *testing.T) {
	unsent := fault.New(fault.EndpointLost, fault.NotRun, "not sent")
	lost := fault.New(fault.EndpointLost, fault.MayHaveRun, "lost")
	full := fault.New(fault.Overloaded, fault.NotRun, "full")
	for _, c := range []struct {
		name         string
		r            Route
		err          *fault.Error
		status, sent int
	}{
		{"never sent, as often as may be", Route{Kind: Unsafe, MaxAttempts: 1}, unsent, 503, maxTries},
		{"may have run, once", Route{Kind: Unsafe, MaxAttempts: 3}, lost, 502, 1},
		{"may run again", Route{Kind: Safe, MaxAttempts: 3}, lost, 502, 3},
		{"refused", Route{Kind: Unsafe, MaxAttempts: 2}, full, 503, 2},
		{"a stream that may be resumed", Route{Kind: Stream, Resume: true, MaxAttempts: 2}, lost, 502, 2},
		{"a stream that may not", Route{Kind: Stream, MaxAttempts: 2}, lost, 502, 1},
	} {
		status, sent := serveOnce(t, c.r, c.err)
		if status != c.status || sent != c.sent {
			t.Errorf("%s: got %d after %d attempts, want %d after %d", c.name, status, sent, c.status, c.sent)
		}
	}
}
