// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"testing"
	"time"
)

// An endpoint that announced that it is leaving gets no new work in this incarnation, whatever the list
// has: a later revision as ready, a removal, a grace period, a new entry. Its next incarnation gets work.
func TestAnnouncedLeavingHolds(t *testing.T) {
	usable := func(b *Book) bool {
		got, _ := b.Pick(t0, &Want{Service: "s"})
		return got != nil
	}
	for _, c := range []struct {
		name   string
		change func(b *Book, e Entry)
		want   bool
	}{
		{"unchanged", func(*Book, Entry) {}, false},
		{"listed again", func(b *Book, e Entry) { e.Revision = 2; b.Put(e) }, false},
		{"listed without its start time", func(b *Book, e Entry) {
			e.Revision, e.StartedAt = 2, time.Time{}
			b.Put(e)
			e.Revision, e.StartedAt = 3, t0
			b.Put(e)
		}, false},
		{"removed and listed again", func(b *Book, e Entry) {
			b.Remove(e.ID, 2, t0, time.Time{})
			e.Revision = 3
			b.Put(e)
		}, false},
		{"announced after its removal", func(b *Book, e Entry) {
			b.Remove(e.ID, 2, t0, time.Time{})
			b.RecordLeaving(e)
			e.Revision = 3
			b.Put(e)
		}, false},
		{"removed with a grace period", func(b *Book, e Entry) {
			b.Remove(e.ID, 2, t0, t0.Add(time.Minute))
			e.Revision = 3
			b.Put(e)
		}, false},
		{"next incarnation", func(b *Book, e Entry) { e.Revision, e.StartedAt = 2, t0.Add(time.Second); b.Put(e) }, true},
		{"next incarnation after removal", func(b *Book, e Entry) {
			b.Remove(e.ID, 2, t0, time.Time{})
			e.Revision, e.StartedAt = 3, t0.Add(time.Second)
			b.Put(e)
		}, true},
	} {
		b, e := NewBook(), entry("e0", 1)
		e.StartedAt = t0
		b.Put(e)
		if got := b.Get("e0").RecordNotice(Notice{Leaving: true}, t0, t0); !got.Leaving {
			t.Errorf("%s: first announcement: got no change", c.name)
		}
		c.change(b, e)
		if got := usable(b); got != c.want {
			t.Errorf("%s: usable: got %v, want %v", c.name, got, c.want)
		}
	}
}

// A notice that a peer relayed applies to its own incarnation only, and is kept for an endpoint that is not
// listed yet.
func TestPeerNoticeAppliesToIncarnation(t *testing.T) {
	e := entry("e0", 1)
	e.StartedAt = t0
	at := Endpoint{Entry: e, hash: HashOf(e.ID)}
	notice := Notice{Limit: Limited, PerSecond: 2, Leaving: true}
	for _, c := range []struct {
		name        string
		incarnation uint64
		early       bool
		want        Notice
	}{
		{"this incarnation", at.Incarnation(), false, notice},
		{"another incarnation", at.Incarnation() + 1, false, Notice{}},
		{"this incarnation, listed later", at.Incarnation(), true, notice},
		{"another incarnation, listed later", at.Incarnation() + 1, true, Notice{}},
	} {
		b := NewBook()
		if !c.early {
			b.Put(e)
		}
		b.RecordPeerNotice(HashOf(e.ID), c.incarnation, notice, t0)
		b.Put(e)
		if got := b.Get("e0").Notice(); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// Announcements hold for an incarnation, also where its entry is removed and listed again meanwhile.
func TestAnnouncementsOutliveTheEntry(t *testing.T) {
	b, e := NewBook(), entry("e0", 1)
	e.StartedAt = t0
	b.SetSenders(Senders{Self: 1, All: []uint64{1}})
	b.Put(e)
	b.Get("e0").RecordNotice(Notice{Limit: Limited, PerSecond: 2, RestUntil: t0.Add(3 * time.Second)}, t0, t0)
	b.Remove("e0", 2, t0, time.Time{})
	e.Revision = 3
	b.Put(e)
	p := b.Get("e0")
	if perSecond, ok := p.Limit(); !ok || perSecond != 2 {
		t.Errorf("limit of an entry listed again: got %v, %v, want 2", perSecond, ok)
	}
	if p.ready(t0.Add(2 * time.Second)) {
		t.Error("rest period of an entry listed again: got ready, want not ready")
	}
	b.Remove("e0", 4, t0, time.Time{})
	e.Revision, e.StartedAt = 5, t0.Add(time.Second)
	b.Put(e)
	if _, ok := b.Get("e0").Limit(); ok || !b.Get("e0").ready(t0.Add(2*time.Second)) {
		t.Error("next incarnation: got a limit or a rest period, want neither")
	}
}
