// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/room"
)

// admission is the state of a request under admission control. The request's goroutine owns it, but its
// ticket is also used by others while it is in a queue; the engine's mu guards the ticket.
type admission struct {
	ticket room.Ticket
	// endpoints holds the hashes of the endpoints that the request reached, n their number. added says
	// that the last attempt added one.
	endpoints [maxTries]uint64
	n         int
	added     bool
	// reserved holds the hashes of the endpoints whose next places belong to others. It is valid only
	// while choose runs, and nil otherwise.
	reserved []uint64
	// onlyOpen says that the request goes only to endpoints that are not known to be full.
	onlyOpen bool
	// rejected says that the last attempt was rejected by a full endpoint.
	rejected bool
	// decision is the last one; nextAt is when a waiting request is considered again.
	decision room.Decision
	nextAt   time.Time
	// held is how long the request has waited, age the age of the load report that decided last.
	held, age time.Duration
	// cause is why the request was refused; empty if it was not.
	cause room.Cause
}

// serviceRoom is the state of admission control for one service.
type serviceRoom struct {
	queue  room.Queue
	spread room.Spread
	// reserved is the buffer of admission.reserved.
	reserved []uint64
	// sojourn is the time that answers take, waits included.
	sojourn room.Sojourn
	// work estimates the time in which an endpoint serves a request without waiting, in seconds.
	work quantile
	// shedAt is when a request was last refused for its aim; zero for never.
	shedAt time.Time
	// waiting is the gauge of the waiting requests; nil before the first one.
	waiting tally.Gauge
}

const (
	// workQuantile is the quantile of the times of answers, divided by the number of turns that their
	// endpoint's load made them wait, that is taken as the time without waiting. Load reports lag, so
	// that a larger quantile includes waits.
	workQuantile = 0.25
	// shedMemory is how long after a refusal for an aim late requests leave their places to others. A peak
	// lasts for seconds, and a router refuses several requests within this time while one lasts.
	shedMemory = config.Span(500 * time.Millisecond)
	// minReturn is the shortest time after which a refused caller is asked to return: a third of an aim of
	// 150 ms, so that one that is served then may still be in time.
	minReturn = config.Span(50 * time.Millisecond)
	// defaultReturnInterval is the time between two returns if the rate at which places open is not known:
	// ten within retryDelay.
	defaultReturnInterval = 15 * time.Millisecond
	// optimisticRead is the fraction of the expected reading time that is taken as certainly needed: the
	// estimate includes waits, and the endpoint may hold more of the prompt than this router knows.
	optimisticRead = 0.5
)

// admit decides whether the request is sent now. The error says why not; it is errNoPlace for a request that
// waits, and the request is refused otherwise. The caller must hold the engine's mu.
func (x *run) admit(now time.Time) *fault.Error {
	e := x.e
	x.room.decision, x.room.onlyOpen = room.Decision{}, false
	if !e.enabled(Admission, x.service) {
		return nil
	}
	s := getOrCreate(e.rooms, x.service)
	x.fillTicket()
	s.reserved = s.queue.Reserved(s.reserved[:0], &x.room.ticket, now)
	x.room.reserved = s.reserved
	w := x.want()
	x.room.reserved = nil
	c := x.capacity(s, &w, now)
	x.room.age = c.Age
	end, stopping := x.mustEndAt()
	if c.Eligible == 0 && len(w.Only) > 0 {
		return x.refusal(s, room.Decision{Action: room.Refuse, Cause: room.ByLoss, At: now}, &c, stopping, now)
	}
	if c.Reported && x.route.Affinity && now.Add(seconds(c.Head)).After(end) {
		return x.refusal(s, room.Decision{Action: room.Refuse, Cause: room.ByDeadline, At: now}, &c, stopping, now)
	}
	q := room.Request{Ticket: &x.room.ticket, Arrived: x.r.Arrived, Aim: time.Duration(x.route.Aim), End: end, MayHaveRun: x.mayHaveRun}
	d := room.Decide(now, &s.queue, &q, &c.Capacity, now.Before(shedMemory.After(s.shedAt)))
	if x.sheds(s, &q, &c, d, now) {
		d = room.Decision{Action: room.Refuse, Cause: room.ByAim, At: d.At}
	}
	x.room.decision = d
	switch d.Action {
	case room.Refuse:
		return x.refusal(s, d, &c, stopping, now)
	case room.Wait:
		x.room.nextAt = x.pollAt(s, d, now)
		return errNoPlace
	default:
		if x.room.onlyOpen = c.Open > 0; x.room.onlyOpen {
			x.room.reserved = w.Reserved
		}
		return nil
	}
}

