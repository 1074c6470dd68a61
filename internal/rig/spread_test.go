// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/fakes"
)

// TestChangesUnderFaults applies changes of the settings while watches end silently or return
// old versions, the platform is slow or loses answers, links break, or an entry restarts. Each
// change gets in force at every process, and no process returns to an older revision.
func TestChangesUnderFaults(t *testing.T) {
	f := startFleet(t, Options{Entries: 3, Pools: testPools(2), EntrySettings: "listEvery: 500ms\n"})
	tests := []struct {
		name   string
		fault  fakes.Faults
		inject func()
	}{
		{"none", fakes.Faults{}, nil},
		{"watches end silently", fakes.Faults{SilentWatch: true}, nil},
		{"watches go back in time", fakes.Faults{StaleWatch: true}, nil},
		{"platform slow", fakes.Faults{Delay: span("400ms")}, nil},
		{"answers lost", fakes.Faults{ResponseLossRate: 0.4}, nil},
		{"links broken", fakes.Faults{}, func() {
			for _, r := range f.Relays {
				r.CloseConns()
			}
		}},
		{"an entry killed and started", fakes.Faults{}, func() {
			f.Entries[0].Kill()
			if err := f.Entries[0].Start(); err != nil {
				t.Fatal(err)
			}
		}},
	}
	last := int64(0)
	for i, tt := range tests {
		f.Objects.Set(tt.fault)
		if tt.inject != nil {
			tt.inject()
		}
		revision, err := f.Apply(strings.Replace(testSettings, "answerWithin: 20s", fmt.Sprintf("answerWithin: %ds", 21+i), 1), "test")
		if err != nil {
			t.Fatalf("%s: %v", tt.name, err)
		}
		start := time.Now()
		if err := f.WaitRevision(revision, stepDeadline()); err != nil {
			t.Errorf("%s: %v", tt.name, err)
		}
		t.Logf("%s: in force everywhere after %v", tt.name, time.Since(start))
		f.Objects.Set(fakes.Faults{})
		last = revision
	}
	for _, n := range f.Nodes() {
		if u, err := n.Usage(); err != nil || u.Revision != last || u.Violations != 0 {
			t.Errorf("%s: got revision %d, %d broken invariants, %v, want %d and 0", n.VM.Name, u.Revision, u.Violations, err, last)
		}
	}
}

// TestFrozenEntry freezes an entry while a workload is disabled. The thawed entry must not
// decide by the old revision.
func TestFrozenEntry(t *testing.T) {
	f := startFleet(t, Options{Entries: 2, Pools: testPools(1)})
	f.Entries[0].Freeze()
	closed := strings.Replace(testSettings, "tags: {values: {qualityTarget: 0.5}}", "tags: {values: {qualityTarget: 0.5, enabled: false}}", 1)
	if _, err := f.Apply(closed, "test"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the change at the other entry", func() bool {
		u, err := f.Entries[1].Usage()
		return err == nil && u.Revision == 2
	})
	time.Sleep(3500 * time.Millisecond) // longer than a confirmation of the settings is valid
	waiting := send(f, 0, chat("tags", "lot", false))
	time.Sleep(50 * time.Millisecond)
	f.Entries[0].Thaw()
	expect(t, "a request that waited at the frozen entry", <-waiting, "notCutOver/notRun")
	if got := len(f.EngineRuns()); got != 0 {
		t.Errorf("runs: got %d, want 0", got)
	}
}

// TestOutage stops the platform: the settings stay in force, and a change after the outage
// reaches every process.
func TestOutage(t *testing.T) {
	f := startFleet(t, Options{Entries: 2, Pools: testPools(1)})
	f.Objects.Set(fakes.Faults{Down: true})
	for range 3 {
		expect(t, "during the outage", <-send(f, 0, chat("history", "lot", true)), "whole")
	}
	f.Objects.Set(fakes.Faults{})
	revision, err := f.Apply(strings.Replace(testSettings, "answerWithin: 20s", "answerWithin: 19s", 1), "test")
	if err != nil {
		t.Fatal(err)
	}
	if err := f.WaitRevision(revision, stepDeadline()); err != nil {
		t.Error(err)
	}
}
