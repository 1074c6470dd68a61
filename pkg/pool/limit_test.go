// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"math"
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/mixer"
)

// A limit holds for as long as answers state it. An answer to an attempt that was sent before the limit was
// last stated must not end it, as it may be older than the limit.
func TestLimitEndsByLaterAttempt(t *testing.T) {
	at := time.Unix(1000, 0)
	p := &Endpoint{}
	if !p.RecordNotice(Notice{Limit: Limited, PerSecond: 2.5}, at, at.Add(time.Second)).Limit {
		t.Error("first statement: got no change")
	}
	for _, c := range []struct {
		name    string
		status  LimitStatus
		sentAt  time.Time
		changed bool
	}{
		{"sent before the statement", Unlimited, at.Add(500 * time.Millisecond), false},
		{"unspecified", LimitUnspecified, at.Add(2 * time.Second), false},
		{"sent after the statement", Unlimited, at.Add(2 * time.Second), true},
		{"again", Unlimited, at.Add(2 * time.Second), false},
	} {
		if got := p.RecordNotice(Notice{Limit: c.status}, c.sentAt, at.Add(3*time.Second)).Limit; got != c.changed {
			t.Errorf("%s: changed: got %v, want %v", c.name, got, c.changed)
		}
	}
	if _, ok := p.Limit(); ok {
		t.Error("limit: got one, want none")
	}
}

const (
	// limitWindow, limitOverage and limitSlack are the bound that is checked: in any window an endpoint
	// gets at most limitOverage times what its limit allows, and limitSlack requests.
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
)

// limitedFleet is a set of processes that send to one endpoint whenever its limit lets them.
type limitedFleet struct {
	books []*Book
	// sent holds the times at which the endpoint got a request.
	sent []time.Time
}

// limitedProcess returns the book of a process that knows the processes in knows.
func limitedProcess(self uint64, knows []uint64, perSecond float64) *Book {
	b := NewBook()
	b.SetSenders(Senders{Self: self, All: knows})
	b.Put(entry("e0", 1))
	b.Get("e0").RecordNotice(Notice{Limit: Limited, PerSecond: perSecond}, t0, t0)
	return b
}

// limitedFleetOf returns a fleet of n processes; each knows all others except those that lacks reports.
func limitedFleetOf(n int, perSecond float64, lacks func(self, other int) bool) *limitedFleet {
	f := &limitedFleet{}
	for i := range n {
		var knows []uint64
		for j := range n {
			if i == j || !lacks(i, j) {
				knows = append(knows, mixer.Mix(uint64(j+1)))
			}
		}
		f.books = append(f.books, limitedProcess(mixer.Mix(uint64(i+1)), knows, perSecond))
	}
	return f
}

// send makes all processes send whenever they may, from one time to another.
func (f *limitedFleet) send(from, to time.Time) {
	const step = 20 * time.Millisecond
	for now := from; now.Before(to); now = now.Add(step) {
		for _, b := range f.books {
			if p := b.Get("e0"); p.ready(now) {
				p.RecordSend(now)
				f.sent = append(f.sent, now)
			}
		}
	}
}

// most returns the most requests in one window among those sent since a time.
func (f *limitedFleet) most(since time.Time) (most int) {
	for i, at := range f.sent {
		n := 0
		for j := i; j >= 0 && at.Sub(f.sent[j]) < limitWindow && !f.sent[j].Before(since); j-- {
			n++
		}
		most = max(most, n)
	}
	return most
}

// Guards against a limit that is exceeded, or left largely unused, as processes share it without
// coordination: each sends whenever it may, also with lists that lack a fifth of the processes.
func TestLimitIsSharedWithoutCoordination(t *testing.T) {
	const lasts = 40 * time.Second
	all := func(int, int) bool { return false }
	fifth := func(self, other int) bool { return mixer.Mix(uint64(self*1000+other))%5 == 0 }
	for _, n := range []int{1, 2, 6, 12, 300} {
		for _, perSecond := range []float64{0, 0.7, 2.5, 50} {
			for name, lacks := range map[string]func(self, other int) bool{"all": all, "fifthLacks": fifth} {
				f := limitedFleetOf(n, perSecond, lacks)
				f.send(t0, t0.Add(lasts))
				bound := limitOverage*perSecond*limitWindow.Seconds() + limitSlack
				if got := f.most(t0); float64(got) > bound {
					t.Errorf("%d processes, %s, limit %v: requests in %v: got %d, want at most %.1f", n, name, perSecond, limitWindow, got, bound)
				}
				if got, want := float64(len(f.sent)), 0.9*perSecond*lasts.Seconds(); got < want {
					t.Errorf("%d processes, %s, limit %v: requests in %v: got %.0f, want at least %.0f", n, name, perSecond, lasts, got, want)
				}
				if len(f.sent) == 0 {
					t.Errorf("%d processes, %s, limit %v: got no requests, want some", n, name, perSecond)
				}
			}
		}
	}
}

// A process that knows no other ones must not take the whole limit: it sends a request only after the time
// in which any number of processes may probe.
func TestLimitWithoutAListOfProcesses(t *testing.T) {
	p := limitedProcess(1, nil, 2.5).Get("e0")
	if p.ready(t0.Add(probeAfter)) {
		t.Error("before the probe is due: got ready, want not ready")
	}
	if !p.ready(p.limitedUntil()) {
		t.Error("when the probe is due: got not ready, want ready")
	}
}

