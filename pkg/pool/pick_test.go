// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"fmt"
	"slices"
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

func TestFailingEndpointIsEjected(t *testing.T) {
	b := book(3)
	for range ejectAfterFailures {
		b.Get("e1").Trust.RecordFailure(t0, false)
	}
	if got := picks(b, t0); got["e1"] != 0 || len(got) != 2 {
		t.Errorf("picks: got %v, want none of e1", got)
	}
	later := t0.Add(maxEject)
	if got := picks(b, later); got["e1"] == 0 {
		t.Errorf("picks after the ejection: got %v, want some of e1", got)
	}
	b.Get("e1").Load.InFlight = 1
	if got := picks(b, later); got["e1"] != 0 {
		t.Errorf("picks during its single attempt: got %v, want none of e1", got)
	}
}

func TestNoneTrusted(t *testing.T) {
	b := book(1)
	b.Get("e0").Trust.RecordFailure(t0, true)
	p, why := b.Pick(t0, &Want{Service: "s"})
	if p == nil || why != ByNoneTrusted {
		t.Errorf("got %v because %q, want e0 because %q", p, why, ByNoneTrusted)
	}
}

// wanted is a prompt that takes a second to read, nine tenths of which are shared.
func wanted(prefix string) *Want {
	return &Want{Service: "s", Zone: "a", Affinity: Hash(prefix), FullRead: 1, UnsharedRead: 0.1, SharedFraction: 0.9, TimeLeft: 4, Aim: 4}
}

func TestPrefixGoesHomeUnlessLoaded(t *testing.T) {
	b := book(6)
	w := wanted("prefix")
	p, why := b.Pick(t0, w)
	if why != ByHome {
		t.Fatalf("reason: got %q, want %q", why, ByHome)
	}
	for d := range uint64(20) {
		w.Draw = d
		if q, _ := b.Pick(t0, w); q != p {
			t.Fatalf("draw %d: got %s, want %s", d, q.ID, p.ID)
		}
	}
	p.Load.AddPrompt(t0, 2*time.Second)
	if q, _ := b.Pick(t0, w); q == p {
		t.Errorf("busy endpoint: got %s, want another", q.ID)
	}
	p.Load = Load{InFlight: p.Slots}
	w.StreamTime = 2
	if q, _ := b.Pick(t0, w); q == p {
		t.Errorf("full endpoint: got %s, want another", q.ID)
	}
}

func TestPrefixGoesToItsHolderUnlessLoaded(t *testing.T) {
	b := book(6)
	w := wanted("prefix")
	home, _ := b.Pick(t0, w)
	holder := b.Get("e0")
	if holder == home {
		holder = b.Get("e1")
	}
	b.RecordHolder(w.Affinity, holder.Hash(), t0)
	for d := range uint64(20) {
		w.Draw = d
		if p, why := b.Pick(t0, w); p != holder || why != ByAffinity {
			t.Fatalf("draw %d: got %s because %q, want %s because %q", d, p.ID, why, holder.ID, ByAffinity)
		}
	}
	if w.PassedOver != nil {
		t.Errorf("passed over: got %s, want none", w.PassedOver.ID)
	}
	holder.Load.AddPrompt(t0, 3*time.Second)
	if p, _ := b.Pick(t0, w); p == holder || w.PassedOver != holder {
		t.Errorf("busy holder: got %s and %v passed over, want another and the holder", p.ID, w.PassedOver)
	}
	holder.Load = Load{}
	if p, _ := b.Pick(t0.Add(prefixTTL+time.Second), w); p == holder {
		t.Errorf("after %v: got the holder, want another", prefixTTL)
	}
	b.ForgetHolder(w.Affinity, holder.Hash())
	if p, _ := b.Pick(t0, w); p == holder {
		t.Error("after the holder lost the prefix: got it, want another")
	}
}

// A holder in another availability zone serves a prompt that takes long to read; a short one is read again in
// the own zone rather than sent there.
func TestFarHolderForLongPrompts(t *testing.T) {
	for _, c := range []struct {
		name                string
		whole, rest, shared float64
		far                 bool
	}{{"long", 1, 0.1, 0.9, true}, {"short", 0.02, 0.015, 0.2, false}} {
		b := NewBook()
		for i, zone := range []string{"a", "a", "b"} {
			e := entry(fmt.Sprint("e", i), 1)
			e.Zone = zone
			b.Put(e)
		}
		w := wanted("prefix")
		w.FullRead, w.UnsharedRead, w.SharedFraction = c.whole, c.rest, c.shared
		b.RecordHolder(w.Affinity, b.Get("e2").Hash(), t0)
		p, why := b.Pick(t0, w)
		if got := p.Zone != w.Zone; got != c.far {
			t.Errorf("%s prompt: got %s because %q, want far %v", c.name, p.ID, why, c.far)
		}
	}
}

