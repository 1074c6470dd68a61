// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/pool"
)

// shareEngine returns an engine with workspaces "large" and "small" whose requests took a service's
// capacity for some seconds: large demands ten times as much as small. short says that requests wait. The
// ranks of all attempts are added to ranks.
func shareEngine(t *testing.T, r Route, short bool, ranks *[]int) (*Engine, func(key string)) {
	t.Helper()
	e := engine(r, func(_ context.Context, a *Attempt) (*Reply, error) {
		*ranks = append(*ranks, a.Rank)
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("id: 1\ndata: x\n\n")), Length: -1, IDMatches: true, Authenticated: true}, nil
	})
	r.Name, r.Host, r.Prefix, r.Backends, r.Anonymous = "r", "h", "/", []Backend{{"s", 1}}, false
	e.SetTable(NewTable(2, Bounds{}, []Route{r}, []Workspace{{Name: "large", Keys: []string{"largeKey"}}, {Name: "small", Keys: []string{"smallKey"}}}))
	now := e.Now()
	e.mu.Lock()
	l := e.loadOf("s")
	for at := now.Add(-6 * time.Second); at.Before(now); at = at.Add(100 * time.Millisecond) {
		l.shares.AddDemand(at, pool.Hash("large"), 1)
		l.shares.AddDemand(at, pool.Hash("small"), 0.1)
		l.shares.AddServed(at, 0.5)
		if short {
			l.shares.Use(at, pool.Hash("large"), 1)
		}
	}
	e.mu.Unlock()
	if short {
		raisePrice(e, "s", 5*time.Second)
	}
	return e, func(key string) {
		e.Serve(t.Context(), httptest.NewRecorder(), &Request{ID: "x", Method: "GET", Host: "h", Path: "/", Target: "/", Header: http.Header{}, Key: key, Arrived: now,
			Prefix: []string{"shared", "own"}, PrefixTokens: []int{0, testTokens}, TokensIn: testTokens})
	}
}

// A workspace that sends many times its share is served after others in a shortage, also its short prompts,
// which would go first otherwise. Nothing changes for others, in calm, or without the mechanism.
func TestRequestsOverTheirShareAreLessUrgent(t *testing.T) {
	prompts := Route{Kind: Stream, Resume: true, Affinity: true, Rank: 1, Aim: config.Span(2 * time.Second)}
	plain := Route{Kind: Safe, Rank: 1, Aim: config.Span(2 * time.Second)}
	for _, c := range []struct {
		name    string
		r       Route
		in      bool
		short   bool
		without []Mechanism
		key     string
		want    int
	}{
		{"short prompt over its share", prompts, true, true, nil, "largeKey", 1 + overShareRanks + 1},
		{"short prompt within its share", prompts, true, true, nil, "smallKey", 0},
		{"short prompt in calm", prompts, true, false, nil, "largeKey", 0},
		{"short prompt, no contention", prompts, false, true, nil, "largeKey", 0},
		{"short prompt, switched off", prompts, true, true, []Mechanism{WorkspaceShares}, "largeKey", 0},
		{"plain request over its share", plain, true, true, nil, "largeKey", 1 + overShareRanks},
		{"plain request within its share", plain, true, true, nil, "smallKey", 1},
		{"plain request, no contention", plain, false, true, nil, "largeKey", 1},
	} {
		var ranks []int
		e, serve := shareEngine(t, c.r, c.short, &ranks)
		if c.in {
			contend(e, c.without...)
		}
		serve(c.key)
		if len(ranks) != 1 || ranks[0] != c.want {
			t.Errorf("%s: ranks of the attempts: got %v, want [%d]", c.name, ranks, c.want)
		}
	}
}

