// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/epoch"
	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/roll"
)

// After another router wrote a step, this one draws a new time for the next step, so that not all
// routers write at once.
func TestWriteOfEachStepIsSpread(t *testing.T) {
	e := engine(Route{Kind: Safe}, nil)
	e.RouterCount = func() int { return 25 }
	now := time.Now()
	e.Now = func() time.Time { return now }
	trial := roll.Trial{Service: "s", Version: "v2", State: roll.Trying, Begun: now.Add(-11 * time.Second), Ends: now.Add(9 * time.Second), Revision: 1}
	e.PutTrial(trial)
	e.nextSteps(now)
	if e.rollouts["s"].notBefore.IsZero() {
		t.Fatal("step due: got no time for its write, want one")
	}
	trial.Step, trial.Revision = 1, 2
	e.PutTrial(trial)
	if got := e.rollouts["s"].notBefore; !got.IsZero() {
		t.Errorf("after another router wrote the step: got %v for the next one, want no time until it is due", got)
	}
}

// Guards against a good version that is rejected by a router without evidence, as reports reach it late, while
// another router is about to write that the version is proven, and against a bad version, or one whose rejection the
// store has lost, that serves on meanwhile.
func TestRejectionWithoutEvidenceWaitsForProof(t *testing.T) {
	const window = time.Second // of 25 routers
	now := time.Now()
	for _, c := range []struct {
		name             string
		fraction         float64
		failures         int
		state            roll.TrialState
		lost             bool
		earliest, latest time.Duration
	}{
		{"no evidence", 1.2, 0, roll.Trying, false, window, 2 * window},
		{"bad", 0.7, 100, roll.Trying, false, 0, 0},
		{"bad at the end", 1.2, 100, roll.Trying, false, 0, 0},
		{"rejection that the store has lost", 1.2, 0, roll.Rejected, true, 0, 0},
	} {
		e := engine(Route{Kind: Safe}, nil)
		e.RouterCount, e.Now = func() int { return 25 }, func() time.Time { return now }
		begun := now.Add(-time.Duration(c.fraction * float64(20*time.Second)))
		e.PutTrial(roll.Trial{Service: "s", Version: "v2", State: c.state, Step: 2, Begun: begun, Ends: begun.Add(20 * time.Second), Revision: 1})
		r := e.rollouts["s"]
		r.lost = c.lost
		for i := range c.failures {
			r.judge.Add(roll.Answer{Route: 2, New: true, Endpoint: uint32(i % 5), Bad: true})
		}
		e.nextSteps(now)
		if got := r.notBefore.Sub(now); got < c.earliest || got > c.latest {
			t.Errorf("%s: got the rejection written after %v, want %v to %v", c.name, got, c.earliest, c.latest)
		}
	}
}

// Guards against a version that turns out bad while a router waits with a step and that is rejected only after
// that time.
func TestRejectionDoesNotWaitForAnEarlierStep(t *testing.T) {
	for _, fraction := range []float64{0.7, 1.2} {
		now := time.Now()
		e := engine(Route{Kind: Safe}, nil)
		e.RouterCount, e.Now = func() int { return 25 }, func() time.Time { return now }
		e.Draw = func() uint64 { return uint64(900 * time.Millisecond) }
		begun := now.Add(-time.Duration(fraction * float64(20*time.Second)))
		e.PutTrial(roll.Trial{Service: "s", Version: "v2", State: roll.Trying, Step: 1, Begun: begun, Ends: begun.Add(20 * time.Second), Revision: 1})
		r := e.rollouts["s"]
		e.nextSteps(now)
		if got := r.notBefore.Sub(now); got < 900*time.Millisecond {
			t.Fatalf("at %v of the trial: got the step written after %v, want 0.9 s or more", fraction, got)
		}
		now = now.Add(100 * time.Millisecond)
		for i := range 100 {
			r.judge.Add(roll.Answer{Route: 2, New: true, Endpoint: uint32(i % 5), Bad: true})
		}
		for range 3 {
			e.nextSteps(now)
			now = now.Add(100 * time.Millisecond)
		}
		if due := e.nextSteps(now); len(due) != 1 || due[0].State != roll.Rejected {
			t.Errorf("at %v of the trial: got %v due 0.3 s after the version was found bad, want its rejection", fraction, due)
		}
	}
}

