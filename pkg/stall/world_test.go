// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package stall

import (
	"flag"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/draws"
)

// TestMain draws few worlds, as each takes 0.1 s. To draw others: go test ./pkg/stall -rapid.checks 300 -rapid.seed N
func TestMain(m *testing.M) {
	draws.FixSeed()
	if err := flag.Set("rapid.checks", "3"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const step = 8 * time.Millisecond

// world plays several routers with streams at several endpoints, in steps of step.
type world struct {
	rnd     *rand.Rand
	now     time.Time
	routers []*router
	// pause is the limit of all streams; minGap and maxGap bound the gaps between the events of a stream.
	pause, minGap, maxGap time.Duration
	// quiet reports whether an endpoint sends nothing now.
	quiet func(endpoint int, now time.Time) bool
	// cut reports whether nothing passes between a router and an endpoint now, and cutPeers the same for
	// the reports between two routers.
	cut      func(router, endpoint int, now time.Time) bool
	cutPeers func(a, b int, now time.Time) bool
	// stalled reports whether a router does not run now.
	stalled func(router int, now time.Time) bool
	// reportLoss is the probability that a report is lost, and delayProb that an event is delayed by a
	// lost packet, by a drawn time from minDelay to maxDelay.
	reportLoss, delayProb float64
	minDelay, maxDelay    time.Duration
	// nonsense is a router that reports every endpoint at each fifth step; -1 for none.
	nonsense int
	// lastEvent and found hold, by router and endpoint, when the last event was received and when the
	// endpoint was found silent.
	lastEvent, found map[[2]int]time.Time
	pending          []message
	endpoints        int
}

// message is a report on its way.
type message struct {
	at       time.Time
	from, to int
	endpoint uint64
}

// router is a Detector with its streams.
type router struct {
	d       *Detector
	streams []*testStream
}

// testStream is a stream whose next event is sent at nextAt and received at arrivesAt.
type testStream struct {
	Stream
	index, router     int
	nextAt, arrivesAt time.Time
	ended             bool
}

// newWorld returns a world in which each router has perRouter streams at different endpoints.
func newWorld(seed uint64, routers, endpoints, perRouter int) *world {
	w := &world{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: begin, pause: 1500 * time.Millisecond, minGap: 16 * time.Millisecond, maxGap: 60 * time.Millisecond,
		quiet: func(int, time.Time) bool { return false }, cut: func(int, int, time.Time) bool { return false }, cutPeers: func(int, int, time.Time) bool { return false },
		stalled: func(int, time.Time) bool { return false }, minDelay: 200 * time.Millisecond, maxDelay: 300 * time.Millisecond,
		nonsense: -1, lastEvent: make(map[[2]int]time.Time), found: make(map[[2]int]time.Time), endpoints: endpoints,
	}
	for i := range routers {
		r := &router{}
		r.d = NewDetector(func(string) int { return endpoints }, func() int { return routers }, func(v Verdict) { w.act(i, v) })
		for _, n := range w.rnd.Perm(endpoints)[:min(perRouter, endpoints)] {
			r.streams = append(r.streams, &testStream{Stream: Stream{Endpoint: uint64(n + 1), Service: "s", Model: "m"}, index: n, router: i})
		}
		w.routers = append(w.routers, r)
	}
	return w
}

// act applies a verdict of a router: it sends its reports, and notes the endpoint as silent.
func (w *world) act(from int, v Verdict) {
	if v.Inform {
		for to := range w.routers {
			if to != from && w.rnd.Float64() >= w.reportLoss && !w.cutPeers(from, to, w.now) {
				w.pending = append(w.pending, message{w.now.Add(w.draw(time.Millisecond, 20*time.Millisecond)), from, to, v.Endpoint})
			}
		}
	}
	if !v.Silent {
		return
	}
	w.found[[2]int{from, int(v.Endpoint - 1)}] = w.now
	for _, s := range w.routers[from].streams {
		if s.Endpoint == v.Endpoint {
			s.ended = true
		}
	}
}

func (w *world) draw(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rnd.Int64N(int64(most-least)+1))
}

// run plays d.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		w.deliverReports()
		for i, r := range w.routers {
			// A router that has stood still may look at its streams before it has read what waits there.
			if !w.stalled(i, w.now) && (w.now.Sub(begin)/step)%3 == time.Duration(i%3) {
				r.d.Tick(w.now)
			}
			for _, s := range r.streams {
				w.advance(r, s)
			}
		}
	}
}

// deliverReports delivers the reports that have arrived at routers that run.
func (w *world) deliverReports() {
	if w.nonsense >= 0 && w.now.Sub(begin)/step%5 == 0 {
		for to, r := range w.routers {
			for n := range w.endpoints {
				if to != w.nonsense {
					r.d.Report(w.now, uint64(n+1), "s", address(w.nonsense))
				}
			}
		}
	}
	late := w.pending[:0]
	for _, m := range w.pending {
		if m.at.After(w.now) || w.stalled(m.to, w.now) {
			late = append(late, m)
			continue
		}
		w.routers[m.to].d.Report(w.now, m.endpoint, "s", address(m.from))
	}
	w.pending = late
}

func address(router int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 0, byte(router >> 8), byte(router)})
}

// advance sends and receives the events of one stream.
func (w *world) advance(r *router, s *testStream) {
	if s.ended {
		if s.endpoint != nil {
			r.d.Remove(w.now, &s.Stream)
		}
		return
	}
	if s.endpoint == nil {
		s.Pause = w.pause
		r.d.Add(w.now, &s.Stream)
		s.nextAt = w.now.Add(w.draw(w.minGap, w.maxGap))
	}
	if s.arrivesAt.IsZero() {
		if w.now.Before(s.nextAt) || w.quiet(s.index, w.now) {
			return
		}
		s.arrivesAt = w.now
		if w.rnd.Float64() < w.delayProb {
			s.arrivesAt = w.now.Add(w.draw(w.minDelay, w.maxDelay))
		}
	}
	if w.now.Before(s.arrivesAt) || w.stalled(s.router, w.now) {
		return
	}
	if w.cut(s.router, s.index, w.now) {
		// The packet is sent again.
		s.arrivesAt = w.now.Add(200 * time.Millisecond)
		return
	}
	r.d.Receive(w.now, &s.Stream)
	r.d.Wait(w.now, &s.Stream)
	w.lastEvent[[2]int{s.router, s.index}] = w.now
	s.arrivesAt, s.nextAt = time.Time{}, w.now.Add(w.draw(w.minGap, w.maxGap))
}

// alarms returns how many times a router found an endpoint silent.
func (w *world) alarms() int { return len(w.found) }
