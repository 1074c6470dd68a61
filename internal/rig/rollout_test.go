// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"strings"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/fakes"
	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/rolls"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/roll"
)

// rolloutSettings are settings with a second version that has share 0 and costs less than the
// version that serves.
var rolloutSettings = strings.Replace(testSettings, `"1": {pool: mapcore, cost: 2, quality: 0.8}`,
	`"1": {pool: mapcore, cost: 2, quality: 0.8}
      "2": {pool: mapcore, cost: 1, quality: 0.8, share: 0}`, 1)

// startRolloutFleet starts a fleet whose mapcore engines have loaded version 1 and fetch the
// weights of other versions from a weight store that allows two fetches at a time.
func startRolloutFleet(t *testing.T) (*Fleet, *fakes.WeightStore) {
	t.Helper()
	w := fakes.NewWeightStore(2, span("300ms"))
	pools := testPools(4)[1:2]
	pools[0].Engine.Versions = []string{"mapcore@1"}
	pools[0].Engine.FetchWeights = w.Fetch
	pools[0].Engine.Unfenced = true
	f := startFleet(t, Options{Entries: 2, Pools: pools, Settings: rolloutSettings, Zones: []string{"a"}})
	return f, w
}

// startRollout starts a roll-out of version 2 with the given shares of its waves.
func startRollout(t *testing.T, f *Fleet, waves ...float64) {
	t.Helper()
	err := rolls.Update(t.Context(), f.Store, func(b *roll.Board) error {
		b.LoadsAtOnce = 2
		return b.Start(roll.Rollout{ID: "r", Model: "mapcore", Version: "2", Pool: "mapcore", Waves: waves, HoldSeconds: 1, Author: "test", Reason: "test"})
	})
	if err != nil {
		t.Fatal(err)
	}
}

// rollout returns the newest roll-out on the board, or the zero value if there is none.
func rollout(f *Fleet, t *testing.T) roll.Rollout {
	b, _, err := rolls.Read(t.Context(), f.Store)
	if err != nil || len(b.Rollouts) == 0 {
		return roll.Rollout{}
	}
	return b.Rollouts[len(b.Rollouts)-1]
}

// TestRollout rolls a version out while the two entries that drive the roll-out are killed in
// turn and the platform loses answers. The roll-out completes, the weight store never gets
// more than two fetches at a time, requests are served throughout, and the version gets no
// request while its share is 0.
func TestRollout(t *testing.T) {
	f, w := startRolloutFleet(t)
	expect(t, "before", <-send(f, 0, chat("tags", "lot", false)), "whole")
	if got := f.ModelRuns("mapcore@2"); got != 0 {
		t.Errorf("runs of a version with share 0: got %d, want 0", got)
	}
	startRollout(t, f, 0.5, 1)
	f.Objects.Set(fakes.Faults{ResponseLossRate: 0.2})
	for i := 0; rollout(f, t).State != roll.Done; i++ {
		n := f.Entries[i%2]
		time.Sleep(700 * time.Millisecond)
		n.Kill()
		expect(t, "serving while an entry is away", <-send(f, (i+1)%2, chat("tags", "lot", true)), "whole")
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		if err := f.WaitReady(stepDeadline()); err != nil {
			t.Fatal(err)
		}
		if i == 40 {
			t.Fatalf("the roll-out has not completed: %+v", rollout(f, t))
		}
	}
	f.Objects.Set(fakes.Faults{})
	if maxAtOnce, refused := w.Stats(); maxAtOnce > 2 || refused != 0 {
		t.Errorf("weight store: got %d at a time and %d refusals, want at most 2 and none", maxAtOnce, refused)
	}
	for vm, e := range f.Engines {
		if got := strings.Join(e.Loaded(), " "); got != "mapcore@1 mapcore@2" {
			t.Errorf("%s: got %s loaded, want both versions", vm, got)
		}
	}
	waitFor(t, "the new version", func() bool {
		got := <-send(f, 0, chat("tags", "lot", false))
		return got.result == "whole" && got.answer.Version == "2"
	})
}

// TestRolloutAborted aborts a roll-out in its first wave: the version is withdrawn and gets no
// new runs.
func TestRolloutAborted(t *testing.T) {
	f, _ := startRolloutFleet(t)
	startRollout(t, f, 0.3, 1)
	if err := rolls.Update(t.Context(), f.Store, func(b *roll.Board) error {
		b.Rollouts[0].HoldSeconds = 600
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the first wave", func() bool { return rollout(f, t).Applied == 1 })
	counts := map[string]int{}
	for range 200 {
		got := <-send(f, 0, chat("tags", "lot", false))
		counts[got.answer.Version]++
	}
	if got := counts["2"]; got < 20 || got > 120 {
		t.Errorf("requests to a version with share 0.3: got %d of 200, want about 60", got)
	}
	if err := rolls.Update(t.Context(), f.Store, func(b *roll.Board) error { return b.SetState("mapcore@2", roll.Aborting) }); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the withdrawal", func() bool { return rollout(f, t).State == roll.Aborted })
	revision, err := f.Revision()
	if err != nil {
		t.Fatal(err)
	}
	if err := f.WaitRevision(revision, stepDeadline()); err != nil {
		t.Fatal(err)
	}
	before := f.ModelRuns("mapcore@2")
	for range 50 {
		expect(t, "after the abort", <-send(f, 1, chat("tags", "lot", false)), "whole")
	}
	if got := f.ModelRuns("mapcore@2"); got != before {
		t.Errorf("new runs of the withdrawn version: got %d, want 0", got-before)
	}
}

// TestStaleOrder sends an order with an outdated fencing token to a guard that has just been
// restarted, in front of an engine that does not check the token. The guard refuses it.
func TestStaleOrder(t *testing.T) {
	f, _ := startRolloutFleet(t)
	startRollout(t, f, 1)
	old, err := rolls.Version(t.Context(), f.Store)
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the end", func() bool { return rollout(f, t).State == roll.Done })
	n := f.Guards[0]
	n.Kill()
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	local := &link.Local{Identity: wire.Identity{VM: "x", Incarnation: "x"}, Keys: f.Keys, Revision: func() int64 { return 0 },
		Mux: link.NewMux(func(task func()) error { task(); return nil }, nil)}
	var c *link.Conn
	waitFor(t, "a link", func() bool {
		c, err = local.Dial(t.Context(), n.VM.Link)
		return err == nil
	})
	defer c.Close()
	before := f.Engines[n.VM.Name].Orders()
	err = c.Call(t.Context(), wire.MethodOrder, wire.Order{Fence: old, Model: "mapcore", Version: "9"}, &wire.Empty{})
	if err == nil || f.Engines[n.VM.Name].Orders() != before {
		t.Errorf("an order with an old fence: got %v and %d orders at the engine, want a refusal and %d", err, f.Engines[n.VM.Name].Orders(), before)
	}
}
