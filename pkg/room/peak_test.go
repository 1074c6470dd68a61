// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package room

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// The simulated peak is that of load 2 in docs/contention.md: routers before endpoints of 6 slots with a
// queue of 24, 30 ms of work, an aim of 150 ms, a route timeout of 1,200 ms and a deadline of 2,500 ms.
const (
	simRouters  = 22
	simSlots    = 6
	simQueue    = 24
	simWork     = 30 * time.Millisecond
	simWay      = 2 * time.Millisecond
	simAim      = 150 * time.Millisecond
	simTimeout  = 1200 * time.Millisecond
	simDeadline = 2500 * time.Millisecond
	simPeak     = 6 * time.Second
	simCalm     = 4 * time.Second
	simTries    = 8
	// simBefore is the pause after which the code before asked a refused caller to return.
	simBefore = 150 * time.Millisecond
)

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simHeap []simEvent

func (h simHeap) Len() int { return len(h) }
func (h simHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h simHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simEndpoint is an endpoint of the simulation.
type simEndpoint struct {
	running int
	queue   []func()
}

// simRouter is what one router knows of the only endpoint.
type simRouter struct {
	place    Place
	runs     int
	at       time.Time
	queue    Queue
	spread   Spread
	shedAt   time.Time
	inFlight int
	atReport int
}

type sim struct {
	rnd       *rand.Rand
	now       time.Time
	events    simHeap
	seq       int
	admission bool
	endpoint  simEndpoint
	routers   [simRouters]simRouter
	// These count requests by their end, rejected the attempts, heldLost the time for which requests
	// waited that were not served.
	total, inTime, late, refused, twice, failed, rejected, beside int
	heldLost                                                      time.Duration
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, run})
}

// call is one request of a caller at one router.
type call struct {
	first, arrived time.Time
	returned       bool
	tries          int
	r              *simRouter
	t              Ticket
	waiting        bool
}

func (s *sim) arrive(c *call) {
	c.arrived, c.r = s.now, &s.routers[s.rnd.IntN(simRouters)]
	c.t = Ticket{Rank: 2, Deadline: c.first.Add(simDeadline), AimAt: c.first.Add(simAim), Wake: make(chan struct{}, 1)}
	c.tries, c.waiting = 0, false
	s.consider(c)
}

// capacity is what Book.Room returns for the endpoint.
func (s *sim) capacity(r *simRouter) Capacity {
	c := Capacity{Eligible: 1, Work: simWork, Interval: simWork / simSlots * time.Duration(max(r.place.Contenders(), 1))}
	if !r.place.Open(s.now) {
		c.NextAt = r.place.OpenAt()
		return c
	}
	c.Open = 1
	runs := r.inFlight
	if !r.at.IsZero() && s.now.Sub(r.at) < 2*time.Second {
		runs = max(runs, r.runs+r.inFlight-r.atReport)
	}
	c.Wait = time.Duration(max(runs+1-simSlots, 0)) * simWork / simSlots
	c.Busy = !r.at.IsZero() && runs-int(s.now.Sub(r.at)/(simWork/simSlots)) > simSlots
	return c
}

func (s *sim) consider(c *call) {
	if !s.admission {
		s.send(c)
		return
	}
	if s.now.After(c.arrived.Add(simTimeout)) {
		panic("held to its end")
	}
	k := s.capacity(c.r)
	q := Request{Ticket: &c.t, Arrived: c.arrived, Aim: simAim, End: c.arrived.Add(simTimeout)}
	d := Decide(s.now, &c.r.queue, &q, &k, s.now.Before(c.r.shedAt.Add(500*time.Millisecond)))
	switch d.Action {
	case Send:
		c.r.place.Offer(s.now)
		if c.waiting {
			c.waiting = false
			c.r.queue.Remove(&c.t)
		}
		s.send(c)
	case Wait:
		if !c.waiting {
			c.waiting = true
			if c.t.Since.IsZero() {
				c.t.Since = s.now
			}
			c.r.queue.Push(&c.t)
		}
		s.after(min(max(d.At.Sub(s.now), time.Millisecond), 12*time.Millisecond), func() {
			if c.waiting {
				s.consider(c)
			}
		})
	case Refuse:
		if c.waiting {
			c.waiting = false
			c.r.queue.Remove(&c.t)
		}
		if d.Cause == ByAim {
			c.r.shedAt = s.now
		}
		s.refuse(c, d.At)
	}
}

func (s *sim) refuse(c *call, from time.Time) {
	s.refused++
	if !c.t.Since.IsZero() {
		s.heldLost += s.now.Sub(c.t.Since)
	}
	if s.endpoint.running < simSlots {
		s.beside++
	}
	if c.returned {
		s.twice++
		return
	}
	c.returned = true
	at := s.now.Add(simBefore)
	if s.admission {
		if from.Before(s.now.Add(50 * time.Millisecond)) {
			from = s.now.Add(50 * time.Millisecond)
		}
		at = c.r.spread.Next(s.now, from, c.first.Add(simDeadline), simWork/simSlots*simRouters, s.rnd.Uint64())
	}
	s.after(at.Sub(s.now), func() { s.arrive(c) })
}

