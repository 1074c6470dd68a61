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
