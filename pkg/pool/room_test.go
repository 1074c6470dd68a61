// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Guards against places that count though nobody can use them, and against refusals on old or missing
// reports: an ejected, silent or closed endpoint has no room, one without a recent report is not busy, and
// one that rejected is full until a place is expected.
func TestRoom(t *testing.T) {
	const work = 30 * time.Millisecond
	full := func(p *Endpoint) { p.Load.RecordReport(t0, p.Slots, 24) }
	for _, c := range []struct {
		name           string
		set            func(b *Book)
		now            time.Time
		eligible, open int
		busy           bool
	}{
		{"no reports", func(*Book) {}, t0, 2, 2, false},
		{"one report", func(b *Book) { full(b.Get("e0")) }, t0, 2, 2, false},
		{"both loaded", func(b *Book) { full(b.Get("e0")); full(b.Get("e1")) }, t0, 2, 2, true},
		{"both loaded long ago", func(b *Book) { full(b.Get("e0")); full(b.Get("e1")) }, t0.Add(time.Second), 2, 2, false},
		{"one rejected", func(b *Book) { full(b.Get("e0")); b.Get("e0").Place.Reject(t0, work, 1, 0) }, t0, 1, 1, false},
		{"both rejected", func(b *Book) { b.Get("e0").Place.Reject(t0, work, 1, 0); b.Get("e1").Place.Reject(t0, work, 1, 0) }, t0, 2, 0, true},
		{"one rejected long ago", func(b *Book) { b.Get("e0").Place.Reject(t0, work, 1, 0) }, t0.Add(time.Second), 2, 2, false},
		{"one ejected", func(b *Book) { b.Get("e0").Trust.RecordFailure(t0, true) }, t0, 1, 1, false},
		{"one on trial after its ejection", func(b *Book) { b.Get("e0").Trust.RecordFailure(t0, true); b.Get("e0").Trust.failuresInRow = 5 }, t0.Add(2 * maxEject), 1, 1, false},
		{"healthy one rejected, other failed once", func(b *Book) {
			b.Get("e0").Trust.RecordFailure(t0, false)
			b.Get("e1").Place.Reject(t0, work, 1, 0)
		}, t0, 1, 1, false},
		{"all ejected", func(b *Book) { b.Get("e0").Trust.RecordFailure(t0, true); b.Get("e1").Trust.RecordFailure(t0, true) }, t0, 0, 0, false},
		{"one gone", func(b *Book) { b.Remove("e0", 9, t0, t0) }, t0, 1, 1, false},
		{"one leaves", func(b *Book) { e := b.Get("e0").Entry; e.Leaving, e.Revision = true, 2; b.Put(e) }, t0, 1, 1, false},
		{"restarted after a rejection", func(b *Book) {
			p := b.Get("e0")
			p.StartedAt = t0
			p.Place.Reject(t0, work, 1, 0)
			e := p.Entry
			e.StartedAt, e.Revision = t0.Add(1), 2
			b.Put(e)
		}, t0, 2, 2, false},
	} {
		b := book(2)
		c.set(b)
		w := Want{Service: "s", Avoid: []string{"e0", "e1"}, OnlyOpen: true, NoRetry: true}
		r := b.Room(c.now, &w, work, 0)
		if r.Eligible != c.eligible || r.Open != c.open || r.Busy != c.busy {
			t.Errorf("%s: got %d eligible, %d open, busy %v, want %d, %d, %v", c.name, r.Eligible, r.Open, r.Busy, c.eligible, c.open, c.busy)
		}
		if r.Open < r.Eligible && !r.NextAt.After(c.now) {
			t.Errorf("%s: next place at %v, want one after %v", c.name, r.NextAt, c.now)
		}
	}
}

// Guards against a request that may not be retried and is sent to an endpoint on trial, or waits, while the only
// healthy endpoint is full and another one has merely answered with an error.
func TestPickBesideFullEndpoint(t *testing.T) {
	b := book(3)
	b.Get("e0").Place.Reject(t0, time.Second, 1, 0)
	b.Get("e1").Trust.RecordFailure(t0, false)
	b.Get("e2").Trust = Trust{failuresInRow: ejectAfterFailures}
	for draw := range uint64(100) {
		w := Want{Service: "s", NoRetry: true, OnlyOpen: true, Draw: draw}
		if p, _ := b.Pick(t0, &w); p == nil || p.ID != "e1" {
			t.Fatalf("draw %d: got %v, want e1", draw, p)
		}
	}
}

// Guards against absurd load reports, with which an endpoint would seem full for ever.
func TestPlausibleLoad(t *testing.T) {
	p := &Endpoint{Entry: Entry{Slots: 6}}
	for _, c := range []struct {
		running, waiting int
		want             bool
	}{{6, 24, true}, {0, 0, true}, {-1, 0, false}, {0, -1, false}, {6, math.MaxInt, false}, {math.MaxInt, 0, false}} {
		if got := p.PlausibleLoad(c.running, c.waiting); got != c.want {
			t.Errorf("%d running and %d waiting: got %v, want %v", c.running, c.waiting, got, c.want)
		}
	}
}

func BenchmarkRoom(b *testing.B) {
	k := NewBook()
	for i := range 64 {
		e := entry(fmt.Sprint("e", i), 1)
		k.Put(e)
		k.Get(e.ID).Load.RecordReport(t0, 6, 20)
	}
	w := Want{Service: "s", OnlyOpen: true, NoRetry: true, Reserved: []uint64{1, 2, 3}}
	b.ReportAllocs()
	for b.Loop() {
		k.Room(t0, &w, 30*time.Millisecond, 0)
	}
}