// The wait of an urgent prompt counts only the part of the earlier work that it waits for.
func TestUrgentPromptsWaitForLess(t *testing.T) {
	b := book(2)
	w := wanted("prefix")
	w.SampleSize = 8
	b.RecordHolder(w.Affinity, b.Get("e0").Hash(), t0)
	b.Get("e0").Load.AddPrompt(t0, 2*time.Second)
	if p, _ := b.Pick(t0, w); p.ID != "e1" {
		t.Errorf("not urgent: got %s, want e1", p.ID)
	}
	w.Urgent, w.AheadFraction = true, 0.1
	if p, _ := b.Pick(t0, w); p.ID != "e0" {
		t.Errorf("urgent: got %s, want e0, which holds it", p.ID)
	}
	if got, want := w.Wait(b.Get("e0"), t0), 0.2; got != want {
		t.Errorf("wait: got %v s, want %v", got, want)
	}
}

// The higher the prompt rate of an endpoint, the more a long prompt costs other requests.
func TestReadingDelaysOthers(t *testing.T) {
	w := wanted("prefix")
	p := book(1).Get("e0")
	calm := w.loss(p, t0, false) - w.loss(p, t0, true)
	w.PromptRate = 3
	if busy := w.loss(p, t0, false) - w.loss(p, t0, true); busy <= calm {
		t.Errorf("loss by reading the whole prompt: got %v at 3 prompts a second, want more than %v at none", busy, calm)
	}
}

func TestLateness(t *testing.T) {
	for _, c := range []struct{ head, left, want float64 }{{0, 4, 0}, {1, 4, 0.125}, {4, 4, 0.5}, {8, 4, 1}} {
		if got := lateness(c.head, c.left); got != c.want {
			t.Errorf("head of %v s with %v s left: got %v, want %v", c.head, c.left, got, c.want)
		}
	}
	if a, b := lateness(20, 4), lateness(30, 4); a <= 1 || b <= a || b > 1+lateTail {
		t.Errorf("beyond certain lateness: got %v and %v, want both over 1 and the second larger", a, b)
	}
	if got := lateness(1, -3); got > 1+lateTail || got < 1 {
		t.Errorf("no time left: got %v, want about 1", got)
	}
}

func TestTwoChoicesTakeTheLessLoaded(t *testing.T) {
	b := book(2)
	b.Get("e0").Load.RecordReport(t0, 4, 8)
	got := picks(b, t0)
	if got["e1"] <= got["e0"] {
		t.Errorf("picks: got %v, want more of e1", got)
	}
	if got := picks(b, t0.Add(loadReportTTL+time.Second)); got["e0"] < 50 {
		t.Errorf("picks after the report is old: got %v, want about half of e0", got)
	}
}

// Of a large service, Pick scans a part of the endpoints. The part must be the same for the same prefix, all
// prefixes together must use most endpoints, and an endpoint that is the only one to fit must be found.
func TestLargeFleet(t *testing.T) {
	const n = 2000
	b := book(n)
	seen := make(map[string]bool)
	for prefix := range uint64(4 * n) {
		w := wanted("")
		w.Affinity = mixer.Mix(prefix)
		p, why := b.Pick(t0, w)
		w.Draw = prefix + 1
		if q, _ := b.Pick(t0, w); q != p || why != ByHome {
			t.Fatalf("prefix %d: got %s and %s because %q, want the same one by %q", prefix, p.ID, q.ID, why, ByHome)
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
			w := wanted("prefix")
			bk.RecordHolder(w.Affinity, bk.Get("e0").Hash(), t0)
			w.SampleSize = 4
			for i := range b.N {
				w.Draw = uint64(i)
				bk.Pick(t0, w)
			}
		})
	}
}

// A request for one endpoint goes to the next one in order when the first is ejected, and to any when none is
// trusted.
func TestFirstOnlySkipsEjected(t *testing.T) {
	b, now := book(4), time.Now()
	var met []string
	for range 4 {
		w := Want{Service: "s", FirstOnly: true}
		p, _ := b.Pick(now, &w)
		if !w.PickedFirst() || slices.Contains(met, p.ID) {
			t.Fatalf("after %v: got %s, single %v, want the next one", met, p.ID, w.PickedFirst())
		}
		met = append(met, p.ID)
		p.Trust.RecordFailure(now, true)
	}
	w := Want{Service: "s", FirstOnly: true}
	if p, _ := b.Pick(now, &w); p == nil || w.PickedFirst() {
		t.Errorf("all ejected: got %v, single %v, want any of them", p, w.PickedFirst())
	}
}