func (s *sim) send(c *call) {
	r := c.r
	r.inFlight++
	sentAt := s.now
	s.after(simWay, func() {
		e := &s.endpoint
		if e.running >= simSlots && len(e.queue) >= simQueue {
			s.rejected++
			runs := e.running + len(e.queue)
			s.after(simWay, func() { s.reject(c, runs) })
			return
		}
		start := func() {
			e.running++
			s.after(simWork, func() {
				e.running--
				if len(e.queue) > 0 {
					f := e.queue[0]
					e.queue = e.queue[1:]
					f()
				}
				runs := e.running + len(e.queue)
				s.after(simWay, func() { s.answer(c, sentAt, runs) })
			})
		}
		if e.running < simSlots {
			start()
		} else {
			e.queue = append(e.queue, start)
		}
	})
}

func (r *simRouter) report(now time.Time, runs int) {
	r.runs, r.at, r.atReport = runs, now, r.inFlight
}

func (s *sim) reject(c *call, runs int) {
	r := c.r
	r.report(s.now, runs)
	r.inFlight--
	c.tries++
	switch {
	case c.tries >= simTries:
		s.refuse(c, s.now)
	case s.admission:
		r.place.Reject(s.now, simWork/simSlots, simRouters, s.rnd.Uint64())
		s.consider(c)
	default:
		s.send(c)
	}
}

func (s *sim) answer(c *call, sentAt time.Time, runs int) {
	r := c.r
	r.report(s.now, runs)
	r.inFlight--
	r.place.Answer(sentAt)
	if runs < simSlots {
		r.place.Free()
	}
	switch {
	case s.now.After(c.arrived.Add(simTimeout)):
		s.failed++
	case s.now.Sub(c.first) <= simAim:
		s.inTime++
	default:
		s.late++
	}
}

// simulate returns the results of a peak of load times the capacity.
func simulate(seed uint64, load float64, admission bool) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), admission: admission}
	capacity := simSlots / simWork.Seconds()
	for at, end := time.Duration(0), simPeak+simCalm; at < end; {
		rate := capacity / 2
		if at < simPeak {
			rate = capacity * load
		}
		at += time.Duration(s.rnd.ExpFloat64() / rate * float64(time.Second))
		s.total++
		s.after(at, func() { s.arrive(&call{first: s.now}) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return s
}

// worth is what the requests earn by docs/contention.md.
func (s *sim) worth() float64 {
	return (float64(s.inTime) + 0.1*float64(s.late) - 0.3*float64(s.twice)) / float64(s.total)
}

// add adds the results of another simulation.
func (s *sim) add(o *sim) {
	s.total, s.inTime, s.late, s.twice = s.total+o.total, s.inTime+o.inTime, s.late+o.late, s.twice+o.twice
	s.refused, s.failed, s.rejected, s.beside = s.refused+o.refused, s.failed+o.failed, s.rejected+o.rejected, s.beside+o.beside
	s.heldLost += o.heldLost
}

// In a peak, more requests must be served in time with admission control than without: in the order of
// arrival all of them become late, and offers at once are rejected again. None may be refused beside free
// slots, and none held until its timeout. Below the capacity there must be no loss.
func TestPeak(t *testing.T) {
	for _, c := range []struct{ load, factor float64 }{{0.9, 0.995}, {1.1, 1.5}, {1.5, 2}, {2, 1.8}} {
		var with, without sim
		for seed := range uint64(5) {
			with.add(simulate(seed, c.load, true))
			without.add(simulate(seed, c.load, false))
		}
		for _, s := range []*sim{&without, &with} {
			part := func(n int) float64 { return float64(n) / float64(s.total) }
			t.Logf("load %.1f: in time %.3f, late %.3f, refused twice %.3f, worth %.3f, rejected attempts %d, refusals %d, beside free slots %d, failed %d, held per refusal %d ms", c.load, part(s.inTime), part(s.late), part(s.twice), s.worth(), s.rejected, s.refused, s.beside, s.failed, s.heldLost.Milliseconds()/int64(max(s.refused, 1)))
		}
		if got, want := float64(with.inTime), c.factor*float64(without.inTime); got < want {
			t.Errorf("load %.1f: got %.0f served in time, want %.0f at least", c.load, got, want)
		}
		if with.worth() < without.worth()-0.001 {
			t.Errorf("load %.1f: got a worth of %.3f, want %.3f at least", c.load, with.worth(), without.worth())
		}
		if with.beside > 0 || with.failed > 0 || with.rejected > without.rejected/4 {
			t.Errorf("load %.1f: got %d refused beside free slots, %d failed and %d attempts rejected, want 0, 0 and a quarter of %d at most", c.load, with.beside, with.failed, with.rejected, without.rejected)
		}
	}
}
