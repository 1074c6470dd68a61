// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"testing"
	"time"
)

// An endpoint that asked for rest gets nothing until it is over; then one request alone, until an
// answer shows that it takes requests again.
func TestRestIsKept(t *testing.T) {
	b := NewBook()
	b.Put(entry("e0", 1))
	p := b.Get("e0")
	w := Want{Service: "s"}
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	sent := func(now time.Time) bool {
		got, _ := b.Pick(now, &w)
		if got != nil {
			got.Sends(now)
		}
		return got != nil
	}
	if !p.Notes(Notice{RestUntil: at(3000)}, t0, t0).Rest {
		t.Error("refused: got no rest")
	}
	if p.Notes(Notice{RestUntil: at(1010)}, t0, at(10)).Rest {
		t.Error("refused again by an attempt from before: got another rest")
	}
	p.Notes(Notice{}, t0, at(20))
	if sent(at(2999)) {
		t.Error("before the end, shorter rests and older answers notwithstanding: got a request, want none")
	}
	if l := b.Lack(at(1000), &w); l.Resting != 1 || !l.At.Equal(at(3000)) {
		t.Errorf("lack: got %+v, want one that rests until %v", l, at(3000))
	}
	if !sent(at(3000)) || sent(at(3001)) {
		t.Error("at the end: want one request alone")
	}
	if !p.Notes(Notice{RestUntil: at(6003)}, at(3000), at(3003)).Rest {
		t.Error("refused once more: got no rest")
	}
	if sent(at(6002)) || !sent(at(6003)) || sent(at(6004)) {
		t.Error("at the second end: want one request alone")
	}
	p.Notes(Notice{}, at(6003), at(6010))
	if !sent(at(6011)) || !sent(at(6012)) {
		t.Error("after an answer: want requests as usual")
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
