// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"slices"
	"testing"
	"time"
)

// restful is an endpoint that may ask for rest.
type restful struct {
	b *Book
	p *Endpoint
}

func newRestful() *restful {
	b := NewBook()
	b.Put(entry("e0", 1))
	return &restful{b, b.Get("e0")}
}

// at returns a moment, in milliseconds.
func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// sends sends what may be sent at some moments, and returns when it was, in milliseconds.
func (r *restful) sends(times ...int) (sent []int) {
	for _, ms := range times {
		if got, _ := r.b.Pick(at(ms), &Want{Service: "s"}); got != nil {
			got.Sends(at(ms))
			sent = append(sent, ms)
		}
	}
	return sent
}

// An endpoint that asked for rest gets nothing until it is over, shorter rests and older answers
// notwithstanding; then one request alone, until an answer shows that it takes requests again.
func TestRestIsKept(t *testing.T) {
	r := newRestful()
	for _, c := range []struct {
		name                  string
		sentAt, heardAt, rest int
		begun                 bool
		tried, sent           []int
	}{
		{"refused", 0, 0, 3000, true, []int{5}, nil},
		{"refused, by an attempt from before", 0, 10, 1010, false, []int{1010}, nil},
		{"answered, by an attempt from before", 0, 20, 0, false, []int{21, 2999, 3000, 3001}, []int{3000}},
		{"refused once more", 3000, 3003, 6003, true, []int{3300, 6002, 6003, 6004}, []int{6003}},
		{"answered", 6003, 6010, 0, false, []int{6011, 6012}, []int{6011, 6012}},
	} {
		n := Notice{}
		if c.rest > 0 {
			n.RestUntil = at(c.rest)
		}
		if got := r.p.Notes(n, at(c.sentAt), at(c.heardAt)).Rest; got != c.begun {
			t.Errorf("%s: rest has begun: got %v, want %v", c.name, got, c.begun)
		}
		if got := r.sends(c.tried...); !slices.Equal(got, c.sent) {
			t.Errorf("%s: sent at: got %v, want %v", c.name, got, c.sent)
		}
	}
}

// A request that finds all endpoints resting is told when the first is over.
func TestLackOfRested(t *testing.T) {
	r := newRestful()
	r.p.Notes(Notice{RestUntil: at(3000)}, at(0), at(0))
	if l := r.b.Lack(at(1000), &Want{Service: "s"}); l.Resting != 1 || !l.At.Equal(at(3000)) {
		t.Errorf("lack: got %+v, want one that rests until %v", l, at(3000))
	}
}

// A request that is not answered does not keep others away for long.
func TestRestEndsWithoutAnAnswer(t *testing.T) {
	var r rest
	r.note(t0.Add(time.Second), t0, t0)
	end := t0.Add(time.Second)
	r.sends(end)
	if r.over(end.Add(testedFor - time.Millisecond)) {
		t.Error("while the request is under way: got another one, want none")
	}
	if !r.over(end.Add(testedFor)) {
		t.Error("later: got none, want another one")
	}
}