// shedWork is how many times as long as the work of a request its answers must take for requests to be shed: then
// as many requests wait at the endpoints as run there. Answers that take long without that wait for nobody.
const shedWork = 2

// sheds reports whether a request for which d was decided at its arrival is refused for its aim instead, as the
// last answers and the wait take too long. Without recent answers or load reports none is, and no prompt, as answers
// of other routes do not show how long it waits. The caller must hold the engine's mu.
func (x *run) sheds(s *serviceRoom, q *room.Request, c *pool.Room, d room.Decision, now time.Time) bool {
	if x.route.Affinity || !c.Reported || d.Action == room.Refuse || x.room.n > 0 || !x.room.ticket.Since.IsZero() {
		return false
	}
	mean, work := s.sojourn.Mean(now), seconds(s.work.value)
	if mean == 0 || mean < shedWork*work {
		return false
	}
	return room.Shed(now, q, &c.Capacity, mean+max(d.At.Sub(now), 0), rand.Float64())
}

// errNoPlace is the error of choose for a request that waits; it never reaches a caller.
var errNoPlace = fault.New(fault.Overloaded, fault.NotRun, "The request waits for a place.")

// earliest and latest return the earlier and the later of two times.
func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// mustEndAt returns when the request must have been served. stopping says that the router's stop comes
// before the deadline.
func (x *run) mustEndAt() (end time.Time, stopping bool) {
	if x.e.stopping.Load() && x.e.stopDeadline.Before(x.deadline) {
		return x.e.stopDeadline, true
	}
	return x.deadline, false
}

// fillTicket sets the ticket at the first decision for the request, and the endpoints to which it is restricted
// at every one. The caller must hold the engine's mu.
func (x *run) fillTicket() {
	t := &x.room.ticket
	// Once the request has reached as many endpoints as its route allows, only these are left.
	if t.Only = nil; x.room.n >= max(x.route.MaxAttempts, 1) {
		t.Only = x.room.endpoints[:x.room.n]
	}
	if !t.Deadline.IsZero() {
		return
	}
	t.Rank = x.rank()
	t.Deadline = x.deadline
	if !x.r.Deadline.IsZero() {
		t.Deadline = x.r.Deadline
	}
	if x.route.Aim > 0 {
		t.AimAt = x.route.Aim.After(x.r.Arrived)
	}
}

// workTime returns the time in which an endpoint serves a request without waiting; 0 if it is not known.
// The caller must hold the engine's mu.
func (x *run) workTime(s *serviceRoom) time.Duration {
	if x.route.Kind == Stream {
		return seconds(x.e.streamTimes[x.route.Name].expect(0))
	}
	return seconds(s.work.value)
}

// capacity returns what the endpoints that may serve the request are expected to accept. The caller must hold
// the engine's mu.
func (x *run) capacity(s *serviceRoom, w *pool.Want, now time.Time) pool.Room {
	c := x.e.book.Room(now, w, x.workTime(s), optimisticRead*x.readTimeOf(0, x.r.TokensIn-x.sharedTokens()))
	if x.route.Kind == Stream {
		// A stream is in time by its head, and the rest of one that is resumed may be short. How long its
		// head takes depends on prompts, see Room.Head.
		c.Work, c.Busy = 0, false
	}
	return c
}

// refusal returns the error for a request that is refused by a decision. The caller must hold the engine's
// mu.
func (x *run) refusal(s *serviceRoom, d room.Decision, c *pool.Room, stopping bool, now time.Time) *fault.Error {
	x.room.decision, x.room.cause = d, d.Cause
	x.e.metrics.count("admission_refusals", x.route.Name, string(d.Cause))
	if d.Cause == room.ByAim {
		s.shedAt = now
	}
	if stopping && d.Cause == room.ByDeadline {
		return fault.New(fault.Stopping, fault.NotRun, "The router is stopping and expects no place before that.").WithRetryAt(now)
	}
	kind := fault.Overloaded
	if d.Cause == room.ByDeadline {
		kind = fault.DeadlineTooSoon
	}
	at := x.returnAt(s, d.At, x.returnInterval(s, c), now)
	return fault.New(kind, fault.NotRun, "No endpoint is expected to have a place for the request in time (%s).", d.Cause).WithRetryAt(at)
}

