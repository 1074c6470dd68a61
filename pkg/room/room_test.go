// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package room

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var t0 = time.Unix(1000, 0)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func drawTicket(t *rapid.T, now time.Time) *Ticket {
	k := &Ticket{Rank: rapid.IntRange(0, 5).Draw(t, "rank"), Deadline: now.Add(ms(rapid.IntRange(1, 5000).Draw(t, "deadline"))), Since: now, Wake: make(chan struct{}, 1)}
	if rapid.Bool().Draw(t, "aim") {
		k.AimAt = now.Add(ms(rapid.IntRange(0, 300).Draw(t, "aimAt")))
	}
	if rapid.IntRange(0, 3).Draw(t, "restricted") == 0 {
		k.Only = []uint64{uint64(rapid.IntRange(1, 3).Draw(t, "only"))}
	}
	return k
}

// Guards against requests that are served out of order, lost from the queue or kept in it beyond its
// bound: by rank with ageing, then by deadline, then by arrival, also after a request was rejected and
// waits again.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		var model []*Ticket
		now := t0
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(ms(rapid.IntRange(0, 40).Draw(t, "pause")))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1, 2:
				k := drawTicket(t, now)
				if got, want := q.Push(k), len(model) < MaxWaiting; got != want {
					t.Fatalf("pushed to %d: got %v, want %v", len(model), got, want)
				} else if want {
					model = append(model, k)
				}
			case 3:
				if len(model) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(model)-1).Draw(t, "left")
				q.Remove(model[i])
				model = slices.Delete(model, i, i+1)
			case 4:
				first := q.First(now)
				if first == nil {
					continue
				}
				// It is offered and rejected: nothing may have got before it.
				q.Remove(first)
				if n := q.Ahead(first, now); n != 0 {
					t.Fatalf("ahead of the request that was first: got %d, want 0", n)
				}
				q.Push(first)
			}
			checkOrder(t, &q, model, now)
		}
	})
}

func checkOrder(t *rapid.T, q *Queue, model []*Ticket, now time.Time) {
	if q.Len() != len(model) || cap(q.waiting) > 2*MaxWaiting {
		t.Fatalf("waiting: got %d with room for %d, want %d", q.Len(), cap(q.waiting), len(model))
	}
	for _, a := range model {
		for _, b := range model {
			if a != b && a.before(b, now) == b.before(a, now) {
				t.Fatalf("order of %+v and %+v is not strict", a, b)
			}
			if precedes(a, b, now) && !a.before(b, now) {
				t.Fatalf("%+v is not before %+v", a, b)
			}
		}
		if first := q.First(now); a != first && a.before(first, now) {
			t.Fatalf("first: got %+v, want %+v", first, a)
		}
	}
}

// precedes is the order of the page, without the order of arrival.
func precedes(a, b *Ticket, now time.Time) bool {
	ra, rb := a.rank(now), b.rank(now)
	return ra < rb || ra == rb && a.Deadline.Before(b.Deadline)
}

// Guards against a new request that passes a returning one of the same rank, and against a less urgent one
// that passes either, however early its deadline is.
func TestReturningGoesFirst(t *testing.T) {
	var q Queue
	fresh := &Ticket{Rank: 1, Deadline: t0.Add(ms(2500)), Since: t0}
	back := &Ticket{Rank: 1, Deadline: t0.Add(ms(1700)), Since: t0}
	lesser := &Ticket{Rank: 2, Deadline: t0.Add(ms(100)), Since: t0}
	for _, k := range []*Ticket{fresh, lesser, back} {
		q.Push(k)
	}
	for i, want := range []*Ticket{back, fresh, lesser} {
		if got := q.First(t0); got != want {
			t.Fatalf("request %d: got %+v, want %+v", i, got, want)
		}
		q.Remove(want)
	}
}

