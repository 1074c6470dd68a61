// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/roll"
)

// A step that another router wrote makes this one draw the time of the next anew, so
// that not all routers write at once.
func TestEachStepIsSpreadAnew(t *testing.T) {
	e := engine(Route{Kind: Safe}, nil)
	e.Routers = func() int { return 25 }
	now := time.Now()
	e.Now = func() time.Time { return now }
	trial := roll.Trial{Service: "s", Version: "v2", State: roll.Trying, Begun: now.Add(-11 * time.Second), Ends: now.Add(9 * time.Second), Revision: 1}
	e.TakeTrial(trial)
	e.nextSteps(now)
	if e.rolls["s"].notBefore.IsZero() {
		t.Fatal("a step is due: got no time for its write, want one")
	}
	trial.Step, trial.Revision = 1, 2
	e.TakeTrial(trial)
	if got := e.rolls["s"].notBefore; !got.IsZero() {
		t.Errorf("another router wrote the step: got the time %v for the next one, want it drawn anew", got)
	}
}
