// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/finish"
	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/sizes"
)

// streams is a fleet of endpoints whose streams advance the engine's clock as they are read.
type streams struct {
	e *Engine
	// now is the time of the engine's clock.
	now time.Time
	// events is the number of events of an answer.
	events int
	// gap returns the time before an event of attempt n, from 0 on; breaks, if not nil, reports whether the
	// stream ends there instead.
	gap    func(n, event int) time.Duration
	breaks func(n, event int) bool
	// confidence returns that of an answer; nil for none.
	confidence func(a *Attempt) int
	// sent holds the attempts; open is the number of bodies that are not closed.
	sent []*Attempt
	open int
	logs *observer.ObservedLogs
}

// body is the answer to one attempt.
type body struct {
	s        *streams
	n, event int
}

func (b *body) Read(p []byte) (int, error) {
	b.event++
	if b.event > b.s.events {
		return 0, io.EOF
	}
	b.s.now = b.s.now.Add(b.s.gap(b.n, b.event))
	if b.s.breaks != nil && b.s.breaks(b.n, b.event) {
		return 0, io.ErrUnexpectedEOF
	}
	return copy(p, piece(b.event)), nil
}

func (b *body) Close() error { b.s.open--; return nil }

// newStreams returns engines with endpoints named e, f and so on, whose operator names contention.
func newStreams(t *testing.T, r Route, endpoints int) *streams {
	t.Helper()
	s := &streams{now: time.Now(), events: 100, gap: func(int, int) time.Duration { return 20 * time.Millisecond }}
	s.e = engine(r, func(_ context.Context, a *Attempt) (*Reply, error) {
		if s.open != 0 {
			t.Errorf("attempt %d was sent while an endpoint works on the stream", len(s.sent))
		}
		s.sent = append(s.sent, a)
		s.open++
		last, _ := strconv.Atoi(a.LastEvent)
		confidence := sizes.Unknown
		if s.confidence != nil {
			confidence = s.confidence(a)
		}
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: &body{s, len(s.sent) - 1, last}, Length: -1, IDMatches: true, Authenticated: true, Confidence: confidence}, nil
	})
	for i := 1; i < endpoints; i++ {
		s.e.PutEndpoint(pool.Entry{ID: string(rune('e' + i)), Service: "s", Slots: 4, Revision: 1})
	}
	core, logs := observer.New(zap.InfoLevel)
	s.e.Log, s.logs = zap.New(core), logs
	s.e.Now = func() time.Time { return s.now }
	l := *s.e.limits.Load()
	l.Contention = true
	s.e.SetLimits(l)
	return s
}

// streamRoute is a route whose streams may be moved.
var streamRoute = Route{Kind: Stream, Resume: true, MaxAttempts: 3, Aim: config.Span(3 * time.Second), EventAim: config.Span(2 * time.Second), Timeout: config.Span(time.Minute)}

// teach makes an engine expect answers of so many events with this time between them.
func teach(e *Engine, events int, gap time.Duration) {
	r, g := getOrCreate(e.ends.routes, "r"), getOrCreate(e.ends.gaps, "s")
	for i := range 40 {
		r.lengths.Add(0, events+events*(i%5-2)/20)
		l := finish.Load{Runs: i % 4, Pace: 1}
		g.AddShortest(l, gap.Seconds())
		g.AddMean(l, gap.Seconds())
		r.calibration.AddGap(0)
	}
}

// serve serves a request that the caller abandons after timeout and returns its answer. The answer may break off.
func (s *streams) serve(t *testing.T, timeout time.Duration, change func(r *Request)) string {
	t.Helper()
	w := httptest.NewRecorder()
	r := &Request{ID: "x", Method: "POST", Host: "h", Path: "/", Target: "/", Header: http.Header{}, Arrived: s.now, Deadline: s.now.Add(timeout)}
	if change != nil {
		change(r)
	}
	func() {
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				panic(p)
			}
		}()
		s.e.Serve(t.Context(), w, r)
	}()
	return w.Body.String()
}

// pieces returns the events from 1 to n.
func pieces(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(piece(i + 1))
	}
	return b.String()
}

