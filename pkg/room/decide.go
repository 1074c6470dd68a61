// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package room

import "time"

// Capacity is what the endpoints that may serve a request are expected to accept.
type Capacity struct {
	// Eligible is the number of trusted endpoints that may serve the request, Open that of those that are
	// not known to be full. Full ones may be left out if there are open ones.
	Eligible, Open int
	// NextAt is when the first of the full ones is expected to accept a request.
	NextAt time.Time
	// Interval is the expected time between two places that this router gets.
	Interval time.Duration
	// Work is the time in which an endpoint serves a request without waiting; 0 if unknown.
	Work time.Duration
	// Wait is the least time for which the request is expected to wait at an endpoint.
	Wait time.Duration
	// Busy says that requests still wait at every endpoint even if none was added since its report. It is
	// false if the load of one is not known: a request may then find a free place.
	Busy bool
}

// Request is a request for which Decide decides.
type Request struct {
	*Ticket
	// Arrived is when the request arrived.
	Arrived time.Time
	// Aim is the target time to the answer; 0 for none.
	Aim time.Duration
	// End is when the request must have been served: the earliest of the caller's deadline, the route's
	// timeout and the router's stop.
	End time.Time
	// MayHaveRun says that an attempt may have run, so that the caller could not return for free: the
	// request is refused only if it cannot be served before End.
	MayHaveRun bool
}

// Action is what to do with a request.
type Action int

// The actions.
const (
	Send Action = iota
	Wait
	Refuse
)

// Cause is why a request is refused; empty if it is not.
type Cause string

// The causes.
const (
	// ByDeadline refuses a request for which no place is expected before its deadline.
	ByDeadline Cause = "deadline"
	// ByAim refuses a request that would be late at every endpoint, before it makes others late.
	ByAim Cause = "aim"
	// ByOthers refuses a request that is late in any case where it would make others late.
	ByOthers Cause = "others"
	// ByHold refuses a request that has waited so long that more waiting costs more than a return.
	ByHold Cause = "hold"
	// ByLoss refuses a request that may go only to endpoints that are gone or silent.
	ByLoss Cause = "loss"
	// ByQueue refuses a request as too many others wait.
	ByQueue Cause = "queue"
	// ByBudget refuses a rejected request that the retry budget does not allow to be offered again, or
	// that was offered often enough.
	ByBudget Cause = "budget"
)

// Decision is the result of Decide.
type Decision struct {
	Action Action
	Cause  Cause
	// At is when the request is expected to get a place; zero if no endpoint is eligible.
	At time.Time
}

const (
	// holdFraction is the fraction of its time for which a request is held. A request that is not served
	// costs its whole worth if it was held for three quarters of its time, and a quarter of that at a fifth,
	// which is about as much as a second refusal.
	holdFraction = 0.2
	// maxHold is the longest time for which any request is held: callers notice waits of a second or two,
	// and some have no deadline.
	maxHold = time.Second
	// lateReserve is the fraction of its aim within which an endpoint must be expected to answer a late
	// request while others are refused for their aim. It leaves the places above that to requests that
	// can be served in time: a late answer is worth a tenth of one in time.
	lateReserve = 0.5
	// aimMargin is the factor of the expected time to an answer that must fit into the aim, as load reports
	// lag while a queue grows. In a simulated peak of 1.5 times the capacity, a factor of 1 lets over three
	// times as many attempts be rejected (2,224, not 654), and 1.43 refuses requests that fit (0.526 are
	// served in time, not 0.533).
	aimMargin = 1.18
)

// Late reports whether an answer at a time is late.
func (t *Ticket) Late(at time.Time) bool { return !t.AimAt.IsZero() && at.After(t.AimAt) }

// HoldUntil returns until when a request is held.
func (r *Request) HoldUntil() time.Time {
	if r.MayHaveRun {
		return r.End
	}
	d := min(time.Duration(holdFraction*float64(r.End.Sub(r.Arrived))), maxHold)
	return r.Arrived.Add(max(d, 0))
}

// Decide returns whether a request is sent, waits or is refused. shedding says that requests were refused
// a short time ago for their aim.
func Decide(now time.Time, q *Queue, r *Request, c *Capacity, shedding bool) Decision {
	if c.Eligible == 0 {
		return Decision{Action: Send}
	}
	ahead := q.Ahead(r.Ticket, now)
	at := now
	if c.Open == 0 && c.NextAt.After(now) {
		at = c.NextAt
	}
	next := at
	if ahead >= c.Open {
		at = at.Add(time.Duration(ahead-c.Open) * c.Interval)
		if c.Open > 0 {
			at = at.Add(c.Interval)
		}
	}
	switch {
	case at.Add(c.Work).After(r.End):
		return Decision{Refuse, ByDeadline, at}
	case ahead < c.Open:
		return decideOpen(now, r, c, shedding)
	default:
		return decideFull(now, q, r, c, next, at)
	}
}

// decideOpen decides for a request that an endpoint is expected to accept.
func decideOpen(now time.Time, r *Request, c *Capacity, shedding bool) Decision {
	end := now.Add(time.Duration(aimMargin * float64(c.Wait+c.Work)))
	switch {
	case !c.Busy || r.MayHaveRun || r.AimAt.IsZero():
	case r.Late(now.Add(c.Work)):
		if shedding && c.Wait+c.Work > time.Duration(lateReserve*float64(r.Aim)) {
			return Decision{Refuse, ByOthers, now}
		}
	case r.Late(end):
		return Decision{Refuse, ByAim, now}
	}
	return Decision{Action: Send, At: now}
}

// decideFull decides for a request that gets no place before at.
func decideFull(now time.Time, q *Queue, r *Request, c *Capacity, next, at time.Time) Decision {
	if !r.MayHaveRun && r.Late(at.Add(c.Work)) && q.Displaces(r.Ticket, now, next, c.Interval, c.Work) > 0 {
		return Decision{Refuse, ByOthers, at}
	}
	if !at.Before(r.HoldUntil()) {
		return Decision{Refuse, ByHold, at}
	}
	return Decision{Action: Wait, At: at}
}
