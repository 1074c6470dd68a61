// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"fmt"
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
	"github.com/traildrift/traildrift/pkg/roll"
	"github.com/traildrift/traildrift/pkg/sizes"
)

// contend puts the mechanisms for contention in use, apart from those in without.
func contend(e *Engine, without ...Mechanism) {
	l := *e.limits.Load()
	l.Contention, l.Mechanisms.Without = true, without
	e.SetLimits(l)
}

// raisePrice lets the price of a service's engine time see waits of half the target for some seconds.
func raisePrice(e *Engine, service string, d time.Duration) {
	now := e.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for at := now.Add(-d); !at.After(now); at = at.Add(50 * time.Millisecond) {
		e.priceOf(service).price.Observe(at, 0.5)
	}
}

// In a shortage, a weak answer is kept rather than that others wait for the engine time of a better one; in
// calm it is not. Without the mechanism the larger model is asked whatever others wait.
func TestLargerModelIsNotAskedForThePrice(t *testing.T) {
	thresholds := func(e *Engine) {
		l := *e.limits.Load()
		l.Cascade, l.Mechanisms.Cascade = sizes.Policy{Straight: 40, Step: 60}, CascadeFixed
		e.SetLimits(l)
	}
	worth := func(*Engine) {}
	for _, c := range []struct {
		name    string
		way     func(e *Engine)
		in      bool
		without []Mechanism
		load    time.Duration
		want    string
	}{
		{"by worth, calm", worth, true, nil, 0, "small large"},
		{"by worth, short", worth, true, nil, 5 * time.Second, "small"},
		{"by worth, short, no contention", worth, false, nil, 5 * time.Second, "small large"},
		{"by worth, short, switched off", worth, true, []Mechanism{EnginePrice}, 5 * time.Second, "small large"},
		{"by thresholds, calm", thresholds, true, nil, 0, "small large"},
		{"by thresholds, short", thresholds, true, nil, 5 * time.Second, "small"},
		{"by thresholds, short, no contention", thresholds, false, nil, 5 * time.Second, "small large"},
	} {
		got := modelsAsked(t, 15, largerModelCosts(0.18, 0.35), func(e *Engine) {
			if c.in {
				contend(e, c.without...)
			}
			c.way(e)
			if c.load > 0 {
				raisePrice(e, "s", c.load)
			}
		})
		if got != c.want {
			t.Errorf("%s: models asked: got %q, want %q", c.name, got, c.want)
		}
	}
}

// A larger model that was not asked must show in the log and the metrics, and a calm request as before.
func TestPriceIsLoggedAndCounted(t *testing.T) {
	for _, short := range []bool{false, true} {
		core, logs := observer.New(zap.InfoLevel)
		scope := tally.NewTestScope("", nil)
		modelsAsked(t, 15, largerModelCosts(0.18, 0.35), func(e *Engine) {
			e.Log, e.metrics = zap.New(core), newMetrics(scope)
			contend(e)
			if short {
				raisePrice(e, "s", 5*time.Second)
			}
			e.updatePriceGauges()
		})
		attempt := logs.FilterMessage("relay: An attempt has ended.").All()[0].ContextMap()
		end := logs.FilterMessage("relay: A request has ended.").All()[0].ContextMap()
		if _, got := attempt["priceCost"]; got != short {
			t.Errorf("short %v: attempt has priceCost: got %v, want %v", short, got, short)
		}
		if _, got := end["price"]; got != short {
			t.Errorf("short %v: end has price: got %v, want %v", short, got, short)
		}
		counted := counterValue(scope, "larger_models_not_asked", "r")
		if want := map[bool]int64{true: 1}[short]; counted != want {
			t.Errorf("short %v: larger models counted as not asked: got %d, want %d", short, counted, want)
		}
		if got := gaugeValue(scope, "engine_price", "s"); (got > 1) != short {
			t.Errorf("short %v: gauge of the price: got %v, want above 1: %v", short, got, short)
		}
	}
}

