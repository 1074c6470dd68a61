// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package admit implements admission control for one endpoint: it decides
// which runs start now, which wait and which are refused. It is a pure state
// machine: it reads no clock and does no I/O, and each method returns what the
// caller must do.
package admit

import (
	"slices"
	"time"

	"github.com/traildrift/traildrift/pkg/fault"
)

// Limits configures a Queue.
type Limits struct {
	// Slots is the maximum number of concurrent runs.
	Slots int
	// Reserved is the number of slots that patient runs may not use.
	Reserved int
	// MaxWaiting is the maximum number of waiting runs.
	MaxWaiting int
	// PromoteAt returns the time from which a patient run that arrived at the
	// given time is treated as interactive, so that it cannot starve. If it
	// is nil, patient runs stay patient.
	PromoteAt func(arrived time.Time) time.Time
}

// Item is one run that needs a slot.
type Item struct {
	// ID is unique among the items in the queue.
	ID string
	// Patient reports whether the run may wait behind interactive ones.
	Patient bool
	// Arrived is when the item was offered.
	Arrived time.Time
	// Deadline is when the run must have ended.
	Deadline time.Time
}

// Decision is the result of offering an item. Exactly one of Admitted, Queued
// and Refused is set.
type Decision struct {
	// Admitted reports whether the item holds a slot now.
	Admitted bool
	// Queued reports whether the item waits for a slot.
	Queued bool
	// Refused is the kind of the refusal; empty if the item is not refused.
	Refused fault.Kind
	// RetryAt is when the caller should retry after a refusal; zero if a
	// retry makes no sense, as the deadline has passed.
	RetryAt time.Time
}

// Queue is the admission queue of one endpoint. It must be created with New
// and is not safe for concurrent use.
type Queue struct {
	limits Limits
	// running holds the items that hold a slot, by ID; at most limits.Slots.
	// Arrived of these items is when they got their slot.
	running map[string]Item
	// patient is the set of IDs of the running items that were treated as
	// patient when they got their slot; at most limits.Slots minus
	// limits.Reserved.
	patient map[string]bool
	// waiting is in order of arrival; at most limits.MaxWaiting long.
	waiting []Item
	// meanHeldSeconds is the exponentially weighted moving average of the time
	// for which runs hold their slots, in seconds; 0 before the first run has
	// ended.
	meanHeldSeconds float64
}

// New returns an empty queue.
func New(l Limits) *Queue {
	return &Queue{limits: l, running: make(map[string]Item), patient: make(map[string]bool)}
}

// Running returns the number of items that hold a slot.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of items that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Offer admits, queues or refuses a new item. It refuses with DeadlinePassed if
// the deadline is not after now, with Overloaded if the maximum number of items
// wait, and with DeadlineTooSoon if the item is expected to get its slot after
// its deadline. How long the item itself takes is not known.
func (q *Queue) Offer(now time.Time, it Item) Decision {
	if !it.Deadline.After(now) {
		return Decision{Refused: fault.DeadlinePassed}
	}
	if q.fits(it, now) && !q.overtakes(it, now) {
		q.start(it, now)
		return Decision{Admitted: true}
	}
	if len(q.waiting) >= q.limits.MaxWaiting {
		return Decision{Refused: fault.Overloaded, RetryAt: q.freeAt(now)}
	}
	if expected := q.expectedStart(it, now); expected.After(it.Deadline) {
		return Decision{Refused: fault.DeadlineTooSoon, RetryAt: q.freeAt(now)}
	}
	q.waiting = append(q.waiting, it)
	return Decision{Queued: true}
}

// overtakes reports whether admitting the item now would overtake a waiting
// item that is ordered before it and could start as well.
func (q *Queue) overtakes(it Item, now time.Time) bool {
	for _, w := range q.waiting {
		if q.fits(w, now) && !q.before(it, w, now) {
			return true
		}
	}
	return false
}

// interactive reports whether the item is treated as interactive at now.
func (q *Queue) interactive(it Item, now time.Time) bool {
	return !it.Patient || (q.limits.PromoteAt != nil && !q.limits.PromoteAt(it.Arrived).After(now))
}