// slowFirst makes the endpoint of the first attempt four tenths of a second slow after some events.
func slowFirst(n, event int) time.Duration {
	if n == 0 && event > 5 {
		return 400 * time.Millisecond
	}
	return 20 * time.Millisecond
}

// A stream at an endpoint that turns slow, so that it would not end in time, must be moved once, resumed after its
// last event, and never return. It must stay where the move would break the retry budget or the limit of attempts,
// where it ends in time anyway or would not end elsewhere either, where the router stops, and where the mechanism is
// not in use: each of these moves would cost more than it gains.
func TestStreamIsMovedOnce(t *testing.T) {
	none := func(*streams) {}
	limits := func(change func(l *Limits)) func(s *streams) {
		return func(s *streams) {
			l := *s.e.limits.Load()
			change(&l)
			s.e.SetLimits(l)
		}
	}
	for _, c := range []struct {
		name   string
		route  func(r *Route)
		change func(s *streams)
		data   bool
		want   int
	}{
		{"moved", nil, none, true, 2},
		{"without data", nil, none, false, 1},
		{"budget used up", nil, limits(func(l *Limits) { l.RetryRatio, l.RetrySlack = 0, 0 }), true, 1},
		{"attempts used up", func(r *Route) { r.MaxAttempts = 1 }, none, true, 1},
		{"not resumable", func(r *Route) { r.Resume = false }, none, true, 1},
		{"calm", nil, func(s *streams) { s.gap = func(int, int) time.Duration { return 20 * time.Millisecond } }, true, 1},
		{"somewhat slow", nil, func(s *streams) { s.gap = func(int, int) time.Duration { return 80 * time.Millisecond } }, true, 1},
		{"slow for two seconds", nil, func(s *streams) {
			s.gap = func(n, event int) time.Duration {
				if event > 10 {
					event = 0
				}
				return slowFirst(n, event)
			}
		}, true, 1},
		{"the others are as slow", nil, func(s *streams) {
			s.gap = func(n, event int) time.Duration {
				s.teachSlow(400 * time.Millisecond)
				return slowFirst(n, event)
			}
		}, true, 1},
		{"there is no other endpoint", nil, func(s *streams) {
			for _, id := range []string{"f", "g", "h"} {
				s.e.RemoveEndpoint(id, 2, s.now)
			}
		}, true, 1},
		{"the router stops", nil, func(s *streams) { s.e.Stop(s.now.Add(time.Hour)) }, true, 1},
		{"the new endpoint is slow too", nil, func(s *streams) {
			s.gap = func(_, event int) time.Duration { return slowFirst(0, event) }
		}, true, 2},
		{"no contention", nil, limits(func(l *Limits) { l.Contention = false }), true, 1},
		{"switched off", nil, limits(func(l *Limits) { l.Mechanisms.Without = []Mechanism{EndEstimates} }), true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := streamRoute
			if c.route != nil {
				c.route(&r)
			}
			s := newStreams(t, r, 4)
			s.gap = slowFirst
			if c.data {
				teach(s.e, 100, 20*time.Millisecond)
			}
			c.change(s)
			got := s.serve(t, 15*time.Second, nil)
			if got != pieces(100) {
				t.Errorf("events: got %d bytes, want each event once", len(got))
			}
			s.checkAttempts(t, c.want)
		})
	}
}

// checkAttempts checks that a stream was served by one attempt, or by two of which the first was moved.
func (s *streams) checkAttempts(t *testing.T, want int) {
	t.Helper()
	if len(s.sent) != want {
		t.Fatalf("attempts: got %d, want %d", len(s.sent), want)
	}
	if moved := s.logs.FilterField(zap.Bool("moved", true)).Len(); moved != want-1 {
		t.Errorf("attempts that were moved by the log: got %d, want %d", moved, want-1)
	}
	if want == 2 && (s.sent[1].Endpoint.ID == s.sent[0].Endpoint.ID || s.sent[1].LastEvent == "") {
		t.Errorf("moved from %s to %s after event %q, want another endpoint and the last event", s.sent[0].Endpoint.ID, s.sent[1].Endpoint.ID, s.sent[1].LastEvent)
	}
	if s.open != 0 {
		t.Errorf("attempts that still run: got %d, want none", s.open)
	}
}

