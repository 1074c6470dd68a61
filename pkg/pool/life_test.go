// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"net/netip"
	"testing"
	"time"
)

// An endpoint that has started again under its ID holds no prompt, runs nothing, is cold, and is not ejected for what the
// process before did; also where its entry was removed meanwhile.
//
// Guards against requests that are placed by what an earlier incarnation of the endpoint held and did.
func TestNextIncarnationHoldsNothing(t *testing.T) {
	now := t0.Add(2 * time.Second)
	const prefix = 7
	for _, c := range []struct {
		name   string
		change func(b *Book, e Entry)
		// next says that another incarnation is listed, cold that it warms up.
		next, cold bool
	}{
		{"the same incarnation, written again", func(b *Book, e Entry) { e.Revision = 2; b.Put(e) }, false, false},
		{"the same incarnation, listed again", func(b *Book, e Entry) {
			b.Remove("e0", 2, now, time.Time{})
			e.Revision = 3
			b.Put(e)
		}, false, true},
		{"the next incarnation", func(b *Book, e Entry) {
			e.Revision, e.StartedAt = 2, now
			b.Put(e)
		}, true, true},
		{"the next incarnation, after a removal", func(b *Book, e Entry) {
			b.Remove("e0", 2, now, time.Time{})
			e.Revision, e.StartedAt = 3, now
			b.Put(e)
		}, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, e := NewBook(), entry("e0", 1)
			e.StartedAt, e.ReceivedAt = t0, t0
			b.SetWarmup(e.Service, Warmup{Allowance: 1, Duration: time.Second})
			b.Put(e)
			p := b.Get("e0")
			p.Load.InFlight = 3
			p.Load.RecordReport(now, 5, 2)
			p.Load.AddPrompt(now, time.Second)
			b.RecordHolder(prefix, p.Hash(), now.Add(-time.Millisecond))
			for range 2 {
				p.Trust.RecordFailure(now, true)
			}
			p.Trust.RecordPeerFailure(now, netip.MustParseAddr("127.0.0.1"))
			listed := p.Entry
			e.ReceivedAt = now
			c.change(b, e)
			p = b.Get("e0")
			if got := b.Same(&listed) == nil; got != c.next {
				t.Errorf("another incarnation than before: got %v, want %v", got, c.next)
			}
			p.Trust.failuresInRow, p.Trust.failureRate = 0, 0
			if held := b.holder(now.Add(2*time.Second), &Want{Service: e.Service, Affinity: prefix}, nil).p != nil; held == c.next {
				t.Errorf("holder of the prefix: got %v, want %v", held, !c.next)
			}
			if got := p.Warming(now); got != c.cold {
				t.Errorf("warming up: got %v, want %v", got, c.cold)
			}
			if !c.next {
				return
			}
			if p.Load.Runs(now) != 0 || p.Load.Wait(now) != 0 {
				t.Errorf("load: got %d runs and %.1f s, want none", p.Load.Runs(now), p.Load.Wait(now))
			}
			if !p.Trust.mayTry(now, 0) {
				t.Error("ejected: got true, want false")
			}
		})
	}
}

// An endpoint whose processes fail one after the other gets one attempt at a time until it answers.
//
// Guards against a crashing endpoint that is trusted anew at each start.
func TestFailuresOutliveTheIncarnation(t *testing.T) {
	var trust Trust
	for range 3 {
		trust.RecordFailure(t0, true)
	}
	trust.begin()
	if !trust.mayTry(t0, 0) || trust.mayTry(t0, 1) {
		t.Errorf("attempts: got %v for the first and %v for a second at a time, want true and false", trust.mayTry(t0, 0), trust.mayTry(t0, 1))
	}
	trust.RecordSuccess(t0)
	if !trust.mayTry(t0, 1) {
		t.Error("a second attempt after an answer: got refused, want allowed")
	}
}