// fits reports whether a slot is free that the item may use.
func (q *Queue) fits(it Item, now time.Time) bool {
	if len(q.running) >= q.limits.Slots {
		return false
	}
	return q.interactive(it, now) || len(q.patient) < q.limits.Slots-q.limits.Reserved
}

func (q *Queue) start(it Item, now time.Time) {
	q.running[it.ID] = Item{ID: it.ID, Patient: it.Patient, Arrived: now, Deadline: it.Deadline}
	if !q.interactive(it, now) {
		q.patient[it.ID] = true
	}
}

// before orders waiting items: interactive items first, then by earlier
// deadline, then by earlier arrival.
func (q *Queue) before(a, b Item, now time.Time) bool {
	ia, ib := q.interactive(a, now), q.interactive(b, now)
	if ia != ib {
		return ia
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.Arrived.Before(b.Arrived)
}

// ewmaWeight is the weight of the newest run in the moving average.
const ewmaWeight = 0.1

// Done frees the slot of an item, and appends to dst the waiting items that
// start in consequence, as Next does. If id holds no slot, it only does the
// latter.
func (q *Queue) Done(now time.Time, id string, dst []Item) []Item {
	if it, ok := q.running[id]; ok {
		held := now.Sub(it.Arrived).Seconds()
		if q.meanHeldSeconds == 0 {
			q.meanHeldSeconds = held
		}
		q.meanHeldSeconds += ewmaWeight * (held - q.meanHeldSeconds)
		delete(q.running, id)
		delete(q.patient, id)
	}
	return q.Next(now, dst)
}

// Next starts the waiting items for which there are slots and appends them to
// dst. They hold their slots until Done is called for them.
func (q *Queue) Next(now time.Time, dst []Item) []Item {
	for {
		best := -1
		for i, w := range q.waiting {
			if q.fits(w, now) && (best < 0 || q.before(w, q.waiting[best], now)) {
				best = i
			}
		}
		if best < 0 {
			return dst
		}
		it := q.waiting[best]
		q.waiting = slices.Delete(q.waiting, best, best+1)
		q.start(it, now)
		dst = append(dst, it)
	}
}

// Expire removes the waiting items whose deadline has passed and appends them
// to dst.
func (q *Queue) Expire(now time.Time, dst []Item) []Item {
	q.waiting = slices.DeleteFunc(q.waiting, func(it Item) bool {
		if it.Deadline.After(now) {
			return false
		}
		dst = append(dst, it)
		return true
	})
	return dst
}

// Remove removes a waiting item and reports whether it was waiting.
func (q *Queue) Remove(id string) bool {
	n := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(it Item) bool { return it.ID == id })
	return len(q.waiting) < n
}

// expectedStart estimates when the item would get a slot if it waited behind the
// items that are ordered before it. A patient item that has no slots to use is
// expected to miss its deadline.
func (q *Queue) expectedStart(it Item, now time.Time) time.Time {
	ahead := 0
	for _, w := range q.waiting {
		if q.before(w, it, now) {
			ahead++
		}
	}
	slots := q.limits.Slots
	if !q.interactive(it, now) {
		slots -= q.limits.Reserved
	}
	if slots <= 0 {
		return it.Deadline.Add(time.Nanosecond)
	}
	turns := float64(ahead+1) / float64(slots)
	wait := time.Duration(turns * q.meanHeldSeconds * float64(time.Second))
	return now.Add(wait)
}

// minRetryDelay is the shortest delay before a refused caller is asked to retry.
const minRetryDelay = 100 * time.Millisecond

// freeAt estimates when a new item will find room.
func (q *Queue) freeAt(now time.Time) time.Time {
	turns := float64(len(q.waiting)+1) / float64(max(q.limits.Slots, 1))
	wait := time.Duration(turns * q.meanHeldSeconds * float64(time.Second))
	return now.Add(max(wait, minRetryDelay))
}