// teachSlow makes the engine expect that the streams of all endpoints are as slow.
func (s *streams) teachSlow(gap time.Duration) {
	for _, id := range []string{"e", "f", "g", "h"} {
		r := getOrCreate(s.e.ends.recent, pool.HashOf(id))
		for range 4 {
			r.Add(s.e.ends.gaps["s"], finish.Load{Pace: 1}, gap.Seconds(), s.now)
		}
	}
}

// Where the new endpoint breaks as well, the stream must continue at a third one, or at the second again, but never at
// the endpoint that it was moved from, where it would not end.
func TestNewEndpointBreaks(t *testing.T) {
	// Endpoints are drawn at random, so that a return shows in one of a few plays.
	for i := range 40 {
		endpoints := 2 + i%2*2
		s := newStreams(t, streamRoute, endpoints)
		teach(s.e, 100, 20*time.Millisecond)
		s.gap = slowFirst
		s.breaks = func(n, event int) bool { return n == 1 && event == 60 }
		got := s.serve(t, 15*time.Second, nil)
		if got != pieces(100) || len(s.sent) != 3 {
			t.Fatalf("%d endpoints: got %d bytes after %d attempts, want each event once after 3", endpoints, len(got), len(s.sent))
		}
		if s.sent[2].Endpoint.ID == s.sent[0].Endpoint.ID {
			t.Errorf("%d endpoints: the stream returned to %s", endpoints, s.sent[0].Endpoint.ID)
		}
		if got := s.sent[2].LastEvent; got != "59" {
			t.Errorf("%d endpoints: resumed after event %s, want 59", endpoints, got)
		}
	}
	s := newStreams(t, streamRoute, 2)
	teach(s.e, 100, 20*time.Millisecond)
	s.gap = slowFirst
	s.breaks = func(n, _ int) bool { return n > 0 }
	if got := s.serve(t, 15*time.Second, nil); got == pieces(100) || len(s.sent) != 3 {
		t.Errorf("all break: got %d bytes after %d attempts, want a part after 3", len(got), len(s.sent))
	}
	s = newStreams(t, streamRoute, 2)
	teach(s.e, 100, 20*time.Millisecond)
	s.gap = slowFirst
	s.breaks = func(n, _ int) bool {
		if n > 0 {
			s.e.RemoveEndpoint(s.sent[n].Endpoint.ID, 2, s.now)
		}
		return n > 0
	}
	if got := s.serve(t, 15*time.Second, nil); got == pieces(100) || len(s.sent) != 2 {
		t.Errorf("the new endpoint is gone: got %d bytes after %d attempts, want a part after 2", len(got), len(s.sent))
	}
}

// A stream must be continued by the same model where that ends in time, and by a smaller one only where the same would
// read the prompt for too long: a smaller model's answer is worth less.
func TestModelOfMovedStream(t *testing.T) {
	for _, c := range []struct {
		read time.Duration
		want string
	}{{100 * time.Millisecond, "large"}, {8 * time.Second, "small"}} {
		r := streamRoute
		r.Sizes = []string{"small", "large"}
		s := newStreams(t, r, 3)
		teach(s.e, 100, 20*time.Millisecond)
		s.gap = func(n, event int) time.Duration {
			if n == 1 && event > 5 {
				return 400 * time.Millisecond
			}
			return 20 * time.Millisecond
		}
		s.confidence = func(a *Attempt) int {
			if a.Model == "small" && a.LastEvent == "" {
				return 10
			}
			return 90
		}
		l := *s.e.limits.Load()
		l.Cascade = sizes.Policy{Straight: 40, Step: 60}
		s.e.SetLimits(l)
		s.e.readSpeeds["small"], s.e.readSpeeds["large"] = readSpeedFor(50*time.Millisecond), readSpeedFor(c.read)
		got := s.serve(t, 15*time.Second, func(r *Request) { r.AnyModel, r.TokensIn = true, testTokens })
		var models []string
		for _, a := range s.sent {
			models = append(models, a.Model)
		}
		if want := "small large " + c.want; strings.Join(models, " ") != want || got != pieces(100) {
			t.Errorf("read in %v: models: got %q and %d bytes, want %q and each event once", c.read, models, len(got), want)
		}
	}
}

