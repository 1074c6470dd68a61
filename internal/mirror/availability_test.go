// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package mirror

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// During an outage of the store, entries may lapse only because their owners cannot renew them. Removals that are
// read after the outage must therefore not take effect at once.
//
// Guards against endpoints that are lost to callers although they live.
func TestRemovalsAfterOutageLapseLater(t *testing.T) {
	for _, length := range []time.Duration{1600 * time.Millisecond, 3 * time.Second, 12 * time.Second} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimStore()
				f := newSimFollower(t, s, 500*time.Millisecond, nil)
				defer f.end()
				back := time.Now().Add(length)
				s.set(func() { s.downUntil = back })
				time.Sleep(length / 2)
				s.remove("a")
				time.Sleep(length/2 + 3*time.Second)
				r, ok := f.removal("a")
				if !ok || r.effectiveAt().Before(lapseGrace.After(back)) || r.effectiveAt().After(lapseGrace.After(back).Add(maxBackoff+100*time.Millisecond)) {
					t.Errorf("removal: got one in effect %v after the return of the store (reported: %t), want %v to %v after it", r.effectiveAt().Sub(back), ok, lapseGrace, time.Duration(lapseGrace)+maxBackoff)
				}
			})
		})
	}
}

// A watch that the store held all through an outage, and answered after it, does not show that there was none.
//
// Guards against endpoints that are lost to callers although they live, as another kind's long watch was answered.
func TestHeldWatchDisprovesNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimStore()
		f := newSimFollower(t, s, 500*time.Millisecond, nil)
		defer f.end()
		back := time.Now().Add(4 * time.Second)
		held := newSimFollower(t, s, 4500*time.Millisecond, func(other *Follower) { other.Mirror, other.Kind = f.Mirror, "other" })
		defer held.end()
		s.set(func() { s.downUntil = back })
		time.Sleep(2 * time.Second)
		s.remove("a")
		time.Sleep(6 * time.Second)
		if r, ok := f.removal("a"); !ok || r.effectiveAt().Before(lapseGrace.After(back)) {
			t.Errorf("removal: got one in effect %v after the return of the store (reported: %t), want %v at least", r.effectiveAt().Sub(back), ok, lapseGrace)
		}
	})
}

// No entry lapses in an outage shorter than minOutage, so that removals take effect at once.
func TestShortOutageDelaysNoRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimStore()
		f := newSimFollower(t, s, 100*time.Millisecond, nil)
		defer f.end()
		s.set(func() { s.downUntil = time.Now().Add(minOutage / 2) })
		time.Sleep(minOutage / 4)
		s.remove("a")
		time.Sleep(3 * time.Second)
		if r, ok := f.removal("a"); !ok || !r.lapsesAt.IsZero() {
			t.Errorf("removal: got %+v (reported: %t), want one in effect at once", r, ok)
		}
	})
}

// A router that lost the store alone, as another one knows, takes removals at once.
//
// Guards against endpoints that a router keeps for an outage that it saw alone.
func TestLossOfOneRouterIsNoOutage(t *testing.T) {
	for _, length := range []time.Duration{1500 * time.Millisecond, 5 * time.Second, 20 * time.Second} {
		t.Run(fmt.Sprint("cut off for ", length), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimStore()
				peer := newSimFollower(t, s, 500*time.Millisecond, nil)
				defer peer.end()
				f := newSimFollower(t, s, 500*time.Millisecond, func(f *Follower) {
					f.AskPeers = func(context.Context) { f.Mirror.RecordAvailability(peer.Mirror.Availability(), time.Now()) }
				})
				defer f.end()
				s.set(func() { f.conn.cut = true })
				time.Sleep(length / 2)
				s.remove("a")
				time.Sleep(length / 2)
				s.set(func() { f.conn.cut = false })
				time.Sleep(3 * time.Second)
				if r, ok := f.removal("a"); !ok || !r.lapsesAt.IsZero() {
					t.Errorf("removal: got %+v (reported: %t), want one in effect at once", r, ok)
				}
			})
		})
	}
}

// turn lets other routers call the store in place of a follower.
type turn struct {
	relieved atomic.Bool
	over     chan struct{}
}

// await is Follower.AwaitTurn.
func (r *turn) await(ctx context.Context) bool {
	if !r.relieved.Load() {
		return true
	}
	select {
	case <-r.over:
		r.relieved.Store(false)
		return true
	case <-ctx.Done():
		return false
	}
}