// An operator must see which requests were over their share, without a metric by workspace; a request
// without a workspace has no share and is never marked.
func TestOverShareIsLoggedAndCounted(t *testing.T) {
	for key, want := range map[string]bool{"largeKey": true, "smallKey": false} {
		var ranks []int
		e, serve := shareEngine(t, Route{Kind: Safe, Aim: config.Span(2 * time.Second)}, true, &ranks)
		core, logs := observer.New(zap.InfoLevel)
		scope := tally.NewTestScope("", nil)
		e.Log, e.metrics = zap.New(core), newMetrics(scope)
		contend(e)
		serve(key)
		end := logs.FilterMessage("relay: A request has ended.").All()[0].ContextMap()
		if _, got := end["overShare"]; got != want {
			t.Errorf("%s: end has overShare: got %v, want %v", key, got, want)
		}
		if got := counterValue(scope, "requests_over_share", "r"); got != map[bool]int64{true: 1}[want] {
			t.Errorf("%s: counted requests over their share: got %d, want 1: %v", key, got, want)
		}
	}
	e := engine(Route{}, nil)
	contend(e)
	raisePrice(e, "s", 5*time.Second)
	x := &run{e: e, r: &Request{}, route: e.table.Load().Match("h", "/"), service: "s"}
	for range 100 {
		x.beginShare(e.Now())
		x.recordDemand(0, 1, e.Now())
	}
	if x.over {
		t.Error("request without a workspace over its share: got true, want false")
	}
}

// A workspace must not lose its share by failures of endpoints: an attempt that is sent again demands
// nothing more, and a request keeps its mark.
func TestRetriesDemandNothing(t *testing.T) {
	var ranks []int
	e, serve := shareEngine(t, Route{Kind: Safe, MaxAttempts: 3, Aim: config.Span(2 * time.Second)}, false, &ranks)
	contend(e)
	e.PutEndpoint(pool.Entry{ID: "e2", Service: "s", Slots: 4, Revision: 1})
	level := func() float64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.loadOf("s").shares.Demand(e.Now(), pool.Hash("small"))
	}
	before := level()
	answer := e.Send
	sent := 0
	e.Send = func(ctx context.Context, a *Attempt) (*Reply, error) {
		if sent++; sent < 3 {
			return nil, fault.New(fault.EndpointLost, fault.MayHaveRun, "lost")
		}
		return answer(ctx, a)
	}
	serve("smallKey")
	if got := level() - before; got < 0.9 || got > 1.1 || sent != 3 {
		t.Errorf("demand of a request with %d attempts: got %v, want about 1 with 3", sent, got)
	}
}

// Where the mechanisms are not in use, no state of theirs may come into being and no request may be
// treated differently.
func TestNoStateWithoutContention(t *testing.T) {
	var ranks []int
	e, serve := shareEngine(t, Route{Kind: Stream, Resume: true, Affinity: true, Rank: 2, Aim: config.Span(2 * time.Second)}, true, &ranks)
	clear(e.loads)
	serve("largeKey")
	serve("smallKey")
	e.recordFailure(&Attempt{Request: &Request{ID: "x"}, Endpoint: e.book.Get("e").Entry}, e.table.Load().Match("h", "/"), fault.New(fault.Overloaded, fault.NotRun, "full"), &attemptRecord{At: e.Now()}, e.Now())
	if len(e.loads) != 0 {
		t.Errorf("services with state: got %d, want 0", len(e.loads))
	}
	if len(ranks) != 2 || ranks[0] != 0 || ranks[1] != 0 {
		t.Errorf("ranks of short prompts: got %v, want [0 0]", ranks)
	}
}

// An answer that came must count as served: a price above 0 alone marks nobody while all that is demanded is
// served, however much one workspace sends.
func TestServedDemandIsNotOverItsShare(t *testing.T) {
	var ranks []int
	e, serve := shareEngine(t, Route{Kind: Safe, Aim: config.Span(2 * time.Second)}, false, &ranks)
	clear(e.loads)
	contend(e)
	now := time.Now()
	e.Now = func() time.Time { return now }
	for i := range 100 {
		now = now.Add(100 * time.Millisecond)
		raisePrice(e, "s", 0)
		e.mu.Lock()
		// Without anything served there is no level.
		e.loadOf("s").shares.AddServed(now, 0.1)
		e.mu.Unlock()
		serve("largeKey")
		if i%10 == 0 {
			serve("smallKey")
		}
	}
	e.mu.Lock()
	if got := e.enginePrice("s", now); got == 0 {
		t.Error("price: got 0, want above 0")
	}
	e.mu.Unlock()
	for i, rank := range ranks {
		if rank != 0 {
			t.Fatalf("rank of request %d: got %d, want 0", i, rank)
		}
	}
}

