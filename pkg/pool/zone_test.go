// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/epoch"
)

// inZones returns a book with two endpoints in each of some availability zones.
func inZones(zones ...string) *Book {
	b := NewBook()
	for i, z := range zones {
		for j := range 2 {
			e := entry(fmt.Sprintf("e%d%d", i, j), 1)
			e.Zone = z
			b.Put(e)
		}
	}
	return b
}

// pickedIn returns the availability zones to which 64 draws of a request go.
func pickedIn(b *Book, now time.Time, w *Want) map[string]bool {
	got := make(map[string]bool)
	for d := range uint64(64) {
		w.Draw = d
		if p, _ := b.Pick(now, w); p != nil {
			got[p.Zone] = true
		}
	}
	return got
}

func TestClosedZoneGetsNothing(t *testing.T) {
	b := inZones("a", "b")
	held := wanted("prefix")
	b.RecordHolder(held.Affinity, b.Get("e00").Hash(), t0)
	for i, w := range []*Want{{Service: "s"}, held, wanted("unheard of")} {
		b.CloseZone("a", 2)
		if got := pickedIn(b, t0, w); got["a"] || !got["b"] {
			t.Errorf("request %d: zones: got %v, want b alone", i, got)
		}
		b.Get("e10").Trust.RecordFailure(t0, true)
		b.Get("e11").Trust.RecordFailure(t0, true)
		if got := pickedIn(b, t0, w); got["a"] || !got["b"] {
			t.Errorf("request %d, where none is trusted: zones: got %v, want b alone", i, got)
		}
		late := entry("late", 9)
		late.Zone = "a"
		b.Put(late)
		if got := pickedIn(b, t0, w); got["a"] {
			t.Errorf("request %d: an endpoint that was listed after its zone was closed was picked", i)
		}
	}
}

func TestAllZonesClosed(t *testing.T) {
	b := inZones("a", "b")
	b.CloseZone("a", 2)
	b.CloseZone("b", 3)
	w := &Want{Service: "s"}
	if p, _ := b.Pick(t0, w); p != nil {
		t.Fatalf("picked: got %s, want none", p.ID)
	}
	if got := b.Unavailability(t0, w); got.Closed != 4 || got.Warming != 0 {
		t.Errorf("unavailability: got %+v, want 4 closed", got)
	}
}

// The reasons of a request that is confined to some availability zones count the endpoints there
// alone. Guards against a request that is asked to come back when an endpoint of another zone is
// ready again, which may never serve it.
func TestUnavailabilityWithinAllowedZones(t *testing.T) {
	b := inZones("a", "b")
	b.CloseZone("b", 2)
	w := &Want{Service: "s", Zones: func(zone string) bool { return zone == "a" }}
	if got := b.Unavailability(t0, w); got.Closed != 0 {
		t.Errorf("allowed in a, where b is closed: got %+v, want none closed", got)
	}
	b.CloseZone("a", 3)
	if got := b.Unavailability(t0, w); got.Closed != 2 {
		t.Errorf("allowed in a, where both are closed: got %+v, want 2 closed", got)
	}
}

func TestOrdersOfZonesInAnyOrder(t *testing.T) {
	b := inZones("a")
	for _, c := range []struct {
		do     string
		at     epoch.Revision
		closed bool
	}{{"close", 5, true}, {"open", 4, true}, {"close", 5, true}, {"open", 7, false}, {"close", 6, false}, {"open", 7, false}, {"close", 9, true}} {
		if c.do == "close" {
			b.CloseZone("a", c.at)
		} else {
			b.OpenZone("a", c.at, t0)
		}
		if got := b.ClosedZones() == 1; got != c.closed {
			t.Errorf("%s at revision %d: closed: got %v, want %v", c.do, c.at, got, c.closed)
		}
	}
	if !b.CloseZone("without endpoints", 10) || b.ClosedZones() != 2 {
		t.Error("order for a zone without endpoints: not stored")
	}
}

// The endpoints of a reopened zone may have turned cold shortly before and report it up to a heartbeat later,
// so that they count as warming up until they report otherwise.
func TestOpenedZoneWarmsUp(t *testing.T) {
	b := inZones("a")
	b.SetWarmup("s", Warmup{Allowance: 14, Duration: 3 * time.Second})
	e := b.Get("e00").Entry
	b.CloseZone("a", 2)
	b.OpenZone("a", 5, t0)
	p := b.Get("e00")
	if !p.Warming(t0) || p.Warming(t0.Add(3*time.Second)) {
		t.Errorf("after the zone was opened: warming: got %v, and 3 s later %v, want true, false", p.Warming(t0), p.Warming(t0.Add(3*time.Second)))
	}
	e.Revision, e.WarmReported, e.WarmAt = 4, true, t0
	b.Put(e)
	if !p.Warming(t0) {
		t.Error("entry from before the zone was reopened: got warm, want warming up")
	}
	e.Revision = 6
	b.Put(e)
	if p.Warming(t0) {
		t.Error("entry from after the zone was reopened that reports warm: got warming up, want warm")
	}
}

// A zone that was reopened is not closed at once by the order that a store came back with, and a closed one is not opened
// at once where the store came back without its order. The next order decides, or else the stored state, later.
//
// Guards against requests that move between zones and back while the operator's orders are written again.
func TestRestoredZoneOrdersWait(t *testing.T) {
	later := t0.Add(time.Second)
	reopened := func() *Book {
		b := NewBook()
		b.CloseZone("a", epoch.At(1, 5))
		b.OpenZone("a", epoch.At(1, 9), t0)
		return b
	}
	b := reopened()
	if b.CloseZoneAt("a", epoch.At(2, 5), t0, later); b.IsClosed("a") {
		t.Error("restored closing of a reopened zone: got it closed at once")
	}
	b.OpenZone("a", epoch.At(2, 8), t0)
	if b.ExpireZones(later); b.IsClosed("a") {
		t.Error("order removed again: got the zone closed")
	}
	b = reopened()
	b.CloseZoneAt("a", epoch.At(2, 5), t0, later)
	if b.ExpireZones(later); !b.IsClosed("a") {
		t.Error("order not removed again: want the zone closed")
	}
	b = NewBook()
	b.CloseZone("a", epoch.At(1, 50))
	if b.OpenZoneAt("a", epoch.At(2, 34), t0, later); !b.IsClosed("a") {
		t.Error("order lost: got the zone open at once")
	}
	b.CloseZone("a", epoch.At(2, 36))
	if b.ExpireZones(later); !b.IsClosed("a") {
		t.Error("order given again: got the zone open")
	}
}
