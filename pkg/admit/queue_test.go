// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package admit

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/traildrift/traildrift/internal/draws"
	"github.com/traildrift/traildrift/pkg/fault"
)

func TestMain(m *testing.M) {
	draws.FixSeed()
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// model is the reference for a Queue: it tracks the state of every offered item
// and fails the test where the queue disagrees.
type model struct {
	t     *rapid.T
	q     *Queue
	l     Limits
	state map[string]string
}

func (m *model) start(items []Item) {
	for _, it := range items {
		if m.state[it.ID] != "waiting" {
			m.t.Fatalf("%s started from %q", it.ID, m.state[it.ID])
		}
		m.state[it.ID] = "running"
	}
}

func (m *model) offer(now int, it Item) {
	v := m.q.Offer(at(now), it)
	switch {
	case v.Admitted && !v.Queued && v.Refused == "":
		m.state[it.ID] = "running"
	case !v.Admitted && v.Queued && v.Refused == "":
		m.state[it.ID] = "waiting"
	case v.Admitted || v.Queued || !v.RetryAt.After(at(now)):
		m.t.Fatalf("decision %+v at %v: want exactly one of admitted, queued, or refused with a later RetryAt", v, at(now))
	}
}

func (m *model) done(now int) {
	for id, s := range m.state {
		if s == "running" {
			m.state[id] = "done"
			m.start(m.q.Done(at(now), id, nil))
			return
		}
	}
}

func (m *model) expire(now int) {
	for _, it := range m.q.Expire(at(now), nil) {
		if it.Deadline.After(at(now)) || m.state[it.ID] != "waiting" {
			m.t.Fatalf("%+v expired at %v", it, at(now))
		}
		m.state[it.ID] = "expired"
	}
	m.start(m.q.Next(at(now), nil))
}

func (m *model) check() {
	count := map[string]int{}
	for _, s := range m.state {
		count[s]++
	}
	if count["running"] != m.q.Running() || count["waiting"] != m.q.Waiting() {
		m.t.Fatalf("got running %d waiting %d, want %d and %d", m.q.Running(), m.q.Waiting(), count["running"], count["waiting"])
	}
	if m.q.Running() > m.l.Slots || m.q.Waiting() > m.l.MaxWaiting || len(m.q.patient) > m.l.Slots-m.l.Reserved {
		m.t.Fatalf("running %d waiting %d patient %d with limits %+v", m.q.Running(), m.q.Waiting(), len(m.q.patient), m.l)
	}
}

// TestInvariants drives the queue with random steps and checks after each that
// the limits on slots, reserved slots and waiting items hold and that every item
// is in exactly one state.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{
			Slots:      rapid.IntRange(1, 6).Draw(t, "slots"),
			MaxWaiting: rapid.IntRange(0, 6).Draw(t, "waiting"),
			PromoteAt:  func(arrived time.Time) time.Time { return arrived.Add(50 * time.Millisecond) },
		}
		l.Reserved = rapid.IntRange(0, l.Slots-1).Draw(t, "reserved")
		m := &model{t: t, q: New(l), l: l, state: make(map[string]string)}
		now := 0
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.IntRange(0, 20).Draw(t, "pass")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0, 1:
				deadline := now + rapid.IntRange(1, 200).Draw(t, "within")
				m.offer(now, Item{ID: fmt.Sprint(i), Patient: rapid.Bool().Draw(t, "patient"), Arrived: at(now), Deadline: at(deadline)})
			case 2:
				m.done(now)
			case 3:
				m.expire(now)
			}
			m.check()
		}
	})
}

func TestOrder(t *testing.T) {
	q := New(Limits{Slots: 2, Reserved: 1, MaxWaiting: 10, PromoteAt: func(a time.Time) time.Time { return a.Add(100 * time.Millisecond) }})
	item := func(id string, patient bool, arrived, deadline int) Item {
		return Item{ID: id, Patient: patient, Arrived: at(arrived), Deadline: at(deadline)}
	}
	steps := []struct {
		name string
		got  Decision
		want Decision
	}{
		{"patient takes the unreserved slot", q.Offer(at(0), item("p1", true, 0, 1000)), Decision{Admitted: true}},
		{"patient leaves the reserved slot", q.Offer(at(0), item("p2", true, 0, 1000)), Decision{Queued: true}},
		{"interactive takes the reserved slot", q.Offer(at(1), item("i1", false, 1, 900)), Decision{Admitted: true}},
		{"interactive waits", q.Offer(at(2), item("i2", false, 2, 800)), Decision{Queued: true}},
		{"interactive with an earlier deadline waits", q.Offer(at(3), item("i3", false, 3, 700)), Decision{Queued: true}},
		{"passed deadline", q.Offer(at(4), item("x", false, 4, 4)), Decision{Refused: fault.DeadlinePassed}},
	}
	for _, s := range steps {
		if s.got != s.want {
			t.Errorf("%s: got %+v, want %+v", s.name, s.got, s.want)
		}
	}
	var order []string
	for _, done := range []string{"i1", "p1", "i3"} {
		for _, it := range q.Done(at(10), done, nil) {
			order = append(order, it.ID)
		}
	}
	if got, want := fmt.Sprint(order), "[i3 i2 p2]"; got != want {
		t.Errorf("order of starts: got %s, want %s", got, want)
	}
	if got, want := q.Offer(at(20), item("p3", true, 20, 1000)), (Decision{Queued: true}); got != want {
		t.Errorf("patient leaves the reserved slot again: got %+v, want %+v", got, want)
	}
	if got, want := len(q.Done(at(30), "i2", nil)), 0; got != want {
		t.Errorf("patient items that start in the reserved slot: got %d, want %d", got, want)
	}
	if got, want := len(q.Next(at(150), nil)), 1; got != want {
		t.Errorf("aged patient items that start in the reserved slot: got %d, want %d", got, want)
	}
}
