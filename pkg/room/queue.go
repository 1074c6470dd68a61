// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package room

import (
	"cmp"
	"slices"
	"time"
)

// Ticket is the position of one request in a Queue. It is kept while the request is offered, so that a
// request that is rejected waits on in its old order.
type Ticket struct {
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// AimAt is when the answer is late; zero if it has no aim.
	AimAt time.Time
	// Only holds the hashes of the endpoints to which the request is restricted; empty for none.
	Only []uint64
	// Since is when the request began to wait for the first time.
	Since time.Time
	// Wake receives a value when the request should be considered again. It must have room for one.
	Wake chan struct{}
	// seq is the order of the first Push; 0 before.
	seq uint64
}

const (
	// MaxWaiting is the maximum number of requests that wait in a Queue. A router gets a few dozen
	// requests a second for a service, and none waits longer than a second.
	MaxWaiting = 64
	// ageStep is how long a request waits until its rank improves by one. One rank of a workspace is
	// three ranks of routes, and plain requests time out after 1,200 ms: after 600 ms of waiting a
	// request ranks with those of the next workspace rank, with half of that time left.
	ageStep = 200 * time.Millisecond
)

// Queue holds the requests of one service that wait at one router. The zero value is empty.
type Queue struct {
	// waiting is in no order; at most MaxWaiting long.
	waiting []*Ticket
	seq     uint64
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Push adds a ticket that is not in the queue. It returns false if MaxWaiting others wait.
func (q *Queue) Push(t *Ticket) bool {
	if len(q.waiting) >= MaxWaiting {
		return false
	}
	if t.seq == 0 {
		q.seq++
		t.seq = q.seq
	}
	q.waiting = append(q.waiting, t)
	return true
}

// Remove removes a ticket if it is in the queue.
func (q *Queue) Remove(t *Ticket) {
	if i := slices.Index(q.waiting, t); i >= 0 {
		n := len(q.waiting) - 1
		q.waiting[i], q.waiting[n] = q.waiting[n], nil
		q.waiting = q.waiting[:n]
	}
}

// rank returns the priority with ageing: it improves by one for each ageStep that the request has waited.
func (t *Ticket) rank(now time.Time) int {
	if t.Since.IsZero() {
		return t.Rank
	}
	return t.Rank - int(now.Sub(t.Since)/ageStep)
}

// before reports whether t is served before u: by rank with ageing, then by deadline, then by arrival.
func (t *Ticket) before(u *Ticket, now time.Time) bool {
	return rankedTicket{t, t.rank(now)}.compare(rankedTicket{u, u.rank(now)}) < 0
}

// First returns the waiting request that is served next; nil if none waits.
func (q *Queue) First(now time.Time) (first *Ticket) {
	for _, t := range q.waiting {
		if first == nil || t.before(first, now) {
			first = t
		}
	}
	return first
}

// Ahead returns how many waiting requests get a place before t, which may be in the queue or not. Those
// that are restricted to endpoints that t does not need are left out; see Reserved.
func (q *Queue) Ahead(t *Ticket, now time.Time) (n int) {
	for _, u := range q.waiting {
		if u != t && u.competes(t) && u.before(t, now) {
			n++
		}
	}
	return n
}

// competes reports whether t takes a place that u needs.
func (t *Ticket) competes(u *Ticket) bool {
	return len(t.Only) == 0 || slices.ContainsFunc(t.Only, func(h uint64) bool { return slices.Contains(u.Only, h) })
}

// Reserved appends to dst the endpoints whose next places belong to restricted requests that are served
// before t. A request that is not restricted leaves these to them.
func (q *Queue) Reserved(dst []uint64, t *Ticket, now time.Time) []uint64 {
	if len(t.Only) > 0 {
		return dst
	}
	for _, u := range q.waiting {
		if u != t && len(u.Only) > 0 && u.before(t, now) {
			dst = append(dst, u.Only...)
		}
	}
	return dst
}

// Displaces returns how many requests behind t would be served in time without it, but are late with it,
// if the next places open at next and then one each interval, and the answer comes service after its
// place opened.
func (q *Queue) Displaces(t *Ticket, now, next time.Time, interval, service time.Duration) (n int) {
	var buf [MaxWaiting]rankedTicket
	behind, ahead := buf[:0], 0
	own := rankedTicket{t, t.rank(now)}
	for _, u := range q.waiting {
		switch v := (rankedTicket{u, u.rank(now)}); {
		case u == t || !u.competes(t):
		case v.compare(own) < 0:
			ahead++
		default:
			behind = append(behind, v)
		}
	}
	slices.SortFunc(behind, rankedTicket.compare)
	at := next.Add(time.Duration(ahead)*interval + service)
	for _, u := range behind {
		without := at
		at = at.Add(interval)
		if u.Late(at) && !u.Late(without) {
			n++
		}
	}
	return n
}

// rankedTicket is a ticket with its rank at one time.
type rankedTicket struct {
	*Ticket
	rank int
}

// compare orders tickets: by rank, then by deadline, then by arrival, with those that never waited last.
func (t rankedTicket) compare(u rankedTicket) int {
	if c := cmp.Compare(t.rank, u.rank); c != 0 {
		return c
	}
	if c := t.Deadline.Compare(u.Deadline); c != 0 {
		return c
	}
	return cmp.Compare(t.seq-1, u.seq-1)
}

// WakeFor wakes the request that gets the next place at an endpoint, by the endpoint's hash.
func (q *Queue) WakeFor(hash uint64, now time.Time) {
	var first *Ticket
	for _, t := range q.waiting {
		if (len(t.Only) == 0 || slices.Contains(t.Only, hash)) && (first == nil || t.before(first, now)) {
			first = t
		}
	}
	if first != nil {
		first.wake()
	}
}

// WakeNext wakes the requests that may be next after t has left the queue.
func (q *Queue) WakeNext(t *Ticket, now time.Time) {
	if first := q.First(now); first != nil {
		first.wake()
	}
	for _, h := range t.Only {
		q.WakeFor(h, now)
	}
	if len(t.Only) == 0 {
		q.WakeFor(0, now)
	}
}

// WakeAll wakes all waiting requests.
func (q *Queue) WakeAll() {
	for _, t := range q.waiting {
		t.wake()
	}
}

func (t *Ticket) wake() {
	select {
	case t.Wake <- struct{}{}:
	default:
	}
}
