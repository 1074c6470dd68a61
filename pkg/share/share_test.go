// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package share

import (
	"math"
	"slices"
	"testing"
	"time"
	"unsafe"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// maxMin returns the level at which the sum of the smaller of demand and level is served.
func maxMin(demands []float64, served float64) float64 {
	sorted := slices.Sorted(slices.Values(demands))
	for i, d := range sorted {
		if n := float64(len(sorted) - i); d*n >= served {
			return served / n
		}
		served -= d
	}
	return math.Inf(1)
}

// sender is a workspace that sends requests of one size at a rate per second. within and over are the
// demand of its requests that were within its share and over it.
type sender struct {
	perSecond, size, due float64
	within, over         float64
	requests, marked     int
	// run is the present number of requests in a row that were not marked; longest is the most of them.
	run, longest int
}

// play sends requests of all senders for a number of seconds. What arrives is served at the capacity in
// the order of arrival. It counts from the time from on.
func play(t *Table, senders []sender, capacity, seconds, from float64, scarce bool) {
	const tick = 0.01
	backlog := 0.0
	for at := 0.0; at < seconds; at += tick {
		now := start.Add(time.Duration(at * float64(time.Second)))
		for i := range senders {
			s := &senders[i]
			for s.due += s.perSecond * tick; s.due >= 1; s.due-- {
				over := t.IsOver(now, uint64(i), scarce)
				t.AddDemand(now, uint64(i), s.size)
				if !over {
					t.Use(now, uint64(i), s.size)
				}
				backlog += s.size
				if at >= from {
					s.record(over)
				}
			}
		}
		done := min(backlog, capacity*tick)
		backlog -= done
		t.AddServed(now, done)
	}
}

func (s *sender) record(over bool) {
	s.requests++
	if over {
		s.over += s.size
		s.marked++
		s.run = 0
		return
	}
	s.within += s.size
	s.run++
	s.longest = max(s.longest, s.run)
}

// drawSenders returns workspaces of which a few are large.
func drawSenders(t *rapid.T) []sender {
	list := make([]sender, rapid.IntRange(2, 40).Draw(t, "workspaces"))
	for i := range list {
		list[i] = sender{
			perSecond: rapid.Float64Range(0.5, 4).Draw(t, "perSecond"),
			size:      rapid.Float64Range(0.01, 0.4).Draw(t, "size"),
			due:       rapid.Float64Range(0, 1).Draw(t, "phase"),
		}
		if i < 2 {
			list[i].perSecond *= rapid.Float64Range(2, 20).Draw(t, "times")
		}
	}
	return list
}

// precision is the part of its share that a workspace may lose or gain by the measure. docs/contention.md wants
// workspaces within their usual traffic to earn 0.85 of their credit, so that two thirds of what may be lost remain
// for waits.
const precision = 0.05

// A workspace that sends many times its share must not take that of others: what is within the share of
// each is the smaller of its demand and the level, to precision and one request per window, and a workspace
// below nine tenths of the level is never marked, whatever the size of its requests.
func TestMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		senders := drawSenders(t)
		demands, sum := make([]float64, len(senders)), 0.0
		for i, s := range senders {
			demands[i] = s.perSecond * s.size
			sum += demands[i]
		}
		capacity := sum * rapid.Float64Range(0.3, 0.85).Draw(t, "capacity")
		const seconds, from = 60, 20
		var table Table
		play(&table, senders, capacity, seconds, from, true)
		level := maxMin(demands, capacity)
		for i, s := range senders {
			want := min(demands[i], level)
			if got := s.within / (seconds - from); math.Abs(got-want) > precision*want+s.size/window {
				t.Errorf("workspace %d that demands %v at a level of %v: within its share: got %v a second, want %v", i, demands[i], level, got, want)
			}
			if demands[i]+s.size/window < 0.9*level && s.marked > 0 {
				t.Errorf("workspace %d that demands %v at a level of %v: marked requests: got %d, want 0", i, demands[i], level, s.marked)
			}
		}
	})
}

// Marks must not come in blocks, which would strike single sessions: of a workspace at k times its level,
// about one request in k is within its share, and at most two in a row, as two turns of a session may come
// together.
func TestMarksAreSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := rapid.Float64Range(2, 10).Draw(t, "times")
		senders := []sender{{perSecond: 10, size: 0.1 * k}, {perSecond: 20, size: 0.05}, {perSecond: 10, size: 0.1}}
		var table Table
		play(&table, senders, 3, 60, 20, true)
		s := senders[0]
		if got, want := float64(s.requests-s.marked)/float64(s.requests), 1/k; math.Abs(got-want) > precision*want {
			t.Errorf("fraction within the share: got %v, want %v", got, want)
		}
		if s.longest > 2 {
			t.Errorf("requests in a row within the share at %v times the level: got %d, want 2 at most", k, s.longest)
		}
	})
}

