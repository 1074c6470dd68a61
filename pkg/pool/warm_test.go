// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/mixer"
)

// Endpoints bear 14 requests per second while they warm up, from all processes together. The operator allows
// 1.5 times 14, and 5; 27 in a second are one more.
const (
	warmAllowance = 14
	warmExceeded  = 27
)

// hashes returns the hashes of n processes.
func hashes(n int) (all []uint64) {
	for i := range n {
		all = append(all, mixer.Mix(uint64(i)))
	}
	return all
}

func TestSharesAddUpToTheAllowance(t *testing.T) {
	for _, n := range []int{1, 3, 13, 14, 29, 103, 300, 370} {
		all := hashes(n)
		for endpoint := range uint64(20) {
			sum := 0
			for _, self := range all {
				s := Senders{Self: self, All: all}
				sum += s.quota(mixer.Mix(endpoint), warmAllowance)
			}
			if sum != warmAllowance {
				t.Errorf("%d processes, endpoint %d: shares: got %d, want %d", n, endpoint, sum, warmAllowance)
			}
		}
	}
}

func TestUnknownFleetSendsNothingToAWarmingEndpoint(t *testing.T) {
	b := book(1)
	b.SetWarmup("s", Warmup{Allowance: warmAllowance, Duration: 3 * time.Second})
	e := b.Get("e0").Entry
	e.Revision, e.WarmReported, e.WarmAt = 2, true, t0.Add(3*time.Second)
	b.Put(e)
	if p, _ := b.Pick(t0, &Want{Service: "s"}); p != nil {
		t.Errorf("picked: got %s, want none", p.ID)
	}
	b.SetSenders(Senders{Self: 1, All: []uint64{1}, NotBefore: t0.Add(time.Second)})
	if got := b.Unavailability(t0, &Want{Service: "s"}); got.Warming != 1 || !got.RetryAt.Equal(t0.Add(time.Second)) {
		t.Errorf("unavailability: got %+v, want one warming, until this process may send", got)
	}
	if p, _ := b.Pick(t0.Add(time.Second), &Want{Service: "s"}); p == nil {
		t.Error("picked once the fleet is known: got none, want e0")
	}
}

// An endpoint that does not report its warm-up counts as cold from its first entry on; a known one that turns
// cold counts as cold from the entry that reports it.
func TestWarmingByReportOrByDefault(t *testing.T) {
	b := NewBook()
	b.SetWarmup("s", Warmup{Allowance: warmAllowance, Duration: 3 * time.Second})
	e := entry("e0", 1)
	e.ReceivedAt = t0
	b.Put(e)
	p := b.Get("e0")
	if !p.Warming(t0.Add(2*time.Second)) || p.Warming(t0.Add(3*time.Second)) {
		t.Error("endpoint that reports nothing: want warming up for 3 s")
	}
	e.Revision, e.ReceivedAt, e.WarmReported, e.WarmAt = 2, t0.Add(10*time.Second), true, t0.Add(12*time.Second)
	b.Put(e)
	if !p.Warming(t0.Add(11*time.Second)) || p.Warming(t0.Add(12*time.Second)) {
		t.Error("endpoint that turned cold: want warming up for as long as it reports")
	}
	b.SetWarmup("s", Warmup{})
	if p.Warming(t0.Add(11 * time.Second)) {
		t.Error("service without an allowance: got warming up, want warm")
	}
}

// greedy is a process that sends to warming endpoints whenever it may.
type greedy struct {
	book *Book
	ends []*Endpoint
}

func newGreedy(self uint64, knows []uint64, endpoints int, from time.Time) *greedy {
	g := &greedy{book: NewBook()}
	g.book.SetWarmup("s", Warmup{Allowance: warmAllowance})
	g.book.SetSenders(Senders{Self: self, All: knows, NotBefore: from})
	for i := range endpoints {
		e := entry(fmt.Sprint("e", i), 1)
		e.WarmReported, e.WarmAt = true, t0.Add(time.Hour)
		g.book.Put(e)
		g.ends = append(g.ends, g.book.Get(e.ID))
	}
	return g
}

// Guards against an endpoint that gets more requests while it warms up than the operator allows in a second.
// All processes send as often as they may, in a burst and without coordination, with lists that lack a fifth
// of the processes or name as many that are gone. A tenth of the processes is killed and returns 0.3 s later
// without a record of what it sent.
func TestAllProcessesKeepTheAllowance(t *testing.T) {
	const length, tick = 3 * time.Second, 10 * time.Millisecond
	for _, n := range []int{3, 29, 103, 300} {
		f := &burst{rnd: rand.New(rand.NewPCG(uint64(n), 5)), all: hashes(n), sent: make([][]time.Time, warmEndpoints)}
		for i := range f.all {
			f.fleet = append(f.fleet, f.process(i, t0))
		}
		for at := time.Duration(0); at < length; at += tick {
			if at == length/2 {
				f.kill(t0.Add(at))
			}
			f.send(t0.Add(at))
		}
		most := 0
		for _, times := range f.sent {
			most = max(most, mostInASecond(times))
		}
		if most >= warmExceeded {
			t.Errorf("%d processes: requests to one endpoint in a second: got %d, want under %d", n, most, warmExceeded)
		}
		if total := len(f.sent[0]); total < warmAllowance/2 {
			t.Errorf("%d processes: requests to an endpoint in %v: got %d, want some", n, length, total)
		}
		t.Logf("%d processes: at most %d in a second, %d in %v", n, most, len(f.sent[0]), length)
	}
}

// warmEndpoints is the number of endpoints that warm up at once in a burst.
const warmEndpoints = 6

// burst is a fleet of greedy processes and the requests that their endpoints get.
type burst struct {
	rnd   *rand.Rand
	all   []uint64
	fleet []*greedy
	sent  [][]time.Time
}

// process starts process i, which may send from a time on.
func (f *burst) process(i int, from time.Time) *greedy {
	return newGreedy(f.all[i], stale(f.rnd, f.all), warmEndpoints, from)
}

// kill restarts a tenth of the processes, which return 0.3 s later.
func (f *burst) kill(now time.Time) {
	for i := range f.fleet {
		if f.rnd.IntN(10) == 0 {
			f.fleet[i] = f.process(i, now.Add(300*time.Millisecond+time.Second))
		}
	}
}

// send makes each process send all that it may.
func (f *burst) send(now time.Time) {
	for _, i := range f.rnd.Perm(len(f.fleet)) {
		for j, p := range f.fleet[i].ends {
			if p.ready(now) {
				p.RecordSend(now)
				f.sent[j] = append(f.sent[j], now)
			}
		}
	}
}

// mostInASecond returns the most of some ascending times that lie within a second.
func mostInASecond(times []time.Time) (most int) {
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// stale returns a list of processes that lacks a fifth of them, or names as many that are gone.
func stale(rnd *rand.Rand, all []uint64) (list []uint64) {
	lacks := rnd.IntN(2) == 0
	for _, h := range all {
		gone := rnd.IntN(5) == 0
		if gone && !lacks {
			list = append(list, rnd.Uint64())
		}
		if !gone || !lacks {
			list = append(list, h)
		}
	}
	if len(list) == 0 {
		list = all
	}
	return list
}
