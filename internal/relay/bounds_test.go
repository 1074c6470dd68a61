// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
	"unsafe"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/price"
	"github.com/traildrift/traildrift/pkg/room"
)

// promptRoute is the route of long prompts in docs/contention.md.
var promptRoute = Route{Kind: Stream, Resume: true, Affinity: true, MaxAttempts: 3, Rank: 2, Aim: config.Span(4 * time.Second), EventAim: config.Span(1500 * time.Millisecond), Timeout: config.Span(20 * time.Second)}

// contendedFleet returns an engine among so many routers, in front of endpoints that all report a full set of
// slots, with a price above 0. The mechanisms that without holds are not in use.
func contendedFleet(routers, endpoints int, without ...Mechanism) *Engine {
	e := engine(promptRoute, nil)
	e.RouterCount = func() int { return routers }
	now := e.Now()
	for i := range endpoints - 1 {
		e.PutEndpoint(pool.Entry{ID: fmt.Sprint("e", i), Service: "s", Slots: 64, Revision: 1})
		e.book.Get(fmt.Sprint("e", i)).Load.RecordReport(now, 64, 10)
		e.book.Get(fmt.Sprint("e", i)).Pace.RecordReport(now, 1.2)
	}
	contend(e, without...)
	raisePrice(e, "s", 5*time.Second)
	teach(e, 100, 20*time.Millisecond)
	return e
}

// promptRun returns a run of a request with a shared prefix.
func promptRun(e *Engine, workspace *Workspace, session int) *run {
	now := e.Now()
	r := &Request{ID: "x", Arrived: now, Deadline: now.Add(20 * time.Second), TokensIn: 12_000, LengthHint: 100, Prefix: []string{"shared", fmt.Sprint(session)}, PrefixTokens: []int{5400, 6600}}
	return &run{e: e, r: r, route: e.table.Load().Match("h", "/"), deadline: r.Deadline, service: "s", workspace: workspace}
}

// contentionState returns the bytes that the mechanisms hold in an engine, without the overhead of maps.
func contentionState(e *Engine) (n uintptr) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.prices {
		n += unsafe.Sizeof(*l) + uintptr(len(l.bases))*unsafe.Sizeof(quantile{})
	}
	for _, s := range e.rooms {
		n += unsafe.Sizeof(*s) + uintptr(cap(s.reserved))*8 + uintptr(s.queue.Len())*unsafe.Sizeof(&room.Ticket{})
	}
	return n + uintptr(len(e.ends.routes))*unsafe.Sizeof(routeEnds{}) + uintptr(len(e.ends.gaps)+len(e.ends.recent))*192 + uintptr(len(e.ends.recent))*8
}

// maxGrown is by how many bytes the heap may differ between two runs of the collector: 10 bytes for each of
// 100,000 workspaces, less than any entry of a map takes.
const maxGrown = 1 << 20

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against memory and messages of a router that grow with the number of routers or of workspaces, or with
// both: 4,000 routers and 100,000 workspaces take what 24 routers and one workspace take.
func TestStateDoesNotGrowWithRoutersOrWorkspaces(t *testing.T) {
	const requests = 2000
	type result struct {
		state   uintptr
		reports int
	}
	serve := func(routers, workspaces int) (r result, grown int64) {
		e := contendedFleet(routers, 64)
		before := heapBytes()
		e.SendEndpointReport = func(EndpointReport) { r.reports++ }
		w := &Workspace{}
		for i := range max(workspaces, requests) {
			w.Name = fmt.Sprint("workspace-", i%workspaces)
			x := promptRun(e, w, i%50)
			if i >= requests {
				// Beyond these, only what is counted by workspace.
				e.mu.Lock()
				x.price = e.enginePrice(x.service, e.Now())
				x.priceCost(0.1, e.Now())
				e.mu.Unlock()
				continue
			}
			a, record, err := x.choose(e.Now())
			if err != nil {
				t.Fatal(err)
			}
			x.reportPrompt(a)
			e.recordAnswer(a, x.route, 300*time.Millisecond, e.Now())
			x.newEndWatch(a, record)
			e.endPromptWait(a, true, e.Now())
			e.recordAttemptEnd(a)
		}
		r.state, grown = contentionState(e), heapBytes()-before
		runtime.KeepAlive(e)
		return r, grown
	}
	small, smallGrown := serve(24, 1)
	for _, c := range [][2]int{{24, 1}, {384, 1}, {4000, 1}, {24, 100_000}, {4000, 100_000}} {
		got, grown := serve(c[0], c[1])
		if got != small {
			t.Errorf("%d routers, %d workspaces: got %+v, want %+v as with 24 and 1", c[0], c[1], got, small)
		}
		if grown > smallGrown+maxGrown {
			t.Errorf("%d routers, %d workspaces: heap grew by %d bytes, want %d at most", c[0], c[1], grown, smallGrown+maxGrown)
		}
		t.Logf("%d routers, %d workspaces: heap grew by %d kB, with 24 and 1 by %d kB", c[0], c[1], grown/1024, smallGrown/1024)
	}
	if small.state > 4096 {
		t.Errorf("state of a service: got %d bytes, want 4096 at most", small.state)
	}
	t.Logf("state of a service: %d bytes, of which price %d; %d reports for %d prompts", small.state, unsafe.Sizeof(price.Controller{}), small.reports, requests)
}