// counterValue returns the value of a counter of a route; 0 if there is none.
func counterValue(scope tally.TestScope, name, route string) (n int64) {
	for _, c := range scope.Snapshot().Counters() {
		if strings.HasSuffix(c.Name(), name) && c.Tags()["route"] == route {
			n += c.Value()
		}
	}
	return n
}

// gaugeValue returns the value of a gauge of a service; 0 if there is none.
func gaugeValue(scope tally.TestScope, name, service string) (v float64) {
	for _, g := range scope.Snapshot().Gauges() {
		if strings.HasSuffix(g.Name(), name) && g.Tags()["service"] == service {
			v += g.Value()
		}
	}
	return v
}

// Two routers with different prices each decide for their own requests, and one that has just started has
// price 0: nothing may be shared between engines.
func TestPricesOfRoutersAreIndependent(t *testing.T) {
	one, other := engine(Route{}, nil), engine(Route{}, nil)
	contend(one)
	contend(other)
	raisePrice(one, "s", 5*time.Second)
	one.mu.Lock()
	if got := one.enginePrice("s", one.Now()); got < 1 {
		t.Errorf("price of the router with waits: got %v, want 1 or more", got)
	}
	if got := one.enginePrice("another service", one.Now()); got != 0 {
		t.Errorf("price of another service: got %v, want 0", got)
	}
	one.mu.Unlock()
	other.mu.Lock()
	if got := other.enginePrice("s", other.Now()); got != 0 {
		t.Errorf("price of the other router: got %v, want 0", got)
	}
	other.mu.Unlock()
}