// A limit beyond what can be sent restricts nothing.
func TestHugeLimit(t *testing.T) {
	p := limitedProcess(1, []uint64{1, 2, 3}, math.MaxFloat64).Get("e0")
	p.RecordSend(t0)
	if !p.ready(t0) {
		t.Error("right after a request: got not ready, want ready")
	}
}

// A request that finds all endpoints limited gets the time at which the first has room.
func TestUnavailableByLimit(t *testing.T) {
	b := limitedProcess(1, []uint64{1}, 2)
	p := b.Get("e0")
	p.RecordSend(t0)
	w := Want{Service: "s"}
	if got, why := b.Pick(t0.Add(100*time.Millisecond), &w); got != nil {
		t.Errorf("picked: got %v (%s), want none", got.ID, why)
	}
	l := b.Unavailability(t0.Add(100*time.Millisecond), &w)
	if want := t0.Add(500 * time.Millisecond); l.Limited != 1 || !l.RetryAt.Equal(want) {
		t.Errorf("unavailability: got %+v, want one limited until %v", l, want)
	}
	if got, _ := b.Pick(l.RetryAt, &w); got != p {
		t.Error("picked at that time: got none, want the endpoint")
	}
}

// A limit belongs to the incarnation that stated it: an endpoint that restarts under its ID has none.
func TestLimitEndsWithIncarnation(t *testing.T) {
	b := NewBook()
	e := entry("e0", 1)
	e.StartedAt = t0
	b.Put(e)
	b.Get("e0").RecordNotice(Notice{Limit: Limited, PerSecond: 2}, t0, t0)
	e.Revision = 2
	b.Put(e)
	if _, ok := b.Get("e0").Limit(); !ok {
		t.Error("same incarnation, listed again: got no limit, want one")
	}
	e.Revision, e.StartedAt = 3, t0.Add(time.Second)
	if !b.Put(e) {
		t.Error("next incarnation: got no change")
	}
	if _, ok := b.Get("e0").Limit(); ok {
		t.Error("next incarnation: got a limit, want none")
	}
}

// At a process without a share, a request gets the time at which another process may have room, not the
// later one at which this process may probe.
func TestUnavailableWithoutShare(t *testing.T) {
	var knows []uint64
	for i := range uint64(40) {
		knows = append(knows, mixer.Mix(i+1))
	}
	for _, self := range knows {
		b := limitedProcess(self, knows, 2)
		if _, holds := b.Get("e0").LimitSharers(); holds {
			continue
		}
		if got, want := b.Unavailability(t0, &Want{Service: "s"}).RetryAt, t0.Add(500*time.Millisecond); !got.Equal(want) {
			t.Errorf("process %x: retry at: got %v, want %v", self, got, want)
		}
	}
}

// A request that a process grants to another is deducted from its own share; the other one uses it once, and
// before the grant expires.
func TestGrantIsUsedOnce(t *testing.T) {
	const perSecond = 2.5
	lender, borrower := limitedProcess(1, []uint64{1, 2}, perSecond).Get("e0"), limitedProcess(2, []uint64{1, 2}, perSecond).Get("e0")
	now := t0.Add(time.Minute)
	borrower.RecordSend(now)
	if borrower.ready(now) {
		t.Error("borrower after its own request: got ready, want not ready")
	}
	granted, at := lender.Grant(now)
	if want := now.Add(800 * time.Millisecond); !granted || !at.Equal(want) {
		t.Errorf("grant: got %v, the next at %v, want one and the next at %v", granted, at, want)
	}
	if lender.ready(now) {
		t.Error("lender after its grant: got ready, want not ready")
	}
	if again, _ := lender.Grant(now); again {
		t.Error("second grant: got one, want none")
	}
	borrower.RecordGrant(now.Add(50 * time.Millisecond))
	if borrower.ready(now.Add(50 * time.Millisecond)) {
		t.Error("borrower after the grant expired: got ready, want not ready")
	}
	if !borrower.ready(now) {
		t.Error("borrower with a grant: got not ready, want ready")
	}
	borrower.RecordSend(now)
	if borrower.ready(now) {
		t.Error("borrower after the granted request: got ready, want not ready")
	}
	if own := now.Add(800 * time.Millisecond); !borrower.ready(own) {
		t.Error("borrower once its own share is due: got not ready, want ready")
	}
}

// The shares of all processes interleave evenly from the moment at which a limit is stated, however recently
// each sent before. Otherwise the capacity of the first seconds is lost, or several processes send at once.
func TestSharesInterleave(t *testing.T) {
	const perSecond, processes = 2.0, 4
	f := limitedFleetOf(processes, perSecond, func(int, int) bool { return false })
	f.send(t0, t0.Add(4*time.Second))
	if got := len(f.sent); got != 7 {
		t.Errorf("requests in 4 s: got %d, want 7", got)
	}
	for i := 1; i < len(f.sent); i++ {
		if gap := f.sent[i].Sub(f.sent[i-1]); gap < 400*time.Millisecond {
			t.Errorf("requests %d and %d: got %v between them, want about 500ms", i, i+1, gap)
		}
	}
}
