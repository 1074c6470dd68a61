// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"fmt"
	"testing"
	"time"
)

// TestRequestThatCrashesEngines repeats a request that crashes every engine that runs it, at
// both entries in turn. Other requests must be served, and no entry may dispatch the request
// again once three engines have crashed under it.
//
// The test guards against forgetting which request an engine crashed under when its attempt
// ends: routers without guards let such a request crash 70 endpoints. Without the crash
// reports of the guards it crashes eight engines of eight here.
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
