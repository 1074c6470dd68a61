// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"net/netip"
	"testing"
	"time"
)

var (
	peerA = netip.MustParseAddr("10.0.0.1")
	peerB = netip.MustParseAddr("10.0.0.2")
)

func TestTwoPeersEjectAnEndpoint(t *testing.T) {
	var trust Trust
	for range 5 {
		if trust.RecordPeerFailure(t0, peerA) {
			t.Fatal("one peer, many reports: ejected, want not ejected")
		}
	}
	if !trust.mayTry(t0, 0) {
		t.Error("reported by one peer: may not be tried, want it to be")
	}
	if late := t0.Add(peerFailureTTL + time.Millisecond); trust.RecordPeerFailure(late, peerB) {
		t.Error("second peer long after the first: ejected, want not ejected")
	}
	if !trust.RecordPeerFailure(t0.Add(peerFailureTTL), peerA) {
		t.Error("two peers within peerFailureTTL: not ejected, want ejected")
	}
	if trust.mayTry(t0.Add(peerFailureTTL), 0) {
		t.Error("ejected endpoint: may be tried, want it not to be")
	}
	if later := t0.Add(peerFailureTTL + maxEject); !trust.mayTry(later, 0) || trust.mayTry(later, 1) {
		t.Error("after the ejection: want one attempt at a time")
	}
}

// TestEjectionTimes checks how long failures in a row eject an endpoint. Guards against a change of
// the first ejection, by which callers of a restarted endpoint wait or fail again.
func TestEjectionTimes(t *testing.T) {
	for _, c := range []struct {
		dead     bool
		failures int
		want     time.Duration
	}{
		{false, 1, 0}, {true, 1, 800 * time.Millisecond}, {false, 2, 1600 * time.Millisecond}, {false, 3, 3200 * time.Millisecond}, {true, 4, maxEject}, {true, 40, maxEject},
	} {
		var tr Trust
		for range c.failures {
			tr.RecordFailure(t0, c.dead)
		}
		if got := max(tr.ejectedUntil.Sub(t0), 0); got != c.want {
			t.Errorf("%d failures, dead %v: got an ejection of %v, want %v", c.failures, c.dead, got, c.want)
		}
	}
}

func TestSuccessOutweighsPeerFailures(t *testing.T) {
	var trust Trust
	trust.RecordSuccess(t0)
	trust.RecordPeerFailure(t0, peerA)
	if trust.RecordPeerFailure(t0.Add(successTTL), peerB) {
		t.Error("recent success: ejected, want not ejected")
	}
}

func TestNoRetryPicksHealthyEndpoint(t *testing.T) {
	b := book(3)
	b.Get("e0").Trust.RecordFailure(t0, false)
	b.Get("e1").Trust.RecordPeerFailure(t0, peerA)
	for d := range uint64(50) {
		p, _ := b.Pick(t0, &Want{Service: "s", NoRetry: true, Draw: d})
		if p.ID != "e2" {
			t.Fatalf("draw %d: got %s, want e2, which never failed", d, p.ID)
		}
	}
	if got := picks(b, t0); len(got) != 3 {
		t.Errorf("picks for requests that may be retried: got %v, want all three", got)
	}
	b.Get("e2").Trust.RecordFailure(t0, false)
	if p, _ := b.Pick(t0, &Want{Service: "s", NoRetry: true}); p == nil {
		t.Error("none is healthy: got none, want one that may be tried")
	}
	b.Get("e0").Trust.RecordSuccess(t0)
	if p, _ := b.Pick(t0, &Want{Service: "s", NoRetry: true, Draw: 3}); p.ID != "e0" {
		t.Errorf("after a success: got %s, want e0", p.ID)
	}
}

func TestEjectionIsReportedOnce(t *testing.T) {
	var trust Trust
	for i, want := range []bool{false, true, false} {
		if got := trust.RecordFailure(t0, false); got != want {
			t.Errorf("failure %d: got %v, want %v", i+1, got, want)
		}
	}
	if !trust.RecordFailure(t0.Add(maxEject+time.Second), true) {
		t.Error("dead after its ejection: got false, want it ejected again")
	}
}

// An endpoint that was found silent must get no attempts, and must be trusted again as soon as it is heard: a
// false alarm would otherwise keep a needed endpoint out of use. An ejection for failures does not end by that.
func TestSilenceEjectsUntilHeard(t *testing.T) {
	var trust Trust
	if !trust.RecordSilence(t0) || trust.mayTry(t0, 0) {
		t.Error("found silent: may be tried, want it ejected")
	}
	if trust.RecordSilence(t0) {
		t.Error("found silent again: got true, want false, as it was ejected")
	}
	if after := t0.Add(maxEject); !trust.mayTry(after, 0) || trust.mayTry(after, 1) {
		t.Error("after the ejection: want one attempt at a time")
	}
	trust.RecordHeard(t0)
	if !trust.mayTry(t0, 3) || !trust.healthy(t0) {
		t.Error("heard again: want it trusted at once")
	}
	var failed Trust
	failed.RecordFailure(t0, true)
	failed.RecordHeard(t0)
	if failed.mayTry(t0, 0) {
		t.Error("ejected for a failure: trusted as it was heard, want it ejected")
	}
}