// A router that is stopped after it has moved a stream must still pass it on to its end.
func TestRouterStopsAfterMove(t *testing.T) {
	s := newStreams(t, streamRoute, 2)
	teach(s.e, 100, 20*time.Millisecond)
	s.gap = func(n, event int) time.Duration {
		if n == 1 && !s.e.stopping.Load() {
			s.e.Stop(s.now.Add(time.Hour))
		}
		return slowFirst(n, event)
	}
	if got := s.serve(t, 15*time.Second, nil); got != pieces(100) || len(s.sent) != 2 {
		t.Errorf("got %d bytes after %d attempts, want each event once after 2", len(got), len(s.sent))
	}
}

// A larger model must not be asked if its answer can't end before the deadline, as partial work is worth nothing, and
// must be asked if it can. This holds for the choice by worth and for that by fixed thresholds.
func TestLargerModelIsAskedOnlyIfItEnds(t *testing.T) {
	for _, c := range []struct {
		name       string
		read       time.Duration
		gap        time.Duration
		known, off bool
		want       string
	}{
		{"by worth, it ends", 2900 * time.Millisecond, 100 * time.Millisecond, true, false, "small large"},
		{"by worth, it does not end", 2900 * time.Millisecond, 190 * time.Millisecond, true, false, "small"},
		{"by worth, it does not end, switched off", 2900 * time.Millisecond, 190 * time.Millisecond, true, true, "small large"},
		{"by thresholds, it ends", 200 * time.Millisecond, 100 * time.Millisecond, false, false, "small large"},
		{"by thresholds, it does not end", time.Second, 250 * time.Millisecond, false, false, "small"},
		{"by thresholds, it does not end, switched off", time.Second, 250 * time.Millisecond, false, true, "small large"},
	} {
		got := modelsAsked(t, 10, largerModelCosts(0.034, 0.035), func(e *Engine) {
			l := *e.limits.Load()
			l.Contention, l.Cascade.Straight, l.Cascade.Step = true, 40, 60
			if c.off {
				l.Mechanisms.Without = []Mechanism{EndEstimates}
			}
			e.SetLimits(l)
			for _, model := range []string{"middle", "large"} {
				e.readSpeeds[model] = readSpeedFor(c.read)
			}
			if !c.known {
				e.confidences = sizes.ConfidenceStats{}
			}
			teach(e, 100, c.gap)
		})
		if got != c.want {
			t.Errorf("%s: models asked: got %q, want %q", c.name, got, c.want)
		}
	}
}

// Where the mechanism is not in use, nothing may be learned, weighed or logged: other deployments are served as before.
func TestNothingChangesWithoutContention(t *testing.T) {
	r := streamRoute
	r.Affinity = true
	s := newStreams(t, r, 2)
	l := *s.e.limits.Load()
	l.Contention = false
	s.e.SetLimits(l)
	for range 30 {
		s.serve(t, 15*time.Second, func(r *Request) { r.Prefix, r.PrefixTokens, r.LengthHint = []string{"a", "b"}, []int{0, 10}, 100 })
	}
	if n := len(s.e.ends.routes) + len(s.e.ends.gaps) + len(s.e.ends.recent); n != 0 {
		t.Errorf("entries learned: got %d, want none", n)
	}
	if n := s.logs.FilterFieldKey("endMs").Len(); n != 0 {
		t.Errorf("predictions logged: got %d, want none", n)
	}
	teach(s.e, 100, 400*time.Millisecond)
	x := &run{e: s.e, route: s.e.table.Load().Match("h", "/"), deadline: s.now.Add(time.Second), service: "s", r: &Request{Prefix: []string{"a", "b"}, PrefixTokens: []int{0, 10}, TokensIn: 10, Arrived: s.now}}
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	if p, _ := x.pick(s.now); x.unfinishedProb(p, 1, s.now) != 0 {
		t.Error("the end of the answer is estimated")
	}
}