// A router loses the store and is relieved by others. When these fall silent, it takes over and reads a removal, which
// takes effect at once, also if its idle connection has gone silent meanwhile.
//
// Guards against a loss that counts as an outage for as long as a router is relieved.
func TestReliefEndsLoss(t *testing.T) {
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s, r := newSimStore(), &turn{over: make(chan struct{})}
			f := newSimFollower(t, s, 500*time.Millisecond, func(f *Follower) { f.AwaitTurn = r.await })
			defer f.end()
			s.set(func() { f.conn.cut = true })
			time.Sleep(1200 * time.Millisecond)
			r.relieved.Store(true)
			time.Sleep(3 * time.Second)
			s.set(func() { f.conn.cut = false })
			for range 16 {
				time.Sleep(500 * time.Millisecond)
				now := time.Now()
				f.Mirror.RecordAvailability(Period{now.Add(-400 * time.Millisecond), now.Add(-100 * time.Millisecond)}, now)
			}
			if silent {
				s.set(func() { f.conn.openedAt, s.silentBefore = time.Now().Add(-time.Second), time.Now() })
			}
			time.Sleep(300 * time.Millisecond)
			s.remove("a")
			time.Sleep(700 * time.Millisecond)
			r.over <- struct{}{}
			tookOverAt := time.Now()
			time.Sleep(3 * time.Second)
			if r, ok := f.removal("a"); !ok || r.effectiveAt().Sub(tookOverAt) > time.Second {
				t.Errorf("silent connection %t: removal in effect %v after the takeover (reported: %t), want at most 1 s", silent, r.effectiveAt().Sub(tookOverAt), ok)
			}
		})
	}
}

// A router asks others in vain whether the store was away, keeps an endpoint, and hears later that the store was not.
//
// Guards against a wrong belief in an outage that outlives its disproof.
func TestDisprovedOutageEndsGrace(t *testing.T) {
	m := New("k")
	var got []Change
	m.OnChange = func(_ string, c Change) { got = append(got, c) }
	at := func(d time.Duration) time.Time { return t0.Add(d) }
	m.Replace("k", []Object{object("a", 1), object("b", 2)}, 2, at(0), time.Time{})
	now := time.Now()
	m.RecordAnswer(now.Add(-6 * time.Second))
	m.RecordNoAnswer(now.Add(-4 * time.Second))
	m.RecordAnswer(now)
	lapsesAt := m.LapsesAt(now)
	if want := lapseGrace.After(now); !lapsesAt.Equal(want) {
		t.Fatalf("removals take effect at: got %v, want %v", lapsesAt, want)
	}
	m.Apply("k", []Change{{Object: Object{Name: "a", Revision: 3}, Removed: true, LapsesAt: lapsesAt}}, 3, now)
	m.RecordAvailability(Period{now.Add(-10 * time.Second), now.Add(-100 * time.Millisecond)}, now)
	if n := len(got); n != 4 || !got[3].Removed || got[3].Name != "a" || !got[3].LapsesAt.IsZero() {
		t.Errorf("changes: got %+v, want the removal of a again, in effect at once", got)
	}
	if d, _ := m.Since("k", 2); len(d.Changes) != 1 || !d.Changes[0].LapsesAt.IsZero() {
		t.Errorf("what peers are told: got %+v, want a removal in effect at once", d.Changes)
	}
}

// A removal that a peer told is kept only as long as this router does not know that the store answered.
//
// Guards against one router's wrong belief in an outage that spreads to routers that know better.
func TestToldGraceIsCheckedAgainstOwnAnswers(t *testing.T) {
	now := time.Now()
	removed := func(m *Mirror) time.Time {
		m.Replace("k", []Object{object("a", 1)}, 2, now, time.Time{})
		m.Apply("k", []Change{{Object: Object{Name: "a", Revision: 3}, Removed: true, LapsesAt: lapseGrace.After(now)}}, 3, now)
		d, _ := m.Since("k", 2)
		return d.Changes[0].LapsesAt
	}
	knows, does := New("k"), New("k")
	knows.RecordAvailability(Period{now.Add(-5 * time.Second), now}, now)
	if at := removed(knows); !at.IsZero() {
		t.Errorf("at a router that had answers: got a removal in effect at %v, want at once", at)
	}
	does.RecordAvailability(Period{now, now}, now)
	if at := removed(does); !at.Equal(lapseGrace.After(now)) {
		t.Errorf("at a router that had none: got a removal in effect at %v, want %v", at, lapseGrace.After(now))
	}
}

// simReach is a schedule of when the store is up and which of some routers it is cut off from.
type simReach struct {
	down []Period
	cuts [][]Period
}

