// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"fmt"
	"testing"
	"time"
)

// TestRequestThatCrashesEngines repeats a request that crashes each engine which runs it, at
// both entries in turn: engines are left for others, what runs beside it is served, and no
// entry sends it on once three engines have crashed under it.
//
// Seen: on the users' platform, where routers have no guards, such a request crashed 70
// endpoints. Cause: what a request did was forgotten with its attempt; entries forgot it as
// the routers did. Proof: without what guards tell of crashes, eight engines of eight.
func TestRequestThatCrashesEngines(t *testing.T) {
	pools := testPools(8)
	pools[0].Engine.CrashOn = "poison"
	f := startFleet(t, Options{Entries: 2, Pools: pools[:1]})
	last := ""
	for i := range 10 {
		last = (<-send(f, i%2, chat("history", "poison", false))).result
		expect(t, fmt.Sprint("another request, after ", i), <-send(f, i%2, chat("history", fmt.Sprint("lot ", i), false)), "whole")
		time.Sleep(20 * time.Millisecond)
	}
	if want := "quarantined/notRun"; last != want {
		t.Errorf("the last repeat: got %s, want %s", last, want)
	}
	crashed := 0
	for _, e := range f.Engines {
		if e.Crashed() {
			crashed++
		}
	}
	if crashed < 3 || crashed > 4 {
		t.Errorf("engines that crashed: got %d, want 3 or 4", crashed)
	}
}
