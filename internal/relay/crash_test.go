// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/poison"
	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/room"
)

// crashFixture is an engine with one endpoint; gone is the result of its probes.
type crashFixture struct {
	e    *Engine
	p    pool.Entry
	gone bool
}

func newCrashFixture() *crashFixture {
	s := &crashFixture{e: New(zap.NewNop(), tally.NoopScope, Limits{}), p: pool.Entry{ID: "p", Service: "s"}}
	s.e.CheckEnded = func(context.Context, pool.Entry) (gone, known bool) { return s.gone, true }
	s.e.PutEndpoint(s.p)
	return s
}

// send records an attempt of a request that is identified by its body.
func (s *crashFixture) send(body string) *Attempt {
	a := &Attempt{Request: &Request{ID: body, Body: []byte(body)}, Endpoint: s.p, hash: pool.HashOf(s.p.ID)}
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	s.e.trackSent(a)
	return a
}

// crashes returns the number of crashes counted for an attempt's request.
func (s *crashFixture) crashes(a *Attempt) int {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	return s.e.crashes.Crashes(a.fingerprint())
}

// A crash is not counted for a request whose connection was still being opened when the endpoint was found
// gone, as nothing of it was sent.
//
// If all requests at an endpoint count as running there from the moment at which it is chosen, such requests
// are quarantined: with five requests that crash endpoints, one or two of some 730 others were, for ten
// minutes, in two of three runs. Every third crash counted for them had an age of 0 ms and ended as a
// refused connection: they came to an endpoint that had been gone for half a second, while another attempt
// probed it.
func TestCrashIsNotCountedForUnsentRequest(t *testing.T) {
	s := newCrashFixture()
	dropped, running, opening := s.send("dropped"), s.send("running"), s.send("opening")
	dropped.OnConnected()
	running.OnConnected()
	s.e.recordAttemptEnd(dropped)
	s.gone = true
	s.e.checkCrashed(t.Context(), running)
	s.e.recordAttemptEnd(running)
	opening.harmless = true
	s.e.checkCrashed(t.Context(), opening)
	s.e.recordAttemptEnd(opening)
	for _, c := range []struct {
		name string
		a    *Attempt
		want int
	}{{"dropped a moment ago", dropped, 1}, {"broken off", running, 1}, {"not sent", opening, 0}} {
		if got := s.crashes(c.a); got != c.want {
			t.Errorf("crashes counted for a request %s: got %d, want %d", c.name, got, c.want)
		}
	}
}

// The fingerprint of a request does not depend on how its caller writes the host by which it is routed: a
// repeat at another router may name that router's port.
//
// Routes are looked up by the host in lower case and without the port. If quarantines used the host as
// received, each spelling of a request that crashes its endpoint would crash three endpoints of its own.
func TestFingerprintUsesRoutedHost(t *testing.T) {
	table := NewTable(1, Bounds{}, []Route{{Name: "r", Host: "h.example", Prefix: "/"}}, nil)
	fingerprint := func(host string) poison.Fingerprint {
		r := &Request{Method: "POST", Host: host, Path: "/a", Target: "/a", Body: []byte("body")}
		return r.fingerprintFor("ws")
	}
	for _, host := range []string{"H.Example", "h.example:17010", "H.EXAMPLE:17011"} {
		if table.Match(host, "/a") == nil {
			t.Fatalf("%s: got no route", host)
		}
		if got, want := fingerprint(host), fingerprint("h.example"); got != want {
			t.Errorf("%s: got fingerprint %v, want %v", host, got, want)
		}
	}
	if got := fingerprint("g.example"); got == fingerprint("h.example") {
		t.Errorf("another host: got the same fingerprint %v", got)
	}
}

// A dropped request may crash its endpoint after the probe of that endpoint. If two crashes are known and
// the endpoint of a dropped attempt is not known to have crashed, the next attempt waits for another probe.
//
// Otherwise such a crash would only be found at the next crash, which takes one more endpoint.
func TestEndpointOfDroppedAttemptIsProbedAgain(t *testing.T) {
	s := newCrashFixture()
	var mu sync.Mutex
	gone := make(map[string]bool)
	ends := func(id string) {
		mu.Lock()
		defer mu.Unlock()
		gone[id] = true
	}
	asked := make(chan string, 10)
	s.e.CheckEnded = func(_ context.Context, p pool.Entry) (bool, bool) {
		mu.Lock()
		defer mu.Unlock()
		asked <- p.ID
		return gone[p.ID], true
	}
	sends := func(id string) *Attempt {
		s.p = pool.Entry{ID: id, Service: "s"}
		s.e.PutEndpoint(s.p)
		a := s.send("body")
		a.OnConnected()
		return a
	}
	crashes := func(a *Attempt) {
		ends(a.Endpoint.ID)
		s.e.checkCrashed(t.Context(), a)
		s.e.recordAttemptEnd(a)
	}
	ctx, cancel := context.WithCancel(t.Context())
	watched := make(chan error, 1)
	go func() { watched <- s.e.WatchCrashes(ctx) }()
	dropped := sends("dropped")
	s.e.recordAttemptEnd(dropped)
	crashes(sends("first"))
	crashes(sends("second"))
	for range 4 {
		<-asked // Each crash queues a probe of the endpoint of the dropped attempt, which still runs.
	}
	ends("dropped")
	x := &run{e: s.e, r: dropped.Request}
	x.awaitJudgement(ctx)
	s.e.mu.Lock()
	err := x.quarantineError(s.e.Now())
	s.e.mu.Unlock()
	if err == nil {
		t.Error("after the third crash, which no attempt has shown: got a further attempt, want a quarantine")
	}
	cancel()
	if err := <-watched; err != nil {
		t.Error(err)
	}
}

