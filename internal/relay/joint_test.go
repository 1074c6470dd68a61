// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/pool"
)

// jointWorld is an engine with fake endpoints and a clock that only the test moves. Each attempt gets a body that
// the test writes to.
type jointWorld struct {
	t     *testing.T
	e     *Engine
	logs  *observer.ObservedLogs
	scope tally.TestScope
	mu    sync.Mutex
	now   time.Time
	// sent holds the reports of silence that the engine sent, and failed counts those of failed attempts.
	sent   []EndpointReport
	failed int
	// attempts receives each attempt once it has reached its endpoint.
	attempts chan *fakeAttempt
	// accepts says that endpoints accept connections, also those whose streams pause.
	accepts bool
}

// fakeAttempt is an attempt at a fake endpoint. The head is sent once head is closed.
type fakeAttempt struct {
	*Attempt
	head chan struct{}
	body *fakeBody
}

// fakeBody is the body of an answer. Unlike a connection, it returns what was written also after the attempt was
// canceled, as bytes that were received before.
type fakeBody struct {
	ctx    context.Context
	parts  chan string
	closed chan struct{}
	once   sync.Once
	// waiting receives a value each time Read waits for a part.
	waiting chan struct{}
}

func (b *fakeBody) Read(p []byte) (int, error) {
	select {
	case b.waiting <- struct{}{}:
	default:
	}
	select {
	case s, ok := <-b.parts:
		return b.part(p, s, ok)
	case <-b.ctx.Done():
	}
	select {
	case s, ok := <-b.parts:
		return b.part(p, s, ok)
	default:
		return 0, context.Cause(b.ctx)
	}
}

func (b *fakeBody) part(p []byte, s string, ok bool) (int, error) {
	if !ok {
		return 0, io.EOF
	}
	return copy(p, s), nil
}

func (b *fakeBody) Close() error { b.once.Do(func() { close(b.closed) }); return nil }

// jointPause is the longest pause of the tests' route, in real time too long for its timers to fire.
const jointPause = 60 * time.Second

func newJointWorld(t *testing.T, without ...Mechanism) *jointWorld {
	w := &jointWorld{t: t, now: time.Now(), attempts: make(chan *fakeAttempt, 16), scope: tally.NewTestScope("", nil)}
	core, logs := observer.New(zapcore.InfoLevel)
	w.logs = logs
	w.e = engine(Route{Kind: Stream, Resume: true, MaxAttempts: 3, EventAim: config.Span(jointPause), Aim: config.Span(2 * jointPause), Timeout: config.Span(time.Hour)}, nil)
	w.e.Log, w.e.metrics = zap.New(core), newMetrics(w.scope)
	l := *w.e.limits.Load()
	l.Contention, l.Mechanisms.Without = true, without
	w.e.SetLimits(l)
	w.e.Now = w.time
	w.e.RouterCount = func() int { return 5 }
	w.e.ConfirmedAt = w.time
	w.e.SendEndpointReport = func(r EndpointReport) {
		if r.Silent {
			w.sent = append(w.sent, r)
		}
		if r.Failed {
			w.failed++
		}
	}
	w.e.Send = w.send
	w.e.CheckEnded = func(context.Context, pool.Entry) (gone, known bool) { return false, w.accepts }
	w.tick(time.Second)
	return w
}

// addOthers adds endpoints to the one that all attempts were sent to so far.
func (w *jointWorld) addOthers() {
	for i := range 7 {
		w.e.PutEndpoint(pool.Entry{ID: fmt.Sprint("e", i), Service: "s", Slots: 4, Revision: 1})
	}
}

func (w *jointWorld) time() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now
}

// tick moves the clock by d in steps of silenceCheckInterval.
func (w *jointWorld) tick(d time.Duration) {
	for range d / silenceCheckInterval {
		w.mu.Lock()
		w.now = w.now.Add(silenceCheckInterval)
		w.mu.Unlock()
		w.e.checkSilence(w.time())
		w.probe()
	}
}

// probe makes the probes that are due.
func (w *jointWorld) probe() {
	for {
		select {
		case q := <-w.e.silenceProbes:
			w.e.probeSilence(w.t.Context(), q)
		default:
			return
		}
	}
}

func (w *jointWorld) send(ctx context.Context, a *Attempt) (*Reply, error) {
	f := &fakeAttempt{Attempt: a, head: make(chan struct{}), body: &fakeBody{ctx: ctx, parts: make(chan string, 8), closed: make(chan struct{}), waiting: make(chan struct{}, 1)}}
	w.attempts <- f
	select {
	case <-f.head:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: f.body, Length: -1, IDMatches: true, Authenticated: true}, nil
}

