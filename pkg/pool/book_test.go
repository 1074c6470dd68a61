// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/epoch"
)

var t0 = time.Unix(1_000_000, 0)

func entry(id string, revision epoch.Revision) Entry {
	return Entry{ID: id, Service: "s", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "a", Version: "v1", Slots: 4, Revision: revision}
}

func picks(b *Book, now time.Time) map[string]int {
	got := make(map[string]int)
	for d := range uint64(200) {
		if p, _ := b.Pick(now, &Want{Service: "s", Zone: "a", Draw: d}); p != nil {
			got[p.ID]++
		}
	}
	return got
}

func TestLeavingIsNeverReset(t *testing.T) {
	b := NewBook()
	b.Put(entry("x", 1))
	leaving := entry("x", 5)
	leaving.Leaving = true
	b.Put(leaving)
	b.Put(entry("x", 3))
	b.Put(entry("x", 9))
	if got := picks(b, t0); len(got) != 0 {
		t.Errorf("picks of a leaving endpoint: got %v, want none", got)
	}
}

func TestRemovedIsNotListedByOlderEntry(t *testing.T) {
	b := NewBook()
	b.Put(entry("x", 1))
	b.Remove("x", 4, t0, time.Time{})
	b.Put(entry("x", 2))
	if got := b.Len(); got != 0 {
		t.Errorf("endpoints: got %d, want 0", got)
	}
	b.Put(entry("x", 6))
	if got := b.Len(); got != 1 {
		t.Errorf("endpoints after a newer entry: got %d, want 1", got)
	}
}

func TestRemovalInOutageHasGracePeriod(t *testing.T) {
	b := NewBook()
	b.Put(entry("x", 1))
	b.Put(entry("y", 1))
	leaving := entry("z", 2)
	leaving.Leaving = true
	b.Put(leaving)
	lapsesAt := t0.Add(2 * time.Second)
	for _, id := range []string{"x", "y", "z"} {
		b.Remove(id, 9, t0, lapsesAt)
	}
	if got := picks(b, t0); len(got) != 2 {
		t.Errorf("endpoints in use right after the outage: got %v, want x and y", got)
	}
	b.Put(entry("y", 10))
	b.Expire(lapsesAt)
	if got := picks(b, lapsesAt); got["y"] == 0 || len(got) != 1 {
		t.Errorf("endpoints in use after the grace period: got %v, want only y", got)
	}
}

// A grace period is extended, and no other endpoint gets one.
//
// Guards against endpoints that are dropped while it is not known whether they are listed again.
func TestExtendGrace(t *testing.T) {
	b := NewBook()
	b.Put(entry("x", 1))
	b.Put(entry("y", 1))
	lapsesAt, later := t0.Add(2*time.Second), t0.Add(5*time.Second)
	b.Remove("x", 9, t0, lapsesAt)
	b.ExtendGrace(later)
	b.ExtendGrace(lapsesAt)
	if got := b.Expire(later.Add(-1)); len(got) != 0 {
		t.Errorf("dropped before the end of the grace period: got %v, want none", got)
	}
	if got := picks(b, later.Add(-1)); len(got) != 2 {
		t.Errorf("endpoints in use before the end of the grace period: got %v, want x and y", got)
	}
	if got := b.Expire(later); !slices.Equal(got, []string{"x"}) {
		t.Errorf("dropped at the end of the grace period: got %v, want x", got)
	}
}

func TestRemovalWithoutOutageIsImmediate(t *testing.T) {
	b := NewBook()
	b.Put(entry("x", 1))
	b.Remove("x", 9, t0, time.Time{})
	if got := b.Len(); got != 0 {
		t.Errorf("endpoints: got %d, want 0", got)
	}
}

// TestServing checks that the prompts of a service are divided only among endpoints that get work: what a
// prompt delays would be underestimated in the moment in which most of them are lost.
func TestServing(t *testing.T) {
	b := inZones("a", "b", "c")
	b.CloseZone("a", 2)
	for range ejectAfterFailures {
		b.Get("e10").Trust.RecordFailure(t0, true)
	}
	b.Get("e11").RecordNotice(Notice{RestUntil: t0.Add(time.Second)}, t0, t0)
	b.Get("e20").RecordNotice(Notice{Leaving: true}, t0, t0)
	if got := b.Serving("s", t0); got != 1 {
		t.Errorf("endpoints that get work: got %d, want e21 alone", got)
	}
	late := t0.Add(maxEject)
	if got := b.Serving("s", late); got != 2 {
		t.Errorf("endpoints that get work after a rest period and an ejection without a success: got %d, want e11 and e21", got)
	}
	b.Get("e10").Trust.RecordSuccess(late)
	if got := b.Serving("s", late); got != 3 {
		t.Errorf("endpoints that get work after a success: got %d, want e10, e11 and e21", got)
	}
}

// An endpoint that was removed gets no work when a store that came back from an older copy lists it again, until it
// has written a later entry or the grace period is over. One that the copy lacks is kept for its grace period, and
// gets work at once when it is listed again.
//
// Guards against requests to an endpoint that has left, and against endpoints that are lost for longer than the
// store needs to list them again.
func TestRestoredEntryOfARemovedEndpoint(t *testing.T) {
	restored := func(e Entry) Entry { e.Restored, e.ReceivedAt = true, t0; return e }
	usable := func(b *Book, at time.Time) bool { p := b.Get("a"); return p != nil && p.usable(at) }
	t.Run("removed", func(t *testing.T) {
		b := NewBook()
		b.Put(entry("a", epoch.At(1, 5)))
		b.Remove("a", epoch.At(1, 9), t0, time.Time{})
		b.Put(restored(entry("a", epoch.At(2, 5))))
		end := unconfirmedGrace.After(t0)
		if usable(b, end.Add(-time.Millisecond)) || !usable(b, end) {
			t.Error("restored entry: want it unused up to the end of the grace period, and used from then on")
		}
		b.Put(entry("a", epoch.At(2, 8)))
		if !usable(b, t0) {
			t.Error("entry that the endpoint wrote after the return: want it used at once")
		}
	})
	t.Run("lost", func(t *testing.T) {
		b := NewBook()
		b.Put(entry("a", epoch.At(1, 50)))
		grace := t0.Add(2 * time.Second)
		b.Remove("a", epoch.At(2, 34), t0, grace)
		if !usable(b, grace.Add(-time.Millisecond)) {
			t.Error("endpoint that the copy lacks: want it used during its grace period")
		}
		b.Expire(grace)
		b.Put(entry("a", epoch.At(1, 50)))
		b.Put(entry("a", epoch.At(1, 60)))
		if b.Get("a") != nil {
			t.Error("entry of the earlier epoch, late: want it ignored")
		}
		b.Put(entry("a", epoch.At(2, 36)))
		if !usable(b, grace) {
			t.Error("endpoint that wrote its entry again: want it used at once")
		}
	})
}
