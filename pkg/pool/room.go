// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"math"
	"slices"
	"time"

	"github.com/traildrift/traildrift/pkg/room"
)

// Room is what the endpoints of a service are expected to accept.
type Room struct {
	room.Capacity
	// Slots is the sum of the slots of the endpoints counted as eligible.
	Slots int
	// Reported says that one of them has reported its load, ever.
	Reported bool
	// Head is the least time to the head of an answer, in seconds: the reading time of earlier prompts
	// and, of this one, the time that Book.Room was given.
	Head float64
	// Age is the age of the load report of the endpoint with the least wait; 0 if there is none.
	Age time.Duration
}

// maxPlausibleLoad is the largest number of requests for each slot that a load report may name: the
// longest queues hold four times the slots. A report of more is ignored.
const maxPlausibleLoad = 64

// PlausibleLoad reports whether a load report of an endpoint can be right.
func (p *Endpoint) PlausibleLoad(running, waiting int) bool {
	most := maxPlausibleLoad * max(p.Slots, 1)
	return running >= 0 && waiting >= 0 && running <= most && waiting <= most
}

// offered reports whether admission control lets a request be sent to the endpoint.
func (p *Endpoint) offered(now time.Time, w *Want) bool {
	return (!w.OnlyOpen || p.Place.Open(now) && !slices.Contains(w.Reserved, p.hash)) && (len(w.Only) == 0 || slices.Contains(w.Only, p.hash))
}

// Room returns what the endpoints that Pick would consider for a request accept: the open ones, or all if all
// are full. work is the time in which one of them serves a request without waiting, and read the least reading
// time of the request's prompt, in seconds; 0 if unknown. Endpoints that are not trusted do not count.
func (b *Book) Room(now time.Time, w *Want, work time.Duration, read float64) (r Room) {
	var buf [maxScan]*Endpoint
	eligible := b.capable(buf[:0], now, *w)
	if len(eligible) == 0 {
		return r
	}
	r.Busy, r.Work, r.Eligible, r.Head = work > 0 && w.Affinity == 0, work, len(eligible), math.Inf(1)
	contenders := math.MaxInt
	for _, p := range eligible {
		r.Slots += max(p.Slots, 1)
		r.Reported = r.Reported || !p.Load.reportedAt.IsZero()
		r.Head = min(r.Head, w.leastHead(p, now, read))
		contenders = min(contenders, max(p.Place.Contenders(), 1))
		if p.Place.Open(now) && !slices.Contains(w.Reserved, p.hash) {
			r.addOpen(p, now)
		} else if at := later(p.Place.OpenAt(), now); r.NextAt.IsZero() || at.Before(r.NextAt) {
			r.NextAt = at
		}
	}
	r.Interval = work * time.Duration(contenders) / time.Duration(max(r.Slots, 1))
	return r
}

// capable appends to dst the endpoints that are trusted with a request: the open ones, so that none is missed in
// a service with more endpoints than are considered at once, or the full ones if there are no others. One whose
// last answer was an error counts also for a request that may not be retried: where an endpoint answers one
// request in seven with an error, few are healthy at any time.
func (b *Book) capable(dst []*Endpoint, now time.Time, w Want) []*Endpoint {
	list := b.byService[w.Service]
	w.Avoid = nil
	w.firstHash = w.firstTrusted(list, now)
	tests := []trustTest{(*Endpoint).settled, (*Endpoint).mayTry}
	if !w.NoRetry {
		tests = tests[1:]
	}
	for _, test := range tests {
		for _, open := range []bool{true, false} {
			w.OnlyOpen = open
			if found := fitting(dst, list, now, &w, test); len(found) > 0 {
				return found
			}
		}
	}
	return nil
}

// addOpen adds an endpoint that is not known to be full.
func (r *Room) addOpen(p *Endpoint, now time.Time) {
	r.Open++
	perEnd := time.Duration(float64(r.Work) * p.Pace.Factor(now) / float64(max(p.Slots, 1)))
	runs, age := p.Load.Runs(now), now.Sub(p.Load.reportedAt)
	if p.Load.reportedAt.IsZero() || perEnd <= 0 || runs-int(age/perEnd) <= p.Slots {
		r.Busy = false
	}
	if wait := time.Duration(max(runs+1-max(p.Slots, 1), 0)) * perEnd; r.Open == 1 || wait < r.Wait {
		r.Wait, r.Age = wait, 0
		if !p.Load.reportedAt.IsZero() {
			r.Age = age
		}
	}
}

// leastHead returns the least time to the head of an answer at an endpoint, in seconds.
func (w *Want) leastHead(p *Endpoint, now time.Time, read float64) float64 {
	wait := p.Load.Wait(now)
	if w.Urgent {
		wait *= w.AheadFraction
	}
	return wait + p.Pace.Factor(now)*read
}