// callerAnswer is what a caller gets.
type callerAnswer struct {
	*httptest.ResponseRecorder
	done chan struct{}
}

// request serves a request and returns its first attempt.
func (w *jointWorld) request(id string) (*callerAnswer, *fakeAttempt) {
	out := &callerAnswer{httptest.NewRecorder(), make(chan struct{})}
	go func() {
		defer close(out.done)
		defer func() { _ = recover() }()
		w.e.Serve(w.t.Context(), out, &Request{ID: id, Method: "POST", Host: "h", Path: "/", Target: "/", Header: http.Header{}, Arrived: w.time()})
	}()
	return out, w.next()
}

// next returns the next attempt that reaches an endpoint.
func (w *jointWorld) next() *fakeAttempt {
	select {
	case f := <-w.attempts:
		return f
	case <-time.After(10 * time.Second):
		w.t.Fatal("no attempt within 10 s")
		return nil
	}
}

// none fails if a further attempt was made.
func (w *jointWorld) none() {
	w.t.Helper()
	select {
	case f := <-w.attempts:
		w.t.Errorf("got an attempt at %s, want none", f.Endpoint.ID)
	default:
	}
}

// event sends an event and returns once it was passed on and the router waits for the next.
func (f *fakeAttempt) event(t *testing.T, n int) {
	t.Helper()
	f.await(t)
	f.body.parts <- fmt.Sprintf("id: %d\ndata: x\n\n", n)
	f.await(t)
	// The router has begun another Read, so that it can be awaited again.
	f.body.waiting <- struct{}{}
}

// await returns once the router reads the body.
func (f *fakeAttempt) await(t *testing.T) {
	t.Helper()
	select {
	case <-f.body.waiting:
	case <-time.After(10 * time.Second):
		t.Fatal("the body was not read within 10 s")
	}
}

// finish ends the answer and returns what the caller got.
func (f *fakeAttempt) finish(t *testing.T, out *callerAnswer) string {
	t.Helper()
	close(f.body.parts)
	select {
	case <-out.done:
	case <-time.After(10 * time.Second):
		t.Fatal("the request did not end within 10 s")
	}
	return out.Body.String()
}

func events(ids ...int) (s string) {
	for _, id := range ids {
		s += fmt.Sprintf("id: %d\ndata: x\n\n", id)
	}
	return s
}

// report applies reports of n other routers on the endpoint of an attempt.
func (w *jointWorld) report(f *fakeAttempt, n int) {
	for i := range n {
		w.e.ReceiveEndpointReport(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), EndpointReport{Endpoint: f.hash, Silent: true})
	}
	w.probe()
}

// count returns the value of a counter.
func (w *jointWorld) count(name, route, outcome string) int64 {
	c, ok := w.scope.Snapshot().Counters()["relay."+name+"+outcome="+outcome+",route="+route]
	if !ok {
		return 0
	}
	return c.Value()
}

// checkMoved checks what an alarm with moved attempts leaves behind: log lines, metrics, reports, and an endpoint that
// is ejected.
func (w *jointWorld) checkMoved(f *fakeAttempt, moved int) {
	t := w.t
	t.Helper()
	if w.failed > 0 {
		t.Errorf("reports of failures: got %d, want none: they would eject the endpoint at routers that hear it", w.failed)
	}
	joint := w.logs.FilterMessage("relay: An attempt has ended.").FilterField(zap.Bool("joint", true)).FilterField(zap.String("outcome", outcomeSilent)).Len()
	if joint != moved {
		t.Errorf("attempts that were logged as ended jointly: got %d, want %d", joint, moved)
	}
	found := w.logs.FilterMessage("relay: An endpoint is silent, as several routers observed.").FilterField(zap.String("endpoint", f.Endpoint.ID)).FilterField(zap.Int("moved", moved))
	if found.Len() != 1 || w.count("silent_endpoints", "s", "found") != 1 || w.count("silence_reports", "s", "received") != 2 || w.count("silence_reports", "s", "sent") == 0 {
		t.Errorf("log lines %d, counted %v; want one of each", found.Len(), w.scope.Snapshot().Counters())
	}
	w.e.mu.Lock()
	defer w.e.mu.Unlock()
	if p := w.e.book.Get(f.Endpoint.ID); p.Trust.RecordSilence(w.now) {
		t.Error("the silent endpoint was in use, want it ejected")
	}
}