// Guards against starvation: however urgent the requests are that arrive while places open, one that waits is
// first after as many steps of ageing as the ranks are apart, and one more, if as many are served as arrive.
func TestAgeing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		rank := rapid.IntRange(0, 9).Draw(t, "rank")
		old := &Ticket{Rank: rank, Deadline: t0.Add(time.Hour), Since: t0}
		q.Push(old)
		now, limit := t0, t0.Add(ageStep*time.Duration(rank+1)+ms(50))
		for ; !now.After(limit); now = now.Add(ms(rapid.IntRange(1, 50).Draw(t, "pause"))) {
			q.Push(&Ticket{Deadline: now.Add(ms(rapid.IntRange(1, 100).Draw(t, "deadline"))), Since: now})
			first := q.First(now)
			if first == old {
				return
			}
			q.Remove(first)
		}
		t.Fatalf("a request of rank %d was never first within %v", rank, limit.Sub(t0))
	})
}

// Guards against requests that wait for endpoints that they can't use: a restricted request must not hold
// up others at other endpoints, and its endpoint is left to it.
func TestRestricted(t *testing.T) {
	var q Queue
	bound := &Ticket{Deadline: t0.Add(ms(100)), Since: t0, Only: []uint64{1}, Wake: make(chan struct{}, 1)}
	free := &Ticket{Deadline: t0.Add(ms(200)), Since: t0, Wake: make(chan struct{}, 1)}
	q.Push(bound)
	if got := q.Ahead(free, t0); got != 0 {
		t.Errorf("ahead of one that may go anywhere: got %d, want 0", got)
	}
	if got := q.Reserved(nil, free, t0); !slices.Equal(got, []uint64{1}) {
		t.Errorf("reserved: got %v, want 1", got)
	}
	q.Push(free)
	q.WakeFor(2, t0)
	if len(bound.Wake) != 0 || len(free.Wake) != 1 {
		t.Error("a place at endpoint 2 did not wake the request that may use it")
	}
	q.WakeFor(1, t0)
	if len(bound.Wake) != 1 {
		t.Error("a place at endpoint 1 did not wake its first request")
	}
}

// Guards against a place that nobody takes, as the request behind the one that left sleeps on.
func TestNextIsWoken(t *testing.T) {
	var q Queue
	ticket := func(deadline int, only ...uint64) *Ticket {
		k := &Ticket{Deadline: t0.Add(ms(deadline)), Since: t0, Only: only, Wake: make(chan struct{}, 1)}
		q.Push(k)
		return k
	}
	first, bound, second, third := ticket(1), ticket(2, 7), ticket(3), ticket(4)
	q.Remove(first)
	q.WakeNext(first, t0)
	q.WakeNext(first, t0)
	if len(bound.Wake) != 1 || len(second.Wake) != 1 || len(third.Wake) != 0 {
		t.Fatalf("woken: got %d, %d, %d, want the restricted and the next other request", len(bound.Wake), len(second.Wake), len(third.Wake))
	}
	<-second.Wake
	q.Remove(bound)
	q.WakeNext(bound, t0)
	if len(second.Wake) != 1 {
		t.Error("the endpoint that a restricted request left to others wakes none")
	}
}

// Guards against requests that are held for more than their return would cost.
func TestHoldUntil(t *testing.T) {
	for _, c := range []struct {
		end        time.Duration
		mayHaveRun bool
		want       time.Duration
	}{
		{1200 * time.Millisecond, false, 240 * time.Millisecond},
		{time.Minute, false, time.Second},
		{1200 * time.Millisecond, true, 1200 * time.Millisecond},
		{-time.Second, false, 0},
	} {
		r := Request{Arrived: t0, End: t0.Add(c.end), MayHaveRun: c.mayHaveRun}
		if got := r.HoldUntil().Sub(t0); got != c.want {
			t.Errorf("%v left, may have run %v: got %v, want %v", c.end, c.mayHaveRun, got, c.want)
		}
	}
}