// Predictions that are logged at the head must come true: the median error is under a fifth, and 9 in 10 answers end
// inside the interval, by the log and by the metric: 0.9 to within three standard errors of 500 answers, 0.04.
func TestPredictionsAreCalibrated(t *testing.T) {
	s := newStreams(t, streamRoute, 3)
	scope := tally.NewTestScope("", nil)
	s.e.metrics = newMetrics(scope)
	s.e.logLimits.ended.SetBurst(1 << 20)
	rng := rand.New(rand.NewPCG(6, 6))
	const streams = 500
	for range streams {
		s.events = max(int(40*math.Exp(0.5*rng.NormFloat64())), 3)
		gap := time.Duration(float64(20*time.Millisecond) * math.Exp(0.1*rng.NormFloat64()))
		s.gap = func(int, int) time.Duration { return gap }
		s.serve(t, time.Minute, func(r *Request) {
			r.LengthHint = max(int(10*float64(s.events)*math.Exp(0.12*rng.NormFloat64())), 1)
		})
	}
	var errs []float64
	inside := 0
	for _, entry := range s.logs.FilterFieldKey("endMs").All() {
		f := entry.ContextMap()
		median, low, high, took := f["endMs"].(int64), f["endLowMs"].(int64), f["endHighMs"].(int64), f["tookMs"].(int64)
		errs = append(errs, math.Abs(float64(median-took))/float64(max(took, 1)))
		if took >= low && took <= high {
			inside++
		}
	}
	if len(errs) < streams*9/10 {
		t.Fatalf("predictions: got %d of %d answers", len(errs), streams)
	}
	slices.Sort(errs)
	share := float64(inside) / float64(len(errs))
	t.Logf("median error %.3f, inside %.3f of %d", errs[len(errs)/2], share, len(errs))
	if errs[len(errs)/2] > 0.2 || share < 0.86 || share > 0.94 {
		t.Errorf("got median error %.3f and %.3f inside, want under 0.2 and 0.86 to 0.94", errs[len(errs)/2], share)
	}
	counted := int64(0)
	for name, c := range scope.Snapshot().Counters() {
		if strings.Contains(name, "predicted_ends") {
			counted += c.Value()
		}
	}
	if counted != int64(len(errs)) {
		t.Errorf("ends counted by the metric: got %d, want %d", counted, len(errs))
	}
}

// Time for which the router itself stood still must not be taken for slowness of the endpoint: its streams would be
// moved, and those of others sent elsewhere.
func TestOwnStallIsNotSlowness(t *testing.T) {
	s := newStreams(t, streamRoute, 1)
	teach(s.e, 100, 20*time.Millisecond)
	start := s.now
	s.e.Boot = func() time.Duration { return s.now.Sub(start) }
	s.gap = func(_, event int) time.Duration {
		if event == 60 {
			return 3 * time.Second
		}
		s.e.stalls.Tick()
		return 20 * time.Millisecond
	}
	s.serve(t, 15*time.Second, nil)
	p := s.e.book.Get("e")
	got := math.Exp(s.e.ends.gaps["s"].Log(finish.Load{Pace: 1}, s.e.ends.recent[p.Hash()], s.now))
	if got > 0.025 {
		t.Errorf("expected time between events: got %.3f s, want 0.02", got)
	}
	if n := s.logs.FilterFieldKey("endMs").Len(); n != 1 {
		t.Errorf("predictions logged: got %d, want 1", n)
	}
}

// Operators must see by the metrics how often streams are moved, how these ended, and how often a larger model was not
// asked as its answer would not end.
func TestEndMetrics(t *testing.T) {
	count := func(scope tally.TestScope, name, outcome string) (n int64) {
		for _, c := range scope.Snapshot().Counters() {
			if strings.HasSuffix(c.Name(), name) && c.Tags()["route"] == "r" && c.Tags()["outcome"] == outcome {
				n += c.Value()
			}
		}
		return n
	}
	s := newStreams(t, streamRoute, 2)
	scope := tally.NewTestScope("", nil)
	s.e.metrics = newMetrics(scope)
	teach(s.e, 100, 20*time.Millisecond)
	s.gap = slowFirst
	s.serve(t, 15*time.Second, nil)
	if n := count(scope, "streams_moved", "ended"); n != 1 {
		t.Errorf("moved streams that ended: got %d, want 1", n)
	}
	s.sent, s.breaks = nil, func(n, _ int) bool { return n > 0 }
	s.serve(t, 15*time.Second, nil)
	if n := count(scope, "streams_moved", string(fault.EndpointLost)); n != 1 {
		t.Errorf("moved streams that broke off: got %d, want 1", n)
	}
	scope = tally.NewTestScope("", nil)
	modelsAsked(t, 10, largerModelCosts(0.034, 0.035), func(e *Engine) {
		l := *e.limits.Load()
		l.Contention = true
		e.SetLimits(l)
		e.metrics = newMetrics(scope)
		for _, model := range []string{"middle", "large"} {
			e.readSpeeds[model] = readSpeedFor(2900 * time.Millisecond)
		}
		teach(e, 100, 190*time.Millisecond)
	})
	if n := count(scope, "larger_models_not_asked", "would_not_end"); n != 1 {
		t.Errorf("models not asked: got %d, want 1", n)
	}
}

