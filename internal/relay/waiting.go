// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"time"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/room"
)

const (
	// firstPollInterval is how often the first waiting request is considered again if nothing wakes it, as
	// endpoints that fall silent or end their ejection wake none. It is under an eighth of an aim of
	// 150 ms; holding a request for that long costs its caller nothing. pollInterval is that for the others.
	firstPollInterval = config.Span(12 * time.Millisecond)
	pollInterval      = config.Span(100 * time.Millisecond)
	// minPause is the shortest time until a waiting request is considered again without being woken.
	minPause = config.Span(time.Millisecond)
)

// pollAt returns when the waiting request is considered again. The caller must hold the engine's mu.
func (x *run) pollAt(s *serviceRoom, d room.Decision, now time.Time) time.Time {
	if s.queue.Ahead(&x.room.ticket, now) > 0 {
		return pollInterval.After(now)
	}
	return earliest(firstPollInterval.After(now), latest(d.At, minPause.After(now)))
}

// awaitPlace holds the request until an endpoint is expected to have a place for it, and chooses then. It
// returns an error if no place can be expected in time any more, or if ctx has ended.
func (x *run) awaitPlace(ctx context.Context, err *fault.Error) (*Attempt, *attemptRecord, *fault.Error) {
	if full := x.join(); full != nil {
		return nil, nil, full
	}
	began := x.e.Now()
	defer x.leave(began)
	timer := time.NewTimer(x.room.nextAt.Sub(began))
	defer timer.Stop()
	for {
		select {
		case <-x.room.ticket.Wake:
		case <-timer.C:
		case <-ctx.Done():
			return nil, nil, x.abandonReason(ctx, err.Run)
		}
		now := x.e.Now()
		x.hasTimeLeft(now) // moves the deadline, by which choose refuses
		a, t, err := x.choose(now)
		if err == nil {
			x.e.metrics.count("admission_places", x.route.Name, "")
			return a, t, nil
		}
		if err != errNoPlace {
			return nil, nil, err
		}
		timer.Reset(max(x.room.nextAt.Sub(now), time.Duration(minPause)))
	}
}

// join adds the request to the queue of its service. It returns an error if too many wait.
func (x *run) join() *fault.Error {
	e, now := x.e, x.e.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s, t := getOrCreate(e.rooms, x.service), &x.room.ticket
	if t.Wake == nil {
		t.Wake, t.Since = make(chan struct{}, 1), now
	}
	if s.queue.Push(t) {
		return nil
	}
	w := x.want()
	c := x.capacity(s, &w, now)
	return x.refusal(s, room.Decision{Action: room.Refuse, Cause: room.ByQueue, At: x.room.decision.At}, &c, false, now)
}

// leave removes the request, which began to wait at a time, from the queue and wakes the next one.
func (x *run) leave(began time.Time) {
	e, now := x.e, x.e.Now()
	x.room.held += now.Sub(began)
	e.metrics.time("admission_wait", x.route.Name, now.Sub(began))
	e.mu.Lock()
	defer e.mu.Unlock()
	s := getOrCreate(e.rooms, x.service)
	s.queue.Remove(&x.room.ticket)
	s.queue.WakeNext(&x.room.ticket, now)
}

// wakeWaiting wakes the first request that waits for a place at an endpoint; mu is held.
func (e *Engine) wakeWaiting(p *pool.Entry) {
	if s := e.rooms[p.Service]; s != nil {
		s.queue.WakeFor(pool.HashOf(p.ID), e.Now())
	}
}

// wakeAllWaiting wakes all waiting requests; mu is held.
func (e *Engine) wakeAllWaiting() {
	for _, s := range e.rooms {
		s.queue.WakeAll()
	}
}

// updateWaitingGauges updates the gauges of waiting requests; mu is held.
func (e *Engine) updateWaitingGauges() {
	for service, s := range e.rooms {
		if s.waiting == nil {
			s.waiting = e.metrics.scope.Tagged(map[string]string{"service": service}).Gauge("requests_waiting")
		}
		s.waiting.Update(float64(s.queue.Len()))
	}
}