// Guards against late requests that take the places of those that can be in time, and against refusals of late
// ones where no other needs the place.
func TestLateRequests(t *testing.T) {
	const late, fresh = -1, 150
	for _, c := range []struct {
		name     string
		aimIn    int
		wait     int
		shedding bool
		want     Cause
	}{
		{"fresh, in time", fresh, 90, true, ""},
		{"fresh, late", fresh, 120, false, ByAim},
		{"late, no others refused", late, 120, false, ""},
		{"late, others refused", late, 120, true, ByOthers},
		{"late, others refused, free", late, 40, true, ""},
	} {
		var q Queue
		r := Request{Ticket: &Ticket{Deadline: t0.Add(ms(1700)), AimAt: t0.Add(ms(c.aimIn))}, Arrived: t0, Aim: ms(150), End: t0.Add(ms(1200))}
		k := Capacity{Eligible: 1, Open: 1, Work: ms(30), Wait: ms(c.wait), Busy: true}
		if d := Decide(t0, &q, &r, &k, c.shedding); d.Cause != c.want {
			t.Errorf("%s: got %+v, want cause %q", c.name, d, c.want)
		}
	}
	// While the endpoint is full, a late one waits unless one behind it becomes late by that.
	for _, c := range []struct {
		aimIn int
		want  Cause
	}{{35, ByOthers}, {45, ""}, {20, ""}} {
		var q Queue
		q.Push(&Ticket{Deadline: t0.Add(ms(2500)), AimAt: t0.Add(ms(c.aimIn)), Since: t0})
		r := Request{Ticket: &Ticket{Deadline: t0.Add(ms(1700)), AimAt: t0.Add(-ms(1))}, Arrived: t0, Aim: ms(150), End: t0.Add(ms(1200))}
		k := Capacity{Eligible: 1, NextAt: t0, Interval: ms(10), Work: ms(30)}
		if d := Decide(t0, &q, &r, &k, false); d.Cause != c.want {
			t.Errorf("one behind it with %d ms left: got %+v, want cause %q", c.aimIn, d, c.want)
		}
	}
}

// drawCapacity draws what endpoints accept, and drawRequest a request.
func drawCapacity(t *rapid.T) Capacity {
	c := Capacity{Eligible: rapid.IntRange(0, 3).Draw(t, "eligible"), Work: ms(rapid.IntRange(0, 60).Draw(t, "work")), Wait: ms(rapid.IntRange(0, 200).Draw(t, "wait")), Busy: rapid.Bool().Draw(t, "busy"), Interval: ms(rapid.IntRange(0, 50).Draw(t, "interval"))}
	c.Open = rapid.IntRange(0, c.Eligible).Draw(t, "open")
	if c.Open < c.Eligible {
		c.NextAt = t0.Add(ms(rapid.IntRange(1, 100).Draw(t, "next")))
	}
	return c
}

func drawRequest(t *rapid.T) Request {
	k := drawTicket(t, t0)
	arrived := t0.Add(-ms(rapid.IntRange(0, 2000).Draw(t, "ago")))
	return Request{Ticket: k, Arrived: arrived, Aim: ms(150), End: k.Deadline, MayHaveRun: rapid.Bool().Draw(t, "mayHaveRun")}
}

// Guards against refusals beside free places, against requests that are sent before others that wait, and
// against ones that are held beyond what holding may cost.
func TestDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		for range rapid.IntRange(0, 5).Draw(t, "waiting") {
			q.Push(drawTicket(t, t0))
		}
		r, c := drawRequest(t), drawCapacity(t)
		d := Decide(t0, &q, &r, &c, rapid.Bool().Draw(t, "shedding"))
		if (d.Action == Refuse) != (d.Cause != "") {
			t.Fatalf("action %v with cause %q", d.Action, d.Cause)
		}
		ahead := q.Ahead(r.Ticket, t0)
		inTime, mayRefuse := !t0.Add(c.Work).After(r.End), c.Busy && !r.MayHaveRun
		if want := c.Eligible == 0 || ahead < c.Open && inTime && !mayRefuse; want && d.Action != Send {
			t.Fatalf("a place may be free: got %+v, want Send", d)
		}
		if c.Eligible > 0 && ahead >= c.Open && d.Action == Send {
			t.Fatalf("%d wait before it for %d endpoints: got Send", ahead, c.Open)
		}
		checkCause(t, d, &r, &c)
	})
}

