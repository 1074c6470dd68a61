// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"syscall"
	"testing"
	"time"
)

// An entry whose stop is cut short tells the callers of what is under way that it may have run.
//
// Guards against callers that get a closed connection with no answer as an entry ends.
func TestInterruptedStopAnswers(t *testing.T) {
	f := startFleet(t, Options{Entries: 1, Pools: slowServicePools("20s")})
	held := send(f, 0, note("", "held"))
	waitForCall(t, f, "held")
	entry := f.Entries[0]
	for range 2 {
		_ = entry.proc.cmd.Process.Signal(syscall.SIGINT)
		time.Sleep(200 * time.Millisecond)
	}
	select {
	case <-entry.proc.exited:
	case <-time.After(5 * time.Second):
		t.Error("the entry runs 5 s after a second SIGINT")
	}
	if got := <-held; got.result == "noAnswer" || got.result == "whole" {
		t.Errorf("request at an entry that ends: got %s after %v, want an error that tells whether it ran", got.result, got.took)
	}
}
