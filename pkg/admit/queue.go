// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package admit decides which runs an endpoint takes now, which wait and
// which are refused. It is a pure state machine: it reads no clock and does no
// I/O, and each step returns what the caller must do.
package admit

import (
	"slices"
	"time"

	"github.com/traildrift/traildrift/pkg/fault"
)

// Limits are the bounds of a Queue.
type Limits struct {
	// Slots is how many runs may be under way.
	Slots int
	// Reserved is how many of the slots patient runs must leave free.
	Reserved int
	// Waiting is how many runs may wait.
	Waiting int
	// AgeAt is how long after its arrival a patient run counts as an
	// interactive one, so that it never starves.
	AgeAt func(arrived time.Time) time.Time
}

// Item is one run that wants a slot.
type Item struct {
	// ID is unique among the items in the queue.
	ID string
	// Patient says that the run may wait behind interactive ones.
	Patient bool
	// Arrived is when the item was offered.
	Arrived time.Time
	// Deadline is when the run must have ended.
	Deadline time.Time
	// Work estimates the time the run takes once it has a slot, as the time
	// at which it would end if it started at Arrived.
	Work time.Time
}

// Verdict says what becomes of an offered item.
type Verdict struct {
	// Admitted says that the item has a slot now.
	Admitted bool
	// Queued says that it waits.
	Queued bool
	// Refused names the kind if it is neither; RetryAt says when to come
	// back.
	Refused fault.Kind
	RetryAt time.Time
}

// Queue is the admission of one endpoint. Use New.
type Queue struct {
	limits Limits
	// running holds the items that have a slot; never more than Slots.
	running map[string]Item
	// patient counts the running items that are patient and were admitted
	// as such; never more than Slots minus Reserved.
	patient map[string]bool
	// waiting is in order of arrival; never longer than Waiting.
	waiting []Item
	// mean is the moving mean of the time a run holds its slot, in seconds.
	mean float64
}

// New returns an empty queue.
func New(l Limits) *Queue {
	return &Queue{limits: l, running: make(map[string]Item), patient: make(map[string]bool)}
}

// Running returns how many items have a slot.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns how many items wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Offer takes a new item.
func (q *Queue) Offer(now time.Time, it Item) Verdict {
	if !it.Deadline.After(now) {
		return Verdict{Refused: fault.DeadlinePassed}
	}
	if q.fits(it, now) && !q.overtakes(it, now) {
		q.start(it, now)
		return Verdict{Admitted: true}
	}
	if len(q.waiting) >= q.limits.Waiting {
		return Verdict{Refused: fault.Overloaded, RetryAt: q.freeAt(now)}
	}
	if expected := q.expected(it, now); expected.After(it.Deadline) {
		return Verdict{Refused: fault.DeadlineTooSoon, RetryAt: q.freeAt(now)}
	}
	q.waiting = append(q.waiting, it)
	return Verdict{Queued: true}
}

// overtakes reports whether admitting it now would pass a waiting item that
// could start as well.
func (q *Queue) overtakes(it Item, now time.Time) bool {
	for _, w := range q.waiting {
		if q.fits(w, now) && !q.before(it, w, now) {
			return true
		}
	}
	return false
}

// interactive reports whether it counts as interactive at now.
func (q *Queue) interactive(it Item, now time.Time) bool {
	return !it.Patient || (q.limits.AgeAt != nil && !q.limits.AgeAt(it.Arrived).After(now))
}

// fits reports whether there is a slot that it may take.
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

// before orders waiting items: interactive ones first, then the earlier
// deadline, then the earlier arrival.
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

// meanWeight is the weight of the newest run in the moving mean.
const meanWeight = 0.1

// Done frees the slot of an item, and appends to dst the items that may start
// now.
func (q *Queue) Done(now time.Time, id string, dst []Item) []Item {
	if it, ok := q.running[id]; ok {
		held := now.Sub(it.Arrived).Seconds()
		if q.mean == 0 {
			q.mean = held
		}
		q.mean += meanWeight * (held - q.mean)
		delete(q.running, id)
		delete(q.patient, id)
	}
	return q.Next(now, dst)
}

// Next appends to dst the waiting items that may start now; they have their
// slot from then on.
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

// Expire removes and appends to dst the waiting items whose deadline has
// passed.
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

// Remove takes a waiting item out and reports whether it was waiting.
func (q *Queue) Remove(id string) bool {
	n := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(it Item) bool { return it.ID == id })
	return len(q.waiting) < n
}

// expected returns when it would end if it had to wait for those before it.
func (q *Queue) expected(it Item, now time.Time) time.Time {
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
	wait := time.Duration(turns * q.mean * float64(time.Second))
	return now.Add(wait + it.work())
}

// work returns the estimate of Work, or 0 without one.
func (it Item) work() time.Duration {
	return max(it.Work.Sub(it.Arrived), 0)
}

// minRetry is the least time a refused caller is asked to stay away.
const minRetry = 100 * time.Millisecond

// freeAt estimates when there will be room.
func (q *Queue) freeAt(now time.Time) time.Time {
	turns := float64(len(q.waiting)+1) / float64(max(q.limits.Slots, 1))
	wait := time.Duration(turns * q.mean * float64(time.Second))
	return now.Add(max(wait, minRetry))
}