// Without contention nothing may be marked, and neither where all demand is served.
func TestCalmMarksNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		senders := drawSenders(t)
		sum := 0.0
		for _, s := range senders {
			sum += s.perSecond * s.size
		}
		scarce := rapid.Bool().Draw(t, "scarce")
		capacity := sum * 0.5
		if scarce {
			capacity = sum * 2
		}
		var table Table
		play(&table, senders, capacity, 30, 0, scarce)
		for i, s := range senders {
			if s.marked > 0 {
				t.Errorf("workspace %d: marked requests: got %d, want 0", i, s.marked)
			}
		}
	})
}

// The memory must not grow with the workspaces. Beside 100,000 small ones, a large one is still found, and
// hardly any of the small ones is marked.
func TestManyWorkspaces(t *testing.T) {
	const workspaces, perSecond, large = 100_000, 500, 7
	var table Table
	var marked [2]int
	var sent [2]int
	key := uint64(1)
	for i := range perSecond * 40 {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		k, kind := uint64(large), 1
		if i%3 > 0 {
			key = key*6364136223846793005 + 1442695040888963407
			k, kind = 1000+key>>33%workspaces, 0
		}
		over := table.IsOver(now, k, true)
		table.AddDemand(now, k, 1)
		if !over {
			table.Use(now, k, 1)
		} else {
			marked[kind]++
		}
		sent[kind]++
		if i%4 > 0 {
			table.AddServed(now, 1)
		}
	}
	got := float64(marked[1]) / float64(sent[1])
	t.Logf("marked of the large workspace: %v, of the small ones %v", got, float64(marked[0])/float64(sent[0]))
	// Of the 167 requests a second of the large workspace, 42 are within its share: three quarters of what is sent are
	// served, and all of the others'. The first 4 s, history and credit, mark nothing.
	if want := 0.75 * 36 / 40; got < want {
		t.Errorf("marked of the large workspace: got %v, want %v or more", got, want)
	}
	if got := float64(marked[0]) / float64(sent[0]); got > 0.001 {
		t.Errorf("marked of the small workspaces: got %v, want 0.001 or less", got)
	}
	if got := unsafe.Sizeof(table); got > 2048 {
		t.Errorf("size of a table: got %d bytes, want 2048 or less", got)
	}
	if table.n > maxCounted {
		t.Errorf("counted workspaces: got %d, want %d at most", table.n, maxCounted)
	}
}

// A router that has just started, whose requests are demanded and not served yet, must mark nothing before it has a
// history, and a large workspace soon after.
func TestYoungTableMarksNothing(t *testing.T) {
	senders := []sender{{perSecond: 50, size: 0.1}, {perSecond: 5, size: 0.1}}
	var table Table
	play(&table, senders, 1, 2, 0, true)
	if got := senders[0].marked + senders[1].marked; got != 0 {
		t.Errorf("marked requests of the first 2 s: got %d, want 0", got)
	}
	table = Table{}
	play(&table, senders, 1, 5, 0, true)
	if senders[0].marked == 0 || senders[1].marked != 0 {
		t.Errorf("marked requests of the first 5 s: got %d of the large workspace and %d of the small one, want some and 0",
			senders[0].marked, senders[1].marked)
	}
}

// Odd amounts and times that go back must not leave NaN behind, which would mark all or none from then on.
func TestOddInput(t *testing.T) {
	odd := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), -1, 0, 1e-300}))
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		now := start
		for range 50 {
			now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Hour)).Draw(t, "step")))
			key := rapid.Uint64Range(0, 100).Draw(t, "key")
			table.AddDemand(now, key, odd.Draw(t, "demand"))
			table.AddServed(now, odd.Draw(t, "served"))
			table.Use(now, key, odd.Draw(t, "used"))
			if got := table.Level(now); !(got >= 0) {
				t.Fatalf("level: got %v, want 0 or more", got)
			}
			if w := table.find(key); w != nil && !(w.credit >= -maxDebt && w.credit <= maxCredit && w.demand >= 0) {
				t.Fatalf("demand and credit: got %v and %v, want 0 or more and %v to %v", w.demand, w.credit, -maxDebt, maxCredit)
			}
		}
	})
}

func BenchmarkTable(b *testing.B) {
	b.ReportAllocs()
	var table Table
	over := 0
	for i := range b.N {
		now := start.Add(time.Duration(i) * 200 * time.Millisecond)
		key := uint64(i % (maxCounted + 10))
		if table.IsOver(now, key, true) {
			over++
		}
		table.AddDemand(now, key, float64(i%7)+1)
		table.Use(now, key, 1)
		table.AddServed(now, 1)
	}
	if over > b.N {
		b.Error("more marks than requests")
	}
}
