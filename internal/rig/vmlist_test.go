// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"testing"

	"github.com/traildrift/traildrift/internal/store"
)

// TestLeavingVMs marks VMs as leaving in the VM list while they have runs: these runs are
// answered whole, and no new run is sent there.
func TestLeavingVMs(t *testing.T) {
	f := startFleet(t, Options{Entries: 1, Pools: slowServicePools("1500ms"), EntrySettings: "listEvery: 100ms\n"})
	running := send(f, 0, note("", "running"))
	guard := waitForCall(t, f, "running")
	long := chat("history", "long", true)
	long.Chat.MaxTokens = 600
	stream := send(f, 0, long)
	waitFor(t, "the stream", func() bool { return len(f.EngineRuns()) == 1 })
	var engine string
	for vm, e := range f.Engines {
		if len(e.Runs()) == 1 {
			engine = vm
		}
	}
	f.SetVMState(guard.VM.Name, store.VMLeaving)
	f.SetVMState(engine, store.VMLeaving)
	waitFor(t, "the end of new work there", func() bool { return f.Entries[0].usableEndpoints() == 4 })
	for range 10 {
		expect(t, "meanwhile", <-send(f, 0, chat("history", "lot", false)), "whole")
	}
	if got := len(f.Engines[engine].Runs()); got != 1 {
		t.Errorf("runs at the leaving engine: got %d, want 1", got)
	}
	expect(t, "a call that ran at a leaving VM", <-running, "whole")
	expect(t, "a stream from a leaving VM", <-stream, "whole")
	expectCalls(t, f, "running", 1)
}

// TestStaleVMList serves requests while the VM list still contains VMs whose guards are gone.
func TestStaleVMList(t *testing.T) {
	f := startFleet(t, Options{Entries: 1, Pools: testPools(2)})
	for _, n := range f.Guards {
		if n.VM.Name == "deedwriter-1" || n.VM.Name == "register-5" {
			n.Kill()
		}
	}
	for i := range 20 {
		got := <-send(f, 0, chat("history", "lot", i%2 == 0))
		expect(t, "chat", got, "whole")
		expect(t, "fetch", <-send(f, 0, note("", "lot")), "whole")
	}
}