// Guards against messages that the mechanisms add: a router sends as many reports on endpoints as without them.
// Joint detection of silence, which sends reports of its own, finds nothing silent here. Both counts are made
// with the same draws, as the endpoint that a prompt gets is drawn, and with it whether the endpoint is reported
// to hold a prefix that it did not hold before.
func TestMechanismsSendNoReports(t *testing.T) {
	count := func(seed uint64, without ...Mechanism) (n int) {
		e := contendedFleet(384, 64, without...)
		e.Draw = rand.New(rand.NewPCG(seed, 62)).Uint64
		e.SendEndpointReport = func(EndpointReport) { n++ }
		for i := range 200 {
			x := promptRun(e, &Workspace{Name: "w"}, i)
			a, _, err := x.choose(e.Now())
			if err != nil {
				t.Fatal(err)
			}
			x.reportPrompt(a)
			e.recordAttemptEnd(a)
		}
		return n
	}
	for seed := range uint64(20) {
		if with, without := count(seed), count(seed, contentionMechanisms...); with > without {
			t.Errorf("seed %d: reports for 200 prompts: got %d, want %d at most, as without the mechanisms", seed, with, without)
		}
	}
}

// Guards against state by endpoint that outlives the endpoints: a router that sees 100,000 of them come and go
// keeps what the mechanisms hold for the present ones, and 4,096 recent times between events.
func TestStateOfFormerEndpointsIsBounded(t *testing.T) {
	e := contendedFleet(4000, 64)
	before := heapBytes()
	now := e.Now()
	for i := range 100_000 {
		id := fmt.Sprint("former-", i)
		e.PutEndpoint(pool.Entry{ID: id, Service: "s", Slots: 64, Revision: 1})
		e.mu.Lock()
		p := e.book.Get(id)
		p.Place.Reject(now, 10*time.Millisecond, 4000, uint64(i))
		if len(e.ends.recent) >= maxRecent {
			clear(e.ends.recent)
		}
		getOrCreate(e.ends.recent, p.Hash()).Add(e.ends.gaps["s"], endLoad(p, 0, now), 0.05, now)
		e.mu.Unlock()
		e.RemoveEndpoint(id, 2, now)
	}
	if n := len(e.ends.recent); n > maxRecent {
		t.Errorf("recent times: got %d, want %d at most", n, maxRecent)
	}
	grown := heapBytes() - before
	runtime.KeepAlive(e)
	// 4,096 recent times of 48 bytes and their map.
	if limit := int64(2 * maxGrown); grown > limit {
		t.Errorf("heap grew by %d bytes, want %d at most", grown, limit)
	}
	t.Logf("heap grew by %d kB with 100,000 endpoints", grown/1024)
}

// BenchmarkDecision measures a whole decision for a prompt: price, admission and the choice of the endpoint.
// Estimates of the end of the answer take no part in it, so that the rows "ends" and "none" are alike. The
// engine's mu is held meanwhile.
func BenchmarkDecision(b *testing.B) {
	for _, c := range []struct {
		name    string
		without []Mechanism
	}{{"none", contentionMechanisms}, {"price", []Mechanism{Admission, EndEstimates}},
		{"admission", []Mechanism{EnginePrice, EndEstimates}}, {"ends", []Mechanism{EnginePrice, Admission}}, {"all", nil}} {
		for _, endpoints := range []int{64, 1400} {
			b.Run(fmt.Sprintf("%s/%d", c.name, endpoints), func(b *testing.B) {
				e := contendedFleet(384, endpoints, c.without...)
				x := promptRun(e, &Workspace{Name: "w"}, 1)
				e.mu.Lock()
				defer e.mu.Unlock()
				b.ReportAllocs()
				for b.Loop() {
					now := e.Now()
					x.price = e.enginePrice(x.service, now)
					if err := x.admit(now); err != nil {
						b.Fatal(err)
					}
					if p, _ := x.pick(now); p == nil {
						b.Fatal("no endpoint")
					}
				}
			})
		}
	}
}
