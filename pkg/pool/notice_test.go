// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"testing"
	"time"
)

// An endpoint that has said that it leaves stays so for its life, whatever the list says: listed as
// ready by a later revision, lapsed, removed and listed again. Its next life is ready.
func TestEndpointThatSaidItLeaves(t *testing.T) {
	usable := func(b *Book) bool {
		got, _ := b.Pick(t0, &Want{Service: "s"})
		return got != nil
	}
	for _, c := range []struct {
		name   string
		change func(b *Book, e Entry)
		want   bool
	}{
		{"nothing", func(*Book, Entry) {}, false},
		{"listed again", func(b *Book, e Entry) { e.Revision = 2; b.Put(e) }, false},
		{"listed without its life", func(b *Book, e Entry) {
			e.Revision, e.Born = 2, time.Time{}
			b.Put(e)
			e.Revision, e.Born = 3, t0
			b.Put(e)
		}, false},
		{"removed and listed again", func(b *Book, e Entry) {
			b.Remove(e.ID, 2, t0, time.Time{})
			e.Revision = 3
			b.Put(e)
		}, false},
		{"said after its removal", func(b *Book, e Entry) {
			b.Remove(e.ID, 2, t0, time.Time{})
			b.Left(e)
			e.Revision = 3
			b.Put(e)
		}, false},
		{"lapses at once", func(b *Book, e Entry) {
			b.Remove(e.ID, 2, t0, t0.Add(time.Minute))
			e.Revision = 3
			b.Put(e)
		}, false},
		{"next life", func(b *Book, e Entry) { e.Revision, e.Born = 2, t0.Add(time.Second); b.Put(e) }, true},
		{"next life after removal", func(b *Book, e Entry) {
			b.Remove(e.ID, 2, t0, time.Time{})
			e.Revision, e.Born = 3, t0.Add(time.Second)
			b.Put(e)
		}, true},
	} {
		b, e := NewBook(), entry("e0", 1)
		e.Born = t0
		b.Put(e)
		if got := b.Get("e0").Notes(Notice{Leaving: true}, t0, t0); !got.Leaving {
			t.Errorf("%s: first word: got no change", c.name)
		}
		c.change(b, e)
		if got := usable(b); got != c.want {
			t.Errorf("%s: usable: got %v, want %v", c.name, got, c.want)
		}
	}
}

// What others were told holds for the life that said it alone, and is kept for an endpoint that is
// not listed yet.
func TestToldOfLives(t *testing.T) {
	e := entry("e0", 1)
	e.Born = t0
	at := Endpoint{Entry: e, hash: HashOf(e.ID)}
	said := Notice{Limit: Limited, PerSecond: 2, Leaving: true}
	for _, c := range []struct {
		name  string
		life  uint64
		early bool
		want  Notice
	}{
		{"this life", at.Life(), false, said},
		{"another life", at.Life() + 1, false, Notice{}},
		{"this life, listed later", at.Life(), true, said},
		{"another life, listed later", at.Life() + 1, true, Notice{}},
	} {
		b := NewBook()
		if !c.early {
			b.Put(e)
		}
		b.Told(HashOf(e.ID), c.life, said, t0)
		b.Put(e)
		if got := b.Get("e0").Notice(); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// What an endpoint said holds for its life, also where its entry lapses and is listed again meanwhile.
func TestWhatWasSaidOutlivesTheEntry(t *testing.T) {
	b, e := NewBook(), entry("e0", 1)
	e.Born = t0
	b.SetSenders(Senders{Self: 1, All: []uint64{1}})
	b.Put(e)
	b.Get("e0").Notes(Notice{Limit: Limited, PerSecond: 2, RestUntil: t0.Add(3 * time.Second)}, t0, t0)
	b.Remove("e0", 2, t0, time.Time{})
	e.Revision = 3
	b.Put(e)
	p := b.Get("e0")
	if perSecond, ok := p.Limit(); !ok || perSecond != 2 {
		t.Errorf("limit of an entry listed again: got %v, %v, want 2", perSecond, ok)
	}
	if p.ready(t0.Add(2 * time.Second)) {
		t.Error("rest of an entry listed again: got a request, want none")
	}
	b.Remove("e0", 4, t0, time.Time{})
	e.Revision, e.Born = 5, t0.Add(time.Second)
	b.Put(e)
	if _, ok := b.Get("e0").Limit(); ok || !b.Get("e0").ready(t0.Add(2*time.Second)) {
		t.Error("the next life: got a limit or a rest, want neither")
	}
}
