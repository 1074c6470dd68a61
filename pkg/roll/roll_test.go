// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/traildrift/traildrift/internal/draws"
)

func TestMain(m *testing.M) {
	draws.FixSeed()
	os.Exit(m.Run())
}

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world is the state that several processes share: the stored board, VMs that load and lose a
// version, and the version's share in the settings.
type world struct {
	t *rapid.T
	// written holds every stored revision of the board, encoded.
	written [][]byte
	now     time.Time
	vms     []string
	// has holds the VMs that have the version.
	has map[string]bool
	// share is the version's share of requests in the settings.
	share float64
}

const loadsAtOnce = 2

func (w *world) stepInput() *StepInput {
	return &StepInput{
		Now: w.now, VMs: map[string][]string{"p": w.vms},
		HasVersion: func(vm, _ string) (bool, bool) { return w.has[vm], true },
		GiveUpAt:   func(now time.Time) time.Time { return now.Add(time.Minute) },
	}
}

// write stores a board that was read at a revision. It returns false if another process has
// written since.
func (w *world) write(b *Board, read int) bool {
	if read != len(w.written)-1 {
		return false
	}
	body, err := json.Marshal(b)
	if err != nil {
		w.t.Fatal(err)
	}
	w.written = append(w.written, body)
	return true
}

// process takes a step from the board of revision read, which may be stale. interrupt is the
// number of its actions, 0 to 3, after which it stops: store the step, send the orders and
// change the settings, record the change.
func (w *world) process(read, interrupt int) {
	var b Board
	if err := json.Unmarshal(w.written[read], &b); err != nil {
		w.t.Fatal(err)
	}
	before := b.Rollouts[0]
	before.Targets = append([]Target(nil), before.Targets...)
	plan := b.Step(w.stepInput())
	w.check(&before, &b.Rollouts[0])
	if interrupt == 0 {
		return
	}
	if plan.Changed {
		if !w.write(&b, read) {
			return
		}
		read++
	}
	if interrupt == 1 {
		return
	}
	for _, o := range plan.Orders {
		if read == len(w.written)-1 { // Otherwise the guard refuses the old fencing token.
			w.has[o.VM] = true
		}
	}
	c, ok := b.Rollouts[0].PendingChange()
	if !ok {
		return
	}
	w.share = max(w.share, c.Share)
	if interrupt > 2 && b.MarkAccepted(c.ID, w.now) {
		w.write(&b, read)
	}
}

func (w *world) check(before, after *Rollout) {
	if after.Wave < before.Wave || after.Wave > before.Wave+1 {
		w.t.Fatalf("wave went from %d to %d", before.Wave, after.Wave)
	}
	if after.Wave > before.Wave {
		for _, t := range after.Targets {
			if t.State != Loaded {
				w.t.Fatalf("wave %d began while %s is %s", after.Wave, t.VM, t.State)
			}
		}
	}
	if n := after.loading(); n > loadsAtOnce {
		w.t.Fatalf("got %d loads at once", n)
	}
}

// TestInterrupted runs a roll-out in processes with stale boards that are interrupted at any
// point, while VMs lose the version. The roll-out must go wave by wave, exceed the limit of
// concurrent loads at no time, and end.
func TestInterrupted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: begin, has: make(map[string]bool)}
		for i := range rapid.IntRange(1, 6).Draw(t, "vms") {
			w.vms = append(w.vms, fmt.Sprint("vm", i))
		}
		b := Board{LoadsAtOnce: loadsAtOnce}
		if err := b.Start(Rollout{Model: "m", Version: "2", Pool: "p", Waves: []float64{0.1, 1}, HoldSeconds: 5, ID: "c"}); err != nil {
			t.Fatal(err)
		}
		w.write(&b, -1)
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pass")) * time.Second)
			if rapid.IntRange(0, 9).Draw(t, "replaced") == 0 {
				delete(w.has, w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")])
			}
			w.process(rapid.IntRange(max(0, len(w.written)-3), len(w.written)-1).Draw(t, "read"), rapid.IntRange(0, 3).Draw(t, "interrupted"))
		}
		for range 40 {
			w.now = w.now.Add(10 * time.Second)
			w.process(len(w.written)-1, 3)
		}
		if err := json.Unmarshal(w.written[len(w.written)-1], &b); err != nil {
			t.Fatal(err)
		}
		if got := b.Rollouts[0].State; got != Done || w.share != 1 {
			t.Errorf("got %s with share %v, want done with 1: %+v", got, w.share, b.Rollouts[0])
		}
	})
}

func TestStartAndSetState(t *testing.T) {
	var b Board
	r := Rollout{Model: "m", Version: "2", Waves: []float64{0.5, 1}}
	steps := []struct {
		name string
		got  error
		want error
	}{
		{"waves that do not grow", b.Start(Rollout{Waves: []float64{0.5, 0.5, 1}}), ErrWaves},
		{"waves that do not reach 1", b.Start(Rollout{Waves: []float64{0.5}}), ErrWaves},
		{"start", b.Start(r), nil},
		{"start again", b.Start(r), ErrExists},
		{"pause", b.SetState("m@2", Paused), nil},
		{"resume", b.SetState("m@2", Running), nil},
		{"unknown", b.SetState("m@3", Paused), ErrUnknown},
		{"abort", b.SetState("m@2", Aborting), nil},
		{"resume after abort", b.SetState("m@2", Running), ErrEnded},
	}
	for _, s := range steps {
		if s.got != s.want {
			t.Errorf("%s: got %v, want %v", s.name, s.got, s.want)
		}
	}
	c, ok := b.Rollouts[0].PendingChange()
	if !ok || !c.Withdraw {
		t.Errorf("after abort: got %+v %v, want a withdrawal", c, ok)
	}
	if !b.MarkAccepted(c.ID, begin) || b.MarkAccepted(c.ID, begin) || b.Rollouts[0].State != Aborted {
		t.Errorf("after the withdrawal: got state %s, want aborted, once", b.Rollouts[0].State)
	}
}