// newSimReach draws a schedule for n routers.
func newSimReach(rnd *rand.Rand, n int, length time.Duration) simReach {
	draw := func(gap, longest time.Duration) (list []Period) {
		for at := t0.Add(time.Duration(rnd.Int64N(int64(gap)))); at.Before(t0.Add(length)); {
			p := Period{at, at.Add(time.Duration(rnd.Int64N(int64(longest))))}
			list = append(list, p)
			at = p.To.Add(time.Second + time.Duration(rnd.Int64N(int64(gap))))
		}
		return list
	}
	r := simReach{down: draw(20*time.Second, 6*time.Second)}
	for range n {
		r.cuts = append(r.cuts, draw(12*time.Second, 8*time.Second))
	}
	return r
}

func within(list []Period, at time.Time) bool {
	for _, p := range list {
		if !at.Before(p.From) && at.Before(p.To) {
			return true
		}
	}
	return false
}

// simRouters are routers that lose the store together and alone.
type simRouters struct {
	t     *testing.T
	seed  uint64
	reach simReach
	// routers holds what each router knows, next when it calls the store again, and lost whether its last call failed.
	routers []availability
	next    []time.Time
	lost    []bool
	// answered is the last time at which any router reached the store, and apart the end of the last time without any
	// that was long enough for an outage.
	answered, apart time.Time
	// kept and atOnce count the losses after which removals were kept and taken at once.
	kept, atOnce int
}

// call lets a router call the store at now, and ask the others if it has lost the store before.
func (s *simRouters) call(i int, now time.Time) {
	if now.Before(s.next[i]) {
		return
	}
	if within(s.reach.down, now) || within(s.reach.cuts[i], now) {
		s.routers[i].failedAt, s.lost[i], s.next[i] = now, true, now.Add(200*time.Millisecond)
		return
	}
	if now.Sub(s.answered) >= minOutage {
		s.apart = now
	}
	s.answered, s.next[i] = now, now.Add(500*time.Millisecond)
	s.routers[i].confirm(Period{now, now})
	if !s.lost[i] {
		return
	}
	s.lost[i] = false
	for j := range s.routers {
		if p := s.routers[j].known; j != i && !p.To.IsZero() {
			s.routers[i].confirm(p)
		}
	}
	s.check(i, now)
}

// check checks until when a router keeps what was removed during its loss, which ended at now.
func (s *simRouters) check(i int, now time.Time) {
	at := s.routers[i].lapsesAt(now)
	if at.IsZero() {
		s.atOnce++
	} else {
		s.kept++
	}
	if at.After(lapseGrace.After(s.apart)) {
		s.t.Errorf("seed %d, router %d of %d, at %v: removals are kept until %v, though a router had an answer each second since %v",
			s.seed, i, len(s.routers), now.Sub(t0), at.Sub(t0), s.apart.Sub(t0))
	}
	for _, o := range s.reach.down {
		// Outages that calls may miss, as these are some hundred milliseconds apart, are not checked.
		if o.To.Sub(o.From) < minOutage+600*time.Millisecond || now.Before(o.To) || !now.Before(lapseGrace.After(o.To)) {
			continue
		}
		if at.Before(lapseGrace.After(o.To)) {
			s.t.Errorf("seed %d, router %d of %d, at %v: removals take effect at %v, %v after an outage of %v",
				s.seed, i, len(s.routers), now.Sub(t0), at.Sub(t0), at.Sub(o.To), o.To.Sub(o.From))
		}
	}
}

// 2 to 6 routers lose the store together and alone, in drawn schedules. A router that gets an answer after a loss and
// asks the others keeps what lapsed while the store was away, and nothing where some router had answers all the time.
//
// Guards against both faults of the rule: endpoints used after they left, and endpoints dropped that live.
func TestOutagesAreTheGapsOfAllRouters(t *testing.T) {
	const step, length = 50 * time.Millisecond, 90 * time.Second
	kept, atOnce := 0, 0
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 74))
		n := 2 + rnd.IntN(5)
		s := &simRouters{t: t, seed: seed, reach: newSimReach(rnd, n, length), routers: make([]availability, n), next: make([]time.Time, n), lost: make([]bool, n), answered: t0, apart: t0.Add(-time.Hour)}
		for now := t0; now.Before(t0.Add(length)); now = now.Add(step) {
			for i := range n {
				s.call(i, now)
			}
		}
		kept, atOnce = kept+s.kept, atOnce+s.atOnce
	}
	if kept < 100 || atOnce < 100 {
		t.Errorf("losses after which removals were kept: %d, taken at once: %d; want 100 of each at least", kept, atOnce)
	}
}