// priceAfter returns the price of a service after two seconds of attempts, ten a second, that were all sent
// a time ago and end with err, or with a head if err is nil. change may change the attempt and its endpoint.
func priceAfter(t *testing.T, r Route, sent time.Duration, err *fault.Error, change func(e *Engine, a *Attempt, p *pool.Endpoint, now time.Time)) float64 {
	t.Helper()
	e := engine(r, nil)
	contend(e)
	now := time.Now()
	e.Now = func() time.Time { return now }
	route := e.table.Load().Match("h", "/")
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		p := e.book.Get("e")
		a := &Attempt{Request: &Request{ID: "x", TokensIn: testTokens}, Endpoint: p.Entry, paceFactor: 1, wait: 0.05, gotHead: err == nil}
		rec := &attemptRecord{Endpoint: p.ID, At: now.Add(-sent)}
		if change != nil {
			change(e, a, p, now)
		}
		if err == nil {
			e.recordAnswer(a, route, sent, now)
		} else {
			e.recordFailure(a, route, err, rec, now)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.enginePrice("s", now)
}

// The price must see the waits that say something of the load, also of attempts that never got a head, as
// the worst waits end so; and no other, as a price without a shortage costs answers for nothing.
func TestWaitsThatCount(t *testing.T) {
	prompts := Route{Kind: Stream, Resume: true, Affinity: true, Aim: config.Span(2 * time.Second)}
	noTarget := prompts
	noTarget.Aim = 0
	plain := Route{Kind: Safe, Aim: config.Span(150 * time.Millisecond)}
	ended := func(k fault.Kind) *fault.Error { return fault.New(k, fault.MayHaveRun, "ended") }
	rejected := fault.New(fault.Overloaded, fault.NotRun, "full")
	answering := func(_ *Engine, _ *Attempt, p *pool.Endpoint, now time.Time) {
		p.Trust.RecordSuccess(now.Add(-10 * time.Millisecond))
	}
	onTrial := func(e *Engine, a *Attempt, _ *pool.Endpoint, _ time.Time) {
		a.Endpoint.Version = "new"
		e.rollouts["s"] = &rollout{trial: roll.Trial{Service: "s", Version: "new", State: roll.Trying}}
	}
	for _, c := range []struct {
		name   string
		r      Route
		sent   time.Duration
		err    *fault.Error
		change func(e *Engine, a *Attempt, p *pool.Endpoint, now time.Time)
		want   bool
	}{
		{"head in time", prompts, 100 * time.Millisecond, nil, nil, false},
		{"late head", prompts, time.Second, nil, nil, true},
		{"late heads after some in time", prompts, time.Second, nil, func(e *Engine, a *Attempt, _ *pool.Endpoint, now time.Time) {
			for range minKnownHeads * (1 - min(len(e.prices), 1)) {
				e.observeWait(a, e.table.Load().Match("h", "/"), 0.03, now.Add(-time.Second))
			}
		}, true},
		{"heads that always take a sixth of the target, with no reading measured", prompts, 340 * time.Millisecond, nil, nil, false},
		{"late head without a target", noTarget, time.Second, nil, nil, false},
		{"late head that was read for as long", prompts, time.Second, nil, func(_ *Engine, a *Attempt, _ *pool.Endpoint, _ time.Time) { a.readTime = 0.95 }, false},
		{"late head of an endpoint that warms up", prompts, time.Second, nil, func(_ *Engine, a *Attempt, _ *pool.Endpoint, _ time.Time) { a.warming = true }, false},
		{"late head as this process stood still", prompts, time.Second, nil, func(e *Engine, _ *Attempt, _ *pool.Endpoint, now time.Time) {
			boot := time.Duration(now.UnixNano())
			e.Boot = func() time.Duration { return boot }
			e.stalls.Tick()
			boot += 2 * minStall
			e.stalls.Tick()
		}, false},
		{"deadline at an endpoint that answers others", prompts, time.Second, ended(fault.DeadlinePassed), answering, true},
		{"silence timeout at an endpoint that answers others", prompts, time.Second, ended(fault.EndpointLost), answering, true},
		{"caller left an endpoint that answers others", prompts, time.Second, ended(fault.CallerGone), answering, true},
		{"endpoint that answers nobody", prompts, time.Second, ended(fault.EndpointLost), nil, false},
		{"endpoint that answers nobody, with a long wait expected", prompts, time.Second, ended(fault.EndpointLost), func(_ *Engine, a *Attempt, _ *pool.Endpoint, _ time.Time) { a.wait = 1 }, true},
		{"failure after the head", prompts, time.Second, ended(fault.EndpointLost), func(e *Engine, a *Attempt, p *pool.Endpoint, now time.Time) {
			answering(e, a, p, now)
			a.gotHead = true
		}, false},
		{"never sent", prompts, time.Second, fault.New(fault.EndpointLost, fault.NotRun, "unsent"), answering, false},
		{"rejected by a full endpoint", prompts, 10 * time.Millisecond, rejected, nil, true},
		{"rejected by an endpoint that leaves", prompts, 10 * time.Millisecond, rejected, func(_ *Engine, _ *Attempt, p *pool.Endpoint, now time.Time) {
			p.RecordNotice(pool.Notice{Leaving: true}, now, now)
		}, false},
		{"version on trial, rejected", prompts, 10 * time.Millisecond, rejected, onTrial, false},
		{"version on trial, deadline", prompts, time.Second, ended(fault.DeadlinePassed), func(e *Engine, a *Attempt, p *pool.Endpoint, now time.Time) {
			onTrial(e, a, p, now)
			answering(e, a, p, now)
		}, false},
		{"plain, version on trial, rejected", plain, 10 * time.Millisecond, rejected, onTrial, false},
		{"plain, late head", plain, time.Second, nil, nil, false},
		{"plain, rejected by a full endpoint", plain, 10 * time.Millisecond, rejected, nil, false},
	} {
		if got := priceAfter(t, c.r, c.sent, c.err, c.change); (got > 0) != c.want {
			t.Errorf("%s: price: got %v, want above 0: %v", c.name, got, c.want)
		}
	}
}

// A route without prompts buys no larger models: endpoints without a free slot must not raise a price that would
// be logged and charged to the prompts of the same service.
func TestPlainRequestsDoNotRaiseThePrice(t *testing.T) {
	for _, waiting := range []int{0, 2} {
		e := engine(Route{Kind: Safe, Aim: config.Span(150 * time.Millisecond)}, func(context.Context, *Attempt) (*Reply, error) {
			return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x")), Length: 1, IDMatches: true, Authenticated: true, LoadReported: true, Running: 4, Waiting: waiting}, nil
		})
		contend(e)
		now := time.Now()
		e.Now = func() time.Time { return now }
		for range 30 {
			now = now.Add(50 * time.Millisecond)
			e.Serve(t.Context(), httptest.NewRecorder(), &Request{ID: "x", Method: "GET", Host: "h", Path: "/", Target: "/", Header: http.Header{}, Arrived: now})
		}
		e.mu.Lock()
		if got := e.enginePrice("s", now); got != 0 {
			t.Errorf("4 of 4 slots taken, %d waiting: price: got %v, want 0", waiting, got)
		}
		e.mu.Unlock()
	}
}

// workspaceEngine returns an engine with workspaces "large" and "small", and a function that serves a request with
// the key of one. short says that requests wait. The ranks of all attempts are added to ranks.
func workspaceEngine(t *testing.T, r Route, short bool, ranks *[]int) (*Engine, func(key string)) {
	t.Helper()
	e := engine(r, func(_ context.Context, a *Attempt) (*Reply, error) {
		*ranks = append(*ranks, a.Rank)
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("id: 1\ndata: x\n\n")), Length: -1, IDMatches: true, Authenticated: true}, nil
	})
	r.Name, r.Host, r.Prefix, r.Backends, r.Anonymous = "r", "h", "/", []Backend{{"s", 1}}, false
	e.SetTable(NewTable(2, Bounds{}, []Route{r}, []Workspace{{Name: "large", Keys: []string{"largeKey"}}, {Name: "small", Keys: []string{"smallKey"}}}))
	now := e.Now()
	if short {
		raisePrice(e, "s", 5*time.Second)
	}
	return e, func(key string) {
		e.Serve(t.Context(), httptest.NewRecorder(), &Request{ID: "x", Method: "GET", Host: "h", Path: "/", Target: "/", Header: http.Header{}, Key: key, Arrived: now,
			Prefix: []string{"shared", "own"}, PrefixTokens: []int{0, testTokens}, TokensIn: testTokens})
	}
}