// Streams at an endpoint that falls silent must be resumed elsewhere before the longest pause, and an attempt that
// waits for its head there must go on elsewhere as well; both at a third of the pause. Late events of the
// silent endpoint must not reach the caller. The failure: they waited for one and a half times the pause.
func TestStreamsOfSilentEndpointAreResumed(t *testing.T) {
	w := newJointWorld(t)
	out, f := w.request("a")
	close(f.head)
	f.event(t, 1)
	waiting, _ := w.request("b")
	w.addOthers()
	w.tick(jointPause / 3)
	if len(w.sent) == 0 || w.sent[0].Endpoint != f.hash || !w.sent[0].OtherZones {
		t.Fatalf("reports while the stream is overdue: got %v, want one on its endpoint to all zones", w.sent)
	}
	w.none()
	w.report(f, 2)
	first, second := w.next(), w.next()
	if first.Request.ID != "a" {
		first, second = second, first
	}
	if first.LastEvent != "1" || first.Endpoint.ID == f.Endpoint.ID || second.Endpoint.ID == f.Endpoint.ID {
		t.Errorf("resumed after event %q at %s, the other request at %s; want after 1, not at %s", first.LastEvent, first.Endpoint.ID, second.Endpoint.ID, f.Endpoint.ID)
	}
	<-f.body.closed
	close(first.head)
	first.event(t, 2)
	if got, want := first.finish(t, out), events(1, 2); got != want {
		t.Errorf("events of the resumed stream: got %q, want %q", got, want)
	}
	close(second.head)
	second.event(t, 1)
	if got, want := second.finish(t, waiting), events(1); got != want {
		t.Errorf("events of the other stream: got %q, want %q", got, want)
	}
	w.checkMoved(f, 2)
}

// An endpoint that comes back while its stream is being moved: what it sends then is dropped, and the stream goes on
// after the last event that was passed on, without a gap or a repeat.
func TestLateEventsOfSilentEndpoint(t *testing.T) {
	w := newJointWorld(t)
	out, f := w.request("a")
	w.addOthers()
	close(f.head)
	f.event(t, 1)
	w.tick(jointPause / 2)
	// The event arrives together with the decision, whichever the router sees first.
	w.e.mu.Lock()
	f.body.parts <- events(2)
	for i := range 2 {
		w.e.silence.Report(w.time(), f.hash, "s", netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}))
	}
	w.e.applyProbe(w.time(), <-w.e.silenceProbes, false)
	w.e.mu.Unlock()
	g := w.next()
	if g.LastEvent != "1" {
		t.Errorf("resumed after event %q, want 1", g.LastEvent)
	}
	close(g.head)
	g.event(t, 2)
	if got, want := g.finish(t, out), events(1, 2); got != want {
		t.Errorf("events: got %q, want %q", got, want)
	}
}

// No attempt may be ended where there is too little evidence, where the router still receives events, where the
// mechanism is not in use, and where the request may not be attempted again: the endpoint may come back.
func TestStreamsThatStay(t *testing.T) {
	for _, c := range []struct {
		name    string
		without []Mechanism
		prepare func(w *jointWorld)
		// events says that events arrive until shortly before the reports of others.
		events  bool
		reports int
	}{
		{name: "one other router", reports: 1},
		{name: "peers unheard"},
		{name: "events still arrive", events: true, reports: 4},
		{name: "connections are accepted", prepare: func(w *jointWorld) { w.accepts = true }, reports: 4},
		{name: "not in use", without: []Mechanism{JointSilence}, reports: 4},
		{name: "no contention", prepare: func(w *jointWorld) {
			l := *w.e.limits.Load()
			l.Contention = false
			w.e.SetLimits(l)
		}, reports: 4},
		{name: "no retry budget", prepare: func(w *jointWorld) {
			l := *w.e.limits.Load()
			l.RetryRatio, l.RetrySlack = 0, 0
			w.e.SetLimits(l)
		}, reports: 4},
		{name: "no attempt left", prepare: func(w *jointWorld) {
			w.e.SetTable(NewTable(2, Bounds{}, []Route{{Name: "r", Host: "h", Prefix: "/", Backends: []Backend{{"s", 1}}, Anonymous: true, Kind: Stream, Resume: true, MaxAttempts: 1, EventAim: config.Span(jointPause)}}, nil))
		}, reports: 4},
		{name: "not resumable", prepare: func(w *jointWorld) {
			w.e.SetTable(NewTable(2, Bounds{}, []Route{{Name: "r", Host: "h", Prefix: "/", Backends: []Backend{{"s", 1}}, Anonymous: true, Kind: Stream, MaxAttempts: 3, EventAim: config.Span(jointPause)}}, nil))
		}, reports: 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newJointWorld(t, c.without...)
			if c.prepare != nil {
				c.prepare(w)
			}
			out, f := w.request("a")
			w.addOthers()
			close(f.head)
			f.event(t, 1)
			w.tick(jointPause / 2)
			want := []int{1, 2}
			if c.events {
				f.event(t, 2)
				want = []int{1, 2, 3}
			}
			w.report(f, c.reports)
			w.tick(time.Second)
			w.none()
			f.event(t, want[len(want)-1])
			if got := f.finish(t, out); got != events(want...) {
				t.Errorf("events: got %q, want %q", got, events(want...))
			}
			if c.without != nil || c.name == "no contention" {
				if len(w.sent) > 0 || len(w.scope.Snapshot().Counters()) > 2 || w.e.silence.Len() > 0 {
					t.Errorf("not in use: got reports %v, counters %v, state of %d endpoints; want none", w.sent, w.scope.Snapshot().Counters(), w.e.silence.Len())
				}
			}
		})
	}
}