// A signed failure of an endpoint does not show whether the request crashes endpoints: the endpoint may
// have failed before it ran the request. Only a successful answer clears a suspect.
//
// If a completely delivered failure cleared it, one endpoint that fails by itself would make all routers
// forget the crashes.
func TestFailureDoesNotClear(t *testing.T) {
	for _, c := range []struct{ status, want int }{{http.StatusOK, 0}, {http.StatusNotFound, 2}, {http.StatusInternalServerError, 2}} {
		e := engine(Route{Kind: Safe, MaxAttempts: 1}, func(context.Context, *Attempt) (*Reply, error) {
			return &Reply{Status: c.status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x")), Length: 1, IDMatches: true, Authenticated: true}, nil
		})
		r := &Request{ID: "x", Method: "GET", Host: "h", Path: "/", Target: "/", Header: http.Header{}, Arrived: time.Now()}
		for endpoint := range uint64(2) {
			e.ReceiveCrash(CrashReport{Fingerprint: r.fingerprintFor(""), Endpoint: endpoint})
		}
		w := httptest.NewRecorder()
		e.Serve(t.Context(), w, r)
		if got := w.Code; got != c.status {
			t.Fatalf("answer: got %d, want %d", got, c.status)
		}
		if got := e.crashes.Crashes(r.fingerprintFor("")); got != c.want {
			t.Errorf("crashes known after an answer of %d: got %d, want %d", c.status, got, c.want)
		}
	}
}

// An answer that ends with its connection clears its request and its parts only if the endpoint goes on: one that
// breaks off as its endpoint crashes ends likewise.
//
// Guards against a crashing request that clears itself at all routers with the beginning of an answer.
func TestUnframedAnswerClearsIfEndpointGoesOn(t *testing.T) {
	for _, c := range []struct {
		name              string
		unframed, gone    bool
		wantCrashes, want int
	}{
		{"framed", false, false, 0, 0},
		{"unframed", true, false, 0, 0},
		{"unframed and gone", true, true, 2, 2},
	} {
		s := newCrashFixture()
		var mu sync.Mutex
		gone := c.gone
		s.e.CheckEnded = func(context.Context, pool.Entry) (bool, bool) {
			mu.Lock()
			defer mu.Unlock()
			return gone, true
		}
		ctx, cancel := context.WithCancel(t.Context())
		watched := make(chan error, 1)
		go func() { watched <- s.e.WatchCrashes(ctx) }()
		a := &Attempt{Request: &Request{ID: "r", Body: []byte("body"), Prefix: []string{"x", "own"}}, Endpoint: s.p, hash: pool.HashOf(s.p.ID)}
		part := poison.Part{ID: "x", Service: "s"}
		s.e.ReceiveCrash(CrashReport{Fingerprint: a.Request.fingerprintFor(""), Endpoint: 1})
		s.e.ReceiveParts([]poison.PartReport{{Part: part, Endpoint: 1, Holder: 1}})
		s.e.mu.Lock()
		s.e.trackSent(a)
		s.e.mu.Unlock()
		a.OnConnected()
		s.e.recordCompleted(a, &Reply{Status: http.StatusOK, Unframed: c.unframed})
		s.e.recordAttemptEnd(a)
		count := func(p poison.Fingerprint) int {
			s.e.mu.Lock()
			defer s.e.mu.Unlock()
			return s.e.crashes.Crashes(p)
		}
		crashes, parts := 0, 0
		for until := time.Now().Add(5 * time.Second); time.Now().Before(until); <-time.After(time.Millisecond) {
			crashes, parts = count(a.Request.fingerprintFor("")), count(part.Subject().Fingerprint)
			if crashes == c.wantCrashes && parts == c.want {
				break
			}
		}
		if crashes != c.wantCrashes || parts != c.want {
			t.Errorf("%s: crashes under the request and the part: got %d and %d, want %d and %d", c.name, crashes, parts, c.wantCrashes, c.want)
		}
		cancel()
		if err := <-watched; err != nil {
			t.Error(err)
		}
	}
}

// A router that was answered requests with a part tells so when it learns that the part is suspected.
//
// Guards against a verdict that is found by routers which get no sound requests with the part.
func TestSuspicionIsAnswered(t *testing.T) {
	part := poison.Part{ID: "x", Service: "s"}
	suspicion := poison.Verdict{Fingerprint: part.Subject().Fingerprint, Part: part, Crashes: []poison.Crash{{Endpoint: 1, At: time.Now()}}}
	for _, learn := range []struct {
		how string
		by  func(e *Engine)
	}{
		{"a report", func(e *Engine) { e.ReceiveParts([]poison.PartReport{{Part: part, Endpoint: 1, Holder: 1}}) }},
		{"a suspicion", func(e *Engine) { e.ReceiveVerdicts([]poison.Verdict{suspicion}) }},
	} {
		s := newCrashFixture()
		var sent []poison.PartReport
		s.e.Quarantines.SendParts = func(list []poison.PartReport) { sent = append(sent, list...) }
		a := &Attempt{Request: &Request{ID: "r", Prefix: []string{"x", "own"}}, Endpoint: s.p, hash: pool.HashOf(s.p.ID)}
		s.e.mu.Lock()
		s.e.trackSent(a)
		s.e.mu.Unlock()
		s.e.recordCompleted(a, &Reply{Status: http.StatusOK})
		if len(sent) > 0 {
			t.Fatalf("before: got %v sent, want nothing", sent)
		}
		learn.by(s.e)
		if len(sent) != 1 || sent[0].Part != part || sent[0].Endpoint != 0 || sent[0].SoundAge <= 0 {
			t.Errorf("%s: got %v sent, want that a request with the part was answered", learn.how, sent)
		}
	}
}

// A request that waits for a place is refused as soon as a part of its prompt is quarantined.
func TestVerdictWakesWaitingRequests(t *testing.T) {
	s := newCrashFixture()
	ticket := &room.Ticket{Wake: make(chan struct{}, 1)}
	s.e.mu.Lock()
	getOrCreate(s.e.rooms, "s").queue.Push(ticket)
	s.e.mu.Unlock()
	part := poison.Part{ID: "x", Service: "s"}
	s.e.ReceiveVerdicts([]poison.Verdict{{Fingerprint: part.Subject().Fingerprint, Part: part, Round: 1, Until: time.Now().Add(time.Minute)}})
	select {
	case <-ticket.Wake:
	default:
		t.Error("a waiting request: got not woken")
	}
}

// An endpoint that crashes and starts again under its ID before it is probed has crashed all the same, as the entry of its
// next incarnation shows. The crash counts for the requests whose connections were open when the first was lost, not for
// those that the next process was sent.
//
// Guards against a request that crashes endpoint after endpoint unseen, as they are back before the probe.
func TestCrashBeforeTheProbe(t *testing.T) {
	for _, c := range []struct {
		name string
		// again says that the endpoint has started again, listedFirst that its entry is read before the connection is lost,
		// left that it was leaving before.
		again, listedFirst, left bool
		broken, later            int
	}{
		{"started again", true, false, false, 1, 0},
		{"started again, as was listed before the connection was lost", true, true, false, 1, 0},
		{"started again after it had left", true, false, true, 0, 0},
		{"started again after it had left, as was listed before the connection was lost", true, true, true, 0, 0},
		{"the connection alone was lost", false, false, false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newCrashFixture()
			now := time.Now()
			s.e.Now = func() time.Time { return now }
			s.p.StartedAt = time.Unix(1, 0)
			s.e.PutEndpoint(s.p)
			broken := s.send("broken off")
			broken.OnConnected()
			if c.left {
				left := s.p
				left.Leaving = true
				s.e.PutEndpoint(left)
			}
			list := func() {
				s.p.Revision++
				if c.again {
					s.p.StartedAt = time.Unix(2, 0)
				}
				s.e.PutEndpoint(s.p)
			}
			now = now.Add(time.Millisecond)
			if c.listedFirst {
				list()
			}
			later := s.send("later")
			if !c.listedFirst {
				s.e.checkCrashed(t.Context(), broken)
				s.e.recordAttemptEnd(broken)
				now = now.Add(time.Millisecond)
				later.OnConnected()
				list()
			} else {
				later.OnConnected()
				s.e.checkCrashed(t.Context(), broken)
				s.e.recordAttemptEnd(broken)
			}
			if got := s.crashes(broken); got != c.broken {
				t.Errorf("crashes of the request that was broken off: got %d, want %d", got, c.broken)
			}
			if got := s.crashes(later); got != c.later {
				t.Errorf("crashes of the request after it: got %d, want %d", got, c.later)
			}
		})
	}
}