// The price decides about larger models only: a shortage must not change the rank of a request at its endpoint, also
// not that of a workspace that sends nearly all requests. A stricter rule made large workspaces late, see
// docs/design/workspace-shares.md.
func TestPriceLeavesRanks(t *testing.T) {
	prompts := Route{Kind: Stream, Resume: true, Affinity: true, Rank: 1, Aim: config.Span(2 * time.Second)}
	plain := Route{Kind: Safe, Rank: 1, Aim: config.Span(2 * time.Second)}
	for _, c := range []struct {
		name      string
		r         Route
		in, short bool
		without   []Mechanism
		want      int
	}{
		{"short prompt, short", prompts, true, true, nil, 0},
		{"short prompt in calm", prompts, true, false, nil, 0},
		{"short prompt, no contention", prompts, false, true, nil, 0},
		{"prompt that does not go first, short", prompts, true, true, []Mechanism{ShortFirst}, 2},
		{"prompt that does not go first, in calm", prompts, true, false, []Mechanism{ShortFirst}, 2},
		{"prompt that does not go first, no contention", prompts, false, true, []Mechanism{ShortFirst}, 2},
		{"plain request, short", plain, true, true, nil, 1},
		{"plain request, no contention", plain, false, true, nil, 1},
	} {
		var ranks []int
		e, serve := workspaceEngine(t, c.r, c.short, &ranks)
		contend(e, c.without...)
		if !c.in {
			l := *e.limits.Load()
			l.Contention = false
			e.SetLimits(l)
		}
		for range 50 {
			serve("largeKey")
		}
		serve("smallKey")
		if len(ranks) != 51 {
			t.Errorf("%s: attempts: got %d, want 51", c.name, len(ranks))
		}
		for i, got := range ranks {
			if got != c.want {
				t.Errorf("%s: rank of request %d: got %d, want %d", c.name, i, got, c.want)
				break
			}
		}
	}
}

