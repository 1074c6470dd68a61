// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"slices"
	"testing"
	"time"
)

// restingEndpoint is an endpoint that may request rest periods.
type restingEndpoint struct {
	b *Book
	p *Endpoint
}

func newRestingEndpoint() *restingEndpoint {
	b := NewBook()
	b.Put(entry("e0", 1))
	return &restingEndpoint{b, b.Get("e0")}
}

// at returns a time as milliseconds after t0.
func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// sends picks and sends at each of some times, and returns those at which a request was sent, in milliseconds.
func (r *restingEndpoint) sends(times ...int) (sent []int) {
	for _, ms := range times {
		if got, _ := r.b.Pick(at(ms), &Want{Service: "s"}); got != nil {
			got.RecordSend(at(ms))
			sent = append(sent, ms)
		}
	}
	return sent
}

// An endpoint that requested a rest period gets nothing until it is over, also if answers to earlier attempts
// request a shorter one or none. Then it gets one request alone, until an answer shows that it accepts more.
func TestRestIsKept(t *testing.T) {
	r := newRestingEndpoint()
	for _, c := range []struct {
		name                     string
		sentAt, receivedAt, rest int
		begun                    bool
		tried, sent              []int
	}{
		{"refused", 0, 0, 3000, true, []int{5}, nil},
		{"refused, earlier attempt", 0, 10, 1010, false, []int{1010}, nil},
		{"answered, earlier attempt", 0, 20, 0, false, []int{21, 2999, 3000, 3001}, []int{3000}},
		{"refused again", 3000, 3003, 6003, true, []int{3300, 6002, 6003, 6004}, []int{6003}},
		{"answered", 6003, 6010, 0, false, []int{6011, 6012}, []int{6011, 6012}},
	} {
		n := Notice{}
		if c.rest > 0 {
			n.RestUntil = at(c.rest)
		}
		if got := r.p.RecordNotice(n, at(c.sentAt), at(c.receivedAt)).Rest; got != c.begun {
			t.Errorf("%s: rest period has begun: got %v, want %v", c.name, got, c.begun)
		}
		if got := r.sends(c.tried...); !slices.Equal(got, c.sent) {
			t.Errorf("%s: sent at: got %v, want %v", c.name, got, c.sent)
		}
	}
}

// A request that finds all endpoints in rest periods gets the time at which the first one ends.
func TestUnavailableByRest(t *testing.T) {
	r := newRestingEndpoint()
	r.p.RecordNotice(Notice{RestUntil: at(3000)}, at(0), at(0))
	if l := r.b.Unavailability(at(1000), &Want{Service: "s"}); l.Resting != 1 || !l.RetryAt.Equal(at(3000)) {
		t.Errorf("unavailability: got %+v, want one resting until %v", l, at(3000))
	}
}

// A probe that is not answered keeps other requests away only for probeTimeout.
func TestRestEndsWithoutAnAnswer(t *testing.T) {
	var r rest
	r.update(t0.Add(time.Second), t0, t0)
	end := t0.Add(time.Second)
	r.recordSend(end)
	if r.over(end.Add(probeTimeout - time.Millisecond)) {
		t.Error("during the probe: got a request, want none")
	}
	if !r.over(end.Add(probeTimeout)) {
		t.Error("after probeTimeout: got no request, want one")
	}
}
