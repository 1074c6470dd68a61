// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"net/netip"
	"testing"
	"time"
)

var (
	tellerA = netip.MustParseAddr("10.0.0.1")
	tellerB = netip.MustParseAddr("10.0.0.2")
)

func TestTwoTellersMakeAnEndpointRest(t *testing.T) {
	var trust Trust
	for range 5 {
		if trust.Told(t0, tellerA) {
			t.Fatal("one teller, many times: the endpoint rests, want it open")
		}
	}
	if !trust.open(t0, 0) {
		t.Error("told by one: not open")
	}
	if late := t0.Add(toldFor + time.Millisecond); trust.Told(late, tellerB) {
		t.Error("a second teller long after the first: the endpoint rests, want it open")
	}
	if !trust.Told(t0.Add(toldFor), tellerA) {
		t.Error("two tellers at a time: the endpoint is open, want it to rest")
	}
	if trust.open(t0.Add(toldFor), 0) {
		t.Error("resting endpoint: open")
	}
	if later := t0.Add(toldFor + shutMost); !trust.open(later, 0) || trust.open(later, 1) {
		t.Error("after the rest: want one attempt at a time")
	}
}

func TestOwnAnswerOutweighsTellers(t *testing.T) {
	var trust Trust
	trust.OK(t0)
	trust.Told(t0, tellerA)
	if trust.Told(t0.Add(okHolds), tellerB) {
		t.Error("answered lately: the endpoint rests, want it open")
	}
}

func TestOnceTestsNoEndpoint(t *testing.T) {
	b := book(3)
	b.Get("e0").Trust.Fail(t0, false)
	b.Get("e1").Trust.Told(t0, tellerA)
	for d := range uint64(50) {
		p, _ := b.Pick(t0, &Want{Service: "s", Once: true, Draw: d})
		if p.ID != "e2" {
			t.Fatalf("draw %d: got %s, want e2, which never failed", d, p.ID)
		}
	}
	if got := picks(b, t0); len(got) != 3 {
		t.Errorf("picks for requests that may be repeated: got %v, want all three", got)
	}
	b.Get("e2").Trust.Fail(t0, false)
	if p, _ := b.Pick(t0, &Want{Service: "s", Once: true}); p == nil {
		t.Error("none is sound: got none, want one that is open")
	}
	b.Get("e0").Trust.OK(t0)
	if p, _ := b.Pick(t0, &Want{Service: "s", Once: true, Draw: 3}); p.ID != "e0" {
		t.Errorf("after an answer: got %s, want e0", p.ID)
	}
}

func TestRestIsToldOnce(t *testing.T) {
	var trust Trust
	for i, want := range []bool{false, true, false} {
		if got := trust.Fail(t0, false); got != want {
			t.Errorf("failure %d: got %v, want %v", i+1, got, want)
		}
	}
	if !trust.Fail(t0.Add(shutMost+time.Second), true) {
		t.Error("dead after its rest: got false, want it to rest anew")
	}
}
