// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/mixer"
)

func book(n int) *Book {
	b := NewBook()
	for i := range n {
		b.Put(entry(fmt.Sprint("e", i), 1))
	}
	return b
}

func TestFailingEndpointRests(t *testing.T) {
	b := book(3)
	for range rowMost {
		b.Get("e1").Trust.Fail(t0, false)
	}
	if got := picks(b, t0); got["e1"] != 0 || len(got) != 2 {
		t.Errorf("picks: got %v, want none of e1", got)
	}
	later := t0.Add(shutMost)
	if got := picks(b, later); got["e1"] == 0 {
		t.Errorf("picks after the rest: got %v, want some of e1", got)
	}
	b.Get("e1").Load.Sent = 1
	if got := picks(b, later); got["e1"] != 0 {
		t.Errorf("picks while it is tried: got %v, want none of e1", got)
	}
}

func TestNoneTrusted(t *testing.T) {
	b := book(1)
	b.Get("e0").Trust.Fail(t0, true)
	p, why := b.Pick(t0, &Want{Service: "s"})
	if p == nil || why != ByDespair {
		t.Errorf("got %v because %q, want e0 because %q", p, why, ByDespair)
	}
}

func TestPrefixKeepsItsEndpointUnlessLoaded(t *testing.T) {
	b := book(6)
	w := &Want{Service: "s", Affinity: Hash("prefix")}
	p, why := b.Pick(t0, w)
	if why != ByAffinity {
		t.Fatalf("reason: got %q, want %q", why, ByAffinity)
	}
	for d := range uint64(20) {
		w.Draw = d
		if q, _ := b.Pick(t0, w); q != p {
			t.Fatalf("draw %d: got %s, want %s", d, q.ID, p.ID)
		}
	}
	p.Load.Sent = p.Slots
	if q, _ := b.Pick(t0, w); q == p {
		t.Errorf("full endpoint: got %s, want another", q.ID)
	}
}

func TestTwoChoicesTakeTheLessLoaded(t *testing.T) {
	b := book(2)
	b.Get("e0").Load.Report(t0, 4, 8)
	got := picks(b, t0)
	if got["e1"] <= got["e0"] {
		t.Errorf("picks: got %v, want more of e1", got)
	}
	if got := picks(b, t0.Add(reportHolds+time.Second)); got["e0"] < 50 {
		t.Errorf("picks after the report is old: got %v, want about half of e0", got)
	}
}

// In a large fleet a part of the endpoints is looked at: the same for the same
// prefix, all of them for all prefixes together, and any that is the only one left.
func TestLargeFleet(t *testing.T) {
	const n = 2000
	b := book(n)
	seen := make(map[string]bool)
	for prefix := range uint64(4 * n) {
		w := Want{Service: "s", Affinity: mixer.Mix(prefix)}
		p, why := b.Pick(t0, &w)
		w.Draw = prefix + 1
		if q, _ := b.Pick(t0, &w); q != p || why != ByAffinity {
			t.Fatalf("prefix %d: got %s and %s because %q, want the same one by %q", prefix, p.ID, q.ID, why, ByAffinity)
		}
		seen[p.ID] = true
	}
	if got, want := len(seen), n*3/4; got < want {
		t.Errorf("endpoints of 8,000 prefixes: got %d, want at least %d", got, want)
	}
	last := Want{Service: "s", Fit: func(version string) bool { return version == "v2" }}
	if p, _ := b.Pick(t0, &last); p != nil {
		t.Errorf("no endpoint fits: got %s", p.ID)
	}
	only := entry("only", 1)
	only.Version = "v2"
	b.Put(only)
	for draw := range uint64(20) {
		last.Draw = draw
		if p, _ := b.Pick(t0, &last); p == nil || p.ID != "only" {
			t.Fatalf("one endpoint fits, draw %d: got %v, want it", draw, p)
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 60, 350, 1400, 3000} {
		bk := book(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			w := &Want{Service: "s", Affinity: 7}
			for i := range b.N {
				w.Draw = uint64(i)
				bk.Pick(t0, w)
			}
		})
	}
}