// Where the mechanisms are not in use, no state of theirs may come into being and no request may be
// treated differently.
func TestNoStateWithoutContention(t *testing.T) {
	var ranks []int
	e, serve := workspaceEngine(t, Route{Kind: Stream, Resume: true, Affinity: true, Rank: 2, Aim: config.Span(2 * time.Second)}, true, &ranks)
	clear(e.prices)
	serve("largeKey")
	serve("smallKey")
	e.recordFailure(&Attempt{Request: &Request{ID: "x"}, Endpoint: e.book.Get("e").Entry}, e.table.Load().Match("h", "/"), fault.New(fault.Overloaded, fault.NotRun, "full"), &attemptRecord{At: e.Now()}, e.Now())
	if len(e.prices) != 0 {
		t.Errorf("services with state: got %d, want 0", len(e.prices))
	}
	if len(ranks) != 2 || ranks[0] != 0 || ranks[1] != 0 {
		t.Errorf("ranks of short prompts: got %v, want [0 0]", ranks)
	}
}

// Where engines are lost, the rest get all prompts: what one delays is counted by those that get work.
// Without the mechanism all count, as before.
func TestPromptRateCountsServingEndpoints(t *testing.T) {
	for _, in := range []bool{false, true} {
		e := engine(Route{Kind: Stream, Affinity: true, Aim: config.Span(time.Second)}, nil)
		if in {
			contend(e)
		}
		now := time.Now()
		for i := range 3 {
			e.PutEndpoint(pool.Entry{ID: fmt.Sprint("lost", i), Service: "s", Slots: 4, Revision: 1})
			e.book.Get(fmt.Sprint("lost", i)).Trust.RecordFailure(now, true)
		}
		want := 4
		if in {
			want = 1
		}
		e.mu.Lock()
		if got := e.endpointsServing("s", now); got != want {
			t.Errorf("in use %v: endpoints that get work: got %d, want %d", in, got, want)
		}
		e.book.Get("e").Trust.RecordFailure(now, true)
		if got := e.endpointsServing("s", now.Add(servingRefresh/2)); got != want {
			t.Errorf("in use %v: endpoints that get work, counted anew too early: got %d, want %d", in, got, want)
		}
		e.mu.Unlock()
	}
}

// In a shortage the larger models are left to urgent requests: first by the rank of the workspace, then by
// that of the route.
func TestPriceRank(t *testing.T) {
	last := -1
	for _, c := range []struct {
		workspace *Workspace
		rank      int
	}{{nil, 0}, {&Workspace{}, 1}, {&Workspace{Rank: 1}, 0}, {&Workspace{Rank: 1}, 1}, {&Workspace{Rank: 40}, 0}} {
		x := &run{route: &Route{Rank: c.rank}, workspace: c.workspace}
		got := x.priceRank()
		if got <= last || got > maxRank {
			t.Errorf("%v, rank %d: got %d, want above %d and %d at most", c.workspace, c.rank, got, last, maxRank)
		}
		last = got
	}
}

func BenchmarkPriceCost(b *testing.B) {
	e := engine(Route{Kind: Stream, Affinity: true, Aim: config.Span(time.Second)}, nil)
	contend(e)
	raisePrice(e, "s", 5*time.Second)
	x := &run{e: e, r: &Request{TokensIn: 100}, route: e.table.Load().Match("h", "/"), service: "s", workspace: &Workspace{Rank: 1}}
	now := e.Now()
	b.ReportAllocs()
	for range b.N {
		now = now.Add(time.Millisecond)
		if x.priceCost(0.1, now) < 0 {
			b.Fatal("cost below 0")
		}
	}
}

// The gauges must follow the price while no request comes that would ask for it.
func TestMaintenanceUpdatesPriceGauges(t *testing.T) {
	e := engine(Route{}, nil)
	scope := tally.NewTestScope("", nil)
	e.metrics = newMetrics(scope)
	contend(e)
	raisePrice(e, "s", 5*time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 3*maintenanceInterval)
	defer cancel()
	if err := e.RunMaintenance(ctx); err != nil {
		t.Fatal(err)
	}
	if price, wait := gaugeValue(scope, "engine_price", "s"), gaugeValue(scope, "engine_wait", "s"); price < 1 || wait < 0.1 {
		t.Errorf("gauges of price and mean wait: got %v and %v, want 1 or more and 0.1 or more", price, wait)
	}
}