// returnAt returns when the caller is asked to return, if places are expected from a time on, one each
// interval. The caller must hold the engine's mu.
func (x *run) returnAt(s *serviceRoom, from time.Time, interval time.Duration, now time.Time) time.Time {
	from = latest(from, minReturn.After(now)).Add(jitter(x.e.Draw(), interval))
	return s.spread.Next(now, from, x.room.ticket.Deadline, interval, x.e.Draw())
}

// returnInterval returns the time between two places that this router gets if all routers get as many. The
// caller must hold the engine's mu.
func (x *run) returnInterval(s *serviceRoom, c *pool.Room) time.Duration {
	work := x.workTime(s)
	if work <= 0 || c.Slots <= 0 {
		return defaultReturnInterval
	}
	return max(work*time.Duration(max(x.e.RouterCount(), 1))/time.Duration(c.Slots), time.Millisecond)
}

// recordOffer records that the request is sent to an endpoint. The caller must hold the engine's mu.
func (x *run) recordOffer(p *pool.Endpoint, now time.Time) {
	x.room.reserved = nil
	if !x.e.enabled(Admission, x.service) {
		return
	}
	p.Place.Offer(now)
	h := &x.room
	if h.added = h.n < len(h.endpoints) && !slices.Contains(h.endpoints[:h.n], p.Hash()); h.added {
		h.endpoints[h.n] = p.Hash()
		h.n++
	}
}

// undoOffer records that the last attempt did not reach its endpoint.
func (x *run) undoOffer() {
	if x.room.added {
		x.room.n--
		x.room.added = false
	}
}

// reoffer reports whether a request that a full endpoint rejected with err is offered again, and takes that
// from the retry budget. It does not count as an attempt of the request, as it did not run.
func (x *run) reoffer(ctx context.Context, err *fault.Error) bool {
	x.room.rejected = false
	x.attempts--
	if ctx.Err() != nil || x.headSent && !x.route.resumable() {
		return false
	}
	e, now := x.e, x.e.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.budget(x.service)
	if len(x.records) < maxTries && b.Take(now, reserveFor(b.Allowed(now))) {
		x.prepaid = true
		return true
	}
	x.prepaid = false
	s := getOrCreate(e.rooms, x.service)
	x.room.cause = room.ByBudget
	e.metrics.count("admission_refusals", x.route.Name, string(room.ByBudget))
	w := x.want()
	c := x.capacity(s, &w, now)
	_ = err.WithRetryAt(x.returnAt(s, c.NextAt, x.returnInterval(s, &c), now))
	return false
}

// recordRoom records from the head of an answer whether its endpoint accepts requests; mu is held.
func (e *Engine) recordRoom(a *Attempt, t *attemptRecord, p *pool.Endpoint, reply *Reply, now time.Time) {
	if !e.enabled(Admission, p.Service) {
		return
	}
	known := reply.LoadReported && p.PlausibleLoad(reply.Running, reply.Waiting)
	s := getOrCreate(e.rooms, p.Service)
	if reply.NotRun {
		// An endpoint that is not busy refused for another reason, such as that it leaves.
		if known && reply.Waiting > 0 && reply.Running >= max(p.Slots, 1) {
			a.rejected = true
			p.Place.Reject(now, seconds(s.work.value)/time.Duration(max(p.Slots, 1)), e.RouterCount(), e.Draw())
		}
		return
	}
	p.Place.Answer(t.At)
	if known && reply.Running+reply.Waiting < p.Slots {
		p.Place.Free()
	}
	if a.prefix == 0 && reply.Status < 300 {
		s.sojourn.Add(now, now.Sub(t.At))
		turns := max(float64(t.Load+1)/float64(max(p.Slots, 1)), 1)
		s.work.add(now.Sub(t.At).Seconds()/turns/p.Pace.Factor(now), workQuantile)
	}
	s.queue.WakeFor(p.Hash(), now)
}

// heldField returns the log field of the time for which the request waited, if it did.
func (h *admission) heldField() zap.Field {
	if h.ticket.Since.IsZero() {
		return zap.Skip()
	}
	return zap.Int64("heldMs", h.held.Milliseconds())
}

// causeField returns the log field of the cause of a refusal by admission control.
func (h *admission) causeField() zap.Field {
	if h.cause == "" {
		return zap.Skip()
	}
	return zap.String("roomCause", string(h.cause))
}

// ageField returns the log field of the age of the load report that decided, if the request was held or
// refused.
func (h *admission) ageField() zap.Field {
	if h.cause == "" && h.ticket.Since.IsZero() {
		return zap.Skip()
	}
	return zap.Int64("roomAgeMs", h.age.Milliseconds())
}