// An endpoint that was found silent and is heard again must be trusted at once, and the alarm must be counted as
// false if that is soon.
func TestSilentEndpointIsHeardAgain(t *testing.T) {
	w := newJointWorld(t)
	l := *w.e.limits.Load()
	l.RetryRatio, l.RetrySlack = 0, 0
	w.e.SetLimits(l)
	out, f := w.request("a")
	w.addOthers()
	close(f.head)
	f.event(t, 1)
	w.tick(jointPause / 2)
	w.report(f, 2)
	if got := w.logs.FilterField(zap.Int("kept", 1)).FilterField(zap.Int("moved", 0)).Len(); got != 1 {
		t.Errorf("log lines of the alarm: got %d, want 1", got)
	}
	w.tick(time.Second)
	f.event(t, 2)
	if got := f.finish(t, out); got != events(1, 2) {
		t.Errorf("events: got %q, want %q", got, events(1, 2))
	}
	if w.logs.FilterMessage("relay: A silent endpoint was heard again.").FilterField(zap.Bool("falseAlarm", true)).Len() != 1 || w.count("silent_endpoints", "s", "falseAlarm") != 1 {
		t.Error("heard again: want one log line and one false alarm counted")
	}
	w.e.mu.Lock()
	defer w.e.mu.Unlock()
	if p := w.e.book.Get(f.Endpoint.ID); !p.Trust.RecordSilence(w.now) {
		t.Error("the endpoint that was heard again is ejected, want it trusted")
	}
}

// Without reports of other routers, the timer of each stream still ends it, and it goes on elsewhere. The timer runs in
// real time.
func TestTimerEndsStreamWithoutReports(t *testing.T) {
	w := newJointWorld(t)
	w.e.SetTable(NewTable(2, Bounds{}, []Route{{Name: "r", Host: "h", Prefix: "/", Backends: []Backend{{"s", 1}}, Anonymous: true, Kind: Stream, Resume: true, MaxAttempts: 2, EventAim: config.Span(200 * time.Millisecond), Aim: config.Span(time.Hour)}}, nil))
	out, f := w.request("a")
	w.addOthers()
	close(f.head)
	f.event(t, 1)
	g := w.next()
	close(g.head)
	g.event(t, 2)
	if got := g.finish(t, out); got != events(1, 2) {
		t.Errorf("events: got %q, want %q", got, events(1, 2))
	}
	ended := w.logs.FilterField(zap.String("outcome", outcomeSilent))
	if ended.Len() != 1 || ended.FilterField(zap.Bool("joint", true)).Len() != 0 {
		t.Errorf("attempts ended as silent: got %v, want one that was not ended jointly", ended.All())
	}
}

// A stream that is moved takes one extra attempt from the retry budget, not two: with room for one, it must go on.
func TestMoveTakesOneExtraAttempt(t *testing.T) {
	w := newJointWorld(t)
	l := *w.e.limits.Load()
	l.RetryRatio, l.RetrySlack = 0, 1.5*float64(w.e.RouterCount())/retrySlackShare
	w.e.SetLimits(l)
	out, f := w.request("a")
	w.addOthers()
	close(f.head)
	f.event(t, 1)
	w.tick(jointPause / 3)
	w.report(f, 2)
	g := w.next()
	close(g.head)
	g.event(t, 2)
	if got := g.finish(t, out); got != events(1, 2) {
		t.Errorf("events: got %q, want %q", got, events(1, 2))
	}
}

// An extra attempt that was taken from the retry budget when an attempt was ended, and is not made, must return to
// the budget.
func TestUnusedMoveIsRefunded(t *testing.T) {
	w := newJointWorld(t)
	w.e.mu.Lock()
	defer w.e.mu.Unlock()
	b := w.e.budget("s")
	before := b.Remaining(w.now)
	a := &Attempt{leaving: &leaving{run: run{e: w.e, service: "s"}, paid: b.Take(w.now, 0)}}
	w.e.endObservation(a, w.now)
	w.e.endObservation(a, w.now)
	if got := b.Remaining(w.now); got != before {
		t.Errorf("budget: got %v, want %v", got, before)
	}
}