// Answers that the caller abandons must count as longer than what came, as these are the longest ones. Those that break
// off and are resumed must count once, with their whole length.
func TestLengthsOfBrokenAnswers(t *testing.T) {
	expected := func(s *streams) float64 {
		l, _ := s.e.ends.routes["r"].lengths.Estimate(0)
		return 1 + math.Exp(l.Log)
	}
	s := newStreams(t, streamRoute, 2)
	teach(s.e, 40, 20*time.Millisecond)
	for range 40 {
		ctx, cancel := context.WithCancel(t.Context())
		s.breaks = func(_, event int) bool {
			if event == 80 {
				cancel()
			}
			return event == 80
		}
		func() {
			defer func() { _ = recover() }()
			s.e.Serve(ctx, httptest.NewRecorder(), &Request{ID: "x", Method: "POST", Host: "h", Path: "/", Target: "/", Header: http.Header{}, Arrived: s.now, Deadline: s.now.Add(15 * time.Second)})
		}()
		cancel()
	}
	if got := expected(s); got < 60 {
		t.Errorf("after answers of 79 events and more: expected events: got %.0f, want 60 or more", got)
	}
	s = newStreams(t, streamRoute, 2)
	for range 40 {
		s.sent, s.breaks = nil, func(n, event int) bool { return n == 0 && event == 50 }
		if s.serve(t, 15*time.Second, nil) != pieces(100) {
			t.Fatal("the stream was not resumed")
		}
	}
	if got := expected(s); math.Abs(got-100) > 1 {
		t.Errorf("after resumed answers of 100 events: expected events: got %.1f, want 100", got)
	}
}

// The endpoints for which something is stored are bounded, as they come and go for as long as a router runs.
func TestRecentIsBounded(t *testing.T) {
	s := newStreams(t, streamRoute, 1)
	for i := range maxRecent + 10 {
		s.e.ends.recent[uint64(i)] = new(finish.Recent)
	}
	s.serve(t, 15*time.Second, nil)
	if n := len(s.e.ends.recent); n > maxRecent {
		t.Errorf("entries: got %d, want at most %d", n, maxRecent)
	}
}

// BenchmarkUnfinishedProb measures the estimates of one decision at 64 candidates, which must take under 20 us and
// allocate nothing.
func BenchmarkUnfinishedProb(b *testing.B) {
	e := engine(streamRoute, nil)
	l := *e.limits.Load()
	l.Contention = true
	e.SetLimits(l)
	teach(e, 100, 20*time.Millisecond)
	now := time.Now()
	var list []*pool.Endpoint
	for i := range 64 {
		id := fmt.Sprint("p", i)
		e.PutEndpoint(pool.Entry{ID: id, Service: "s", Slots: 64, Revision: 1})
		p := e.book.Get(id)
		p.Pace.RecordReport(now, 1.2)
		getOrCreate(e.ends.recent, p.Hash()).Add(e.ends.gaps["s"], finish.Load{Pace: 1}, 0.03, now)
		list = append(list, p)
	}
	x := &run{e: e, route: e.table.Load().Match("h", "/"), deadline: now.Add(15 * time.Second), service: "s", r: &Request{}}
	if n := testing.AllocsPerRun(10, func() { x.unfinishedProb(list[0], 0.1, now) }); n > 0 {
		b.Errorf("allocations: got %v, want none", n)
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, p := range list {
			if !(x.unfinishedProb(p, 0.1, now) < 1) {
				b.Fatal("probability out of range")
			}
		}
	}
}
