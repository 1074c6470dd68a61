// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"testing"
	"time"

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