// Whether a request is over its share must not change while it is tried again, and its attempts use up the
// credit of the workspace only once: failures of endpoints would mark all that follow.
func TestRetriesUseCreditOnce(t *testing.T) {
	var ranks []int
	e, serve := shareEngine(t, Route{Kind: Safe, MaxAttempts: maxTries, Aim: config.Span(2 * time.Second)}, false, &ranks)
	contend(e)
	raisePrice(e, "s", 5*time.Second)
	answer, sent := e.Send, 0
	e.Send = func(ctx context.Context, a *Attempt) (*Reply, error) {
		if sent++; sent%maxTries > 0 {
			return nil, fault.New(fault.EndpointLost, fault.MayHaveRun, "lost")
		}
		return answer(ctx, a)
	}
	// An attempt takes a quarter of a second from a credit of two seconds.
	for range 3 {
		serve("largeKey")
	}
	if len(ranks) != 3 || ranks[2] != 0 {
		t.Errorf("ranks of three requests that were tried %d times: got %v, want three of 0", maxTries, ranks)
	}
	e.Send = func(ctx context.Context, a *Attempt) (*Reply, error) {
		if sent++; sent%maxTries == 1 {
			e.mu.Lock()
			e.loadOf("s").shares.Use(e.Now(), pool.Hash("large"), 1000)
			e.mu.Unlock()
			return nil, fault.New(fault.EndpointLost, fault.MayHaveRun, "lost")
		}
		return answer(ctx, a)
	}
	serve("largeKey")
	if len(ranks) != 4 || ranks[3] != 0 {
		t.Errorf("rank of a request whose workspace used up its credit after the first attempt: got %v, want 0 as before", ranks[3:])
	}
}

// A larger model that is not asked for the price is demand all the same, or the workspace that causes a
// shortage would seem to demand no more than what it gets. It counts once.
func TestUnaskedModelIsDemand(t *testing.T) {
	e := engine(Route{}, nil)
	contend(e)
	now := e.Now()
	x := &run{e: e, r: &Request{}, route: e.table.Load().Match("h", "/"), service: "s", workspace: &Workspace{Name: "w"}}
	e.mu.Lock()
	defer e.mu.Unlock()
	x.recordDemand(0, 0.1, now)
	for range 2 {
		x.recordUnasked(2, 0.5, now)
	}
	if got, want := e.loadOf("s").shares.Demand(now, pool.Hash("w")), 0.6; got != want {
		t.Errorf("demand in seconds: got %v, want %v", got, want)
	}
}

// A stream that breaks off and is resumed must count as served once, as it counts as demand once. Otherwise lost
// endpoints would raise the level, and nobody would be over its share in the shortage that they cause.
func TestResumedStreamIsServedOnce(t *testing.T) {
	r := streamRoute
	s := newStreams(t, r, 2)
	r.Name, r.Host, r.Prefix, r.Backends = "r", "h", "/", []Backend{{"s", 1}}
	s.e.SetTable(NewTable(2, Bounds{}, []Route{r}, []Workspace{{Name: "w", Keys: []string{"key"}}}))
	s.breaks = func(n, event int) bool { return n == 0 && event == 50 }
	if got := s.serve(t, 15*time.Second, func(r *Request) { r.Key = "key" }); got != pieces(100) || len(s.sent) != 2 {
		t.Fatalf("got %d bytes after %d attempts, want each event once after 2", len(got), len(s.sent))
	}
	if first, next := s.sent[0].engineTime, s.sent[1].engineTime; first <= 0 || next != 0 {
		t.Errorf("engine time that counts as served: got %v and %v, want above 0 and 0", first, next)
	}
}