// A burst near the end of a trial delays the last step: the version, which may be bad, would get more
// requests than allowed in the rest of the trial, though the steps are on time. The load is 100 requests
// a second over 24 s, and 2.5 times as many from 18 s on. The version is bad under a load that it
// does not get before the last step, so there is no evidence against it.
func TestBurstDelaysLastStep(t *testing.T) {
	for _, c := range []struct {
		name  string
		burst float64
		want  int
	}{{"even", 1, 3}, {"burst", 2.5, 2}} {
		e, _, old, latest := onTrial(2)
		begun := time.Now()
		now := begun
		e.Now = func() time.Time { return now }
		l := *e.limits.Load()
		l.ExposeShare, l.ExposeSlack = 0.15, 30
		e.SetLimits(l)
		e.RemoveTrial("s", 99, false)
		e.PutTrial(roll.Trial{Service: "s", Version: "v2", State: roll.Trying, Begun: begun, Ends: begun.Add(24 * time.Second), Revision: 100})
		r := e.rollouts["s"]
		answers := func(p pool.Entry, n int) {
			for range n {
				r.judge.AddRequest(r.isNew(&p))
				r.judge.Add(roll.Answer{Route: 2, Endpoint: uint32(n), New: r.isNew(&p), Loaded: true})
			}
		}
		for tick := range 229 {
			now = begun.Add(time.Duration(tick) * 100 * time.Millisecond)
			perTick := 10.0
			if now.Sub(begun) >= 18*time.Second {
				perTick *= c.burst
			}
			newOnes := int(perTick*r.trial.Share() + 0.5)
			answers(old[0], int(perTick)-newOnes)
			answers(latest[tick%len(latest)], newOnes)
			if next, changed := r.trial.Next(now, e.findings(r)); changed {
				r.trial, r.stepAt = next, now
			}
		}
		if got := r.trial.Step; got != c.want {
			t.Errorf("%s: step at 22.8 s: got %d, want %d", c.name, got, c.want)
		}
	}
}

// A version that turns bad after it is proven is found bad, which warns the operator. It still gets the
// requests, as no other version is left.
func TestProvenVersionIsStillJudged(t *testing.T) {
	e, route, _, latest := onTrial(2)
	now := time.Now()
	e.PutTrial(roll.Trial{Service: "s", Version: "v2", State: roll.Proven, Step: 3, Begun: now, Ends: now, Revision: 2})
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range 40 {
		e.addHeadEvidence(attemptAt(latest[i%len(latest)]), route, i%2 == 0, time.Millisecond)
	}
	if !e.rollouts["s"].judge.Bad() {
		t.Error("half of the answers fail: version not found bad")
	}
	if f := e.fit("s", 0.5); f.version == nil || !f.version("v2") {
		t.Error("proven version gets no requests")
	}
}

// What a router knows of a roll-out stays after the store came back from an older copy, until it is ordered again or the
// grace period is over, and its state is then written again.
//
// Guards against a roll-out that begins anew, so that sessions go back to the old version, and against one that no order
// stands for any more.
func TestTrialIsKeptWhenTheStoreGoesBack(t *testing.T) {
	known := roll.Trial{Service: "s", Version: "v3", State: roll.Trying, Step: 2, Revision: epoch.At(1, 40)}
	older := roll.Trial{Service: "s", Version: "v2", State: roll.Proven, Revision: epoch.At(2, 20)}
	again := roll.Trial{Service: "s", Version: "v3", State: roll.Ordered, Revision: epoch.At(2, 30)}
	next := roll.Trial{Service: "s", Version: "v4", State: roll.Ordered, Revision: epoch.At(2, 31)}
	for _, c := range []struct {
		name string
		// restore applies what the store came back with, and then what was written since.
		restore func(e *Engine)
		after   time.Duration
		// version and step are those in force, and lost says that they are to be written again.
		version string
		step    int
		lost    bool
	}{
		{"status lost", func(e *Engine) { e.PutRestoredTrial(again) }, 0, "v3", 2, true},
		{"order lost", func(e *Engine) { e.RemoveTrial("s", epoch.At(2, 20), true) }, time.Second, "v3", 2, false},
		{"order lost and given again", func(e *Engine) { e.RemoveTrial("s", epoch.At(2, 20), true); e.PutTrial(again) }, time.Hour, "v3", 2, true},
		{"order lost for good", func(e *Engine) { e.RemoveTrial("s", epoch.At(2, 20), true) }, time.Hour, "", 0, false},
		{"earlier order", func(e *Engine) { e.PutRestoredTrial(older) }, time.Second, "v3", 2, false},
		{"earlier order, then the known one again", func(e *Engine) { e.PutRestoredTrial(older); e.PutTrial(again) }, time.Hour, "v3", 2, true},
		{"earlier order for good", func(e *Engine) { e.PutRestoredTrial(older) }, time.Hour, "v2", 0, false},
		{"new order", func(e *Engine) { e.PutRestoredTrial(older); e.PutTrial(next) }, time.Second, "v4", 0, false},
	} {
		e := engine(Route{Kind: Safe}, nil)
		now := time.Unix(1_000_000, 0)
		e.Now = func() time.Time { return now }
		e.PutTrial(known)
		c.restore(e)
		now = now.Add(c.after)
		e.expire()
		got := rollout{}
		if r := e.rollouts["s"]; r != nil {
			got = *r
		}
		if got.trial.Version != c.version || got.trial.Step != c.step || got.lost != c.lost {
			t.Errorf("%s: got version %q, step %d, lost %v; want %q, %d, %v", c.name, got.trial.Version, got.trial.Step, got.lost, c.version, c.step, c.lost)
		}
	}
}
