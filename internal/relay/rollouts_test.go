// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/roll"
)

// A step that another router wrote makes this one draw the time of the next anew, so
// that not all routers write at once.
func TestWriteOfEachStepIsSpread(t *testing.T) {
	e := engine(Route{Kind: Safe}, nil)
	e.RouterCount = func() int { return 25 }
	now := time.Now()
	e.Now = func() time.Time { return now }
	trial := roll.Trial{Service: "s", Version: "v2", State: roll.Trying, Begun: now.Add(-11 * time.Second), Ends: now.Add(9 * time.Second), Revision: 1}
	e.PutTrial(trial)
	e.nextSteps(now)
	if e.rollouts["s"].notBefore.IsZero() {
		t.Fatal("a step is due: got no time for its write, want one")
	}
	trial.Step, trial.Revision = 1, 2
	e.PutTrial(trial)
	if got := e.rollouts["s"].notBefore; !got.IsZero() {
		t.Errorf("another router wrote the step: got the time %v for the next one, want it drawn anew", got)
	}
}

// A burst near the end of a trial lets the last step wait: the rest of the trial's requests
// would be more than a version which may be bad may get, though the steps' times are kept.
// Load: 100 requests a second over 24 s, 2.5 times as many from 18 s on; the version is bad
// under a load that it does not get before, so that nothing speaks against it.
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
		e.RemoveTrial("s", 99)
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

// A version that turns bad once it is proven is found bad: the operator is warned, and requests
// go on to it, as no other version is left.
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
		t.Error("half of the answers fail: got no verdict, want bad")
	}
	if f := e.fit("s", 0.5); f.version == nil || !f.version("v2") {
		t.Error("the only version that is left is not used")
	}
}