// checkCause checks when a request waits and for which causes one is refused.
func checkCause(t *rapid.T, d Decision, r *Request, c *Capacity) {
	switch {
	case d.Action == Refuse && r.MayHaveRun && d.Cause != ByDeadline && d.Cause != ByHold:
		t.Fatalf("an attempt may have run: got %+v", d)
	case d.Action == Wait && (!d.At.Before(r.HoldUntil()) || d.At.Add(c.Work).After(r.End)):
		t.Fatalf("held until %v, beyond %v", d.At, r.HoldUntil())
	}
}

// Guards against callers that return faster than places open, and against times that callers ignore.
func TestReturnsAreSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Spread
		now := t0
		interval := ms(rapid.IntRange(1, 120).Draw(t, "interval"))
		var slots []time.Time
		for range rapid.IntRange(1, 100).Draw(t, "refusals") {
			now = now.Add(ms(rapid.IntRange(0, 30).Draw(t, "pause")))
			left := ms(rapid.IntRange(-10, 3000).Draw(t, "left"))
			from := now.Add(ms(rapid.IntRange(0, 100).Draw(t, "from")))
			before := s.last
			at := s.Next(now, from, now.Add(left), interval, rapid.Uint64().Draw(t, "draw"))
			if at.Before(now) || left > 0 && at.Sub(now) > left/3 {
				t.Fatalf("return after %v with %v left", at.Sub(now), left)
			}
			if s.last != before {
				slots = append(slots, at)
				if at.Before(from) {
					t.Fatalf("return before a place is expected: %v", from.Sub(at))
				}
			}
		}
		for i := 1; i < len(slots); i++ {
			if got := slots[i].Sub(slots[i-1]); got < interval {
				t.Fatalf("returns %v apart, want %v at least", got, interval)
			}
		}
	})
}

// Guards against an endpoint that is offered requests while it is full, or is never offered one again, and
// against two requests that probe it at once.
func TestPlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Place
		now := t0
		routers := rapid.IntRange(-1, 400).Draw(t, "routers")
		for range rapid.IntRange(1, 30).Draw(t, "rejections") {
			perEnd := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "perEnd"))
			p.Reject(now, perEnd, routers, rapid.Uint64().Draw(t, "draw"))
			if d := p.OpenAt().Sub(now); d < minFull/2 || d > 3*maxFull/2 {
				t.Fatalf("full for %v", d)
			}
			if got := p.Contenders(); got < 1 || got > max(routers, 1) {
				t.Fatalf("contenders: got %d of %d routers", got, routers)
			}
			now = p.OpenAt()
			if !p.Open(now) {
				t.Fatal("not open at OpenAt")
			}
			p.Offer(now)
			if p.Open(now) || !p.Open(now.Add(probeTime)) {
				t.Fatal("want one offer to a full endpoint at a time")
			}
		}
		p.Answer(now.Add(time.Millisecond))
		if !p.Open(now) {
			t.Error("not open though a request ended")
		}
		p.Free()
		p.Offer(now)
		if !p.Open(now) {
			t.Error("an endpoint with free places takes only one request at a time")
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	var q Queue
	for i := range MaxWaiting - 1 {
		q.Push(&Ticket{Rank: i % 4, Deadline: t0.Add(ms(2000 + i)), AimAt: t0.Add(ms(i)), Since: t0})
	}
	r := Request{Ticket: &Ticket{Rank: 1, Deadline: t0.Add(ms(2500)), AimAt: t0.Add(-ms(100)), Since: t0}, Arrived: t0, Aim: ms(150), End: t0.Add(ms(1200))}
	c := Capacity{Eligible: 64, NextAt: t0.Add(ms(5)), Interval: ms(5), Work: ms(30)}
	b.ReportAllocs()
	for b.Loop() {
		Decide(t0, &q, &r, &c, false)
	}
}
