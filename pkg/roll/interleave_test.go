// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import (
	"math/rand/v2"
	"testing"
	"time"
)

// storedTrial is the object that holds a trial. A write succeeds only at the revision that was
// read.
type storedTrial struct{ trial Trial }

func (s *storedTrial) put(t Trial) bool {
	if t.Revision != s.trial.Revision {
		return false
	}
	t.Revision++
	s.trial = t
	return true
}

// process is a router that takes steps of a trial. Its view may be stale.
type process struct {
	view   Trial
	stepAt time.Time
	// late is a write that is delayed in transit and applied later; nil for none.
	late *Trial
	// bad is when this process finds the version bad; zero for never.
	bad time.Time
}

func (p *process) read(s *storedTrial, now time.Time) {
	if s.trial.Step != p.view.Step {
		p.stepAt = now
	}
	p.view = s.trial
}

// step takes the next step if one is due. The write may be lost or delayed. The process does
// not learn whether it succeeded.
func (p *process) step(s *storedTrial, now time.Time, rnd *rand.Rand, v Verdict) {
	if !p.bad.IsZero() && !now.Before(p.bad) {
		v = Bad
	}
	next, changed := p.view.Next(now, Findings{Verdict: v, StepAt: p.stepAt})
	if !changed {
		return
	}
	switch rnd.IntN(5) {
	case 0: // The write is lost.
	case 1:
		p.late = &next
	default:
		s.put(next)
	}
}

// TestInterleavedSteps lets processes with stale views take steps in random order, with lost
// and delayed writes and restarts. In any order a trial ends once, its step grows by one at a
// time, and a version that no process found good is never proven.
func TestInterleavedSteps(t *testing.T) {
	const whole = 20 * time.Second
	for seed := range uint64(3000) {
		rnd := rand.New(rand.NewPCG(seed, 4))
		t0 := time.Unix(0, 0)
		s := &storedTrial{Trial{State: Ordered, Begun: t0, Ends: t0.Add(whole), Revision: 1}}
		good := rnd.IntN(2) == 0
		ps := make([]process, 1+rnd.IntN(4))
		for i := range ps {
			ps[i].read(s, t0)
			if !good && rnd.IntN(2) == 0 {
				ps[i].bad = t0.Add(time.Duration(rnd.Int64N(int64(whole))))
			}
		}
		last := s.trial
		for now := t0; now.Before(t0.Add(whole + 4*time.Second)); now = now.Add(50 * time.Millisecond) {
			p := &ps[rnd.IntN(len(ps))]
			verdict := []Verdict{Unknown, Doubtful, Fair}[rnd.IntN(3)]
			if good {
				verdict = []Verdict{Fair, Good}[rnd.IntN(2)]
			}
			switch rnd.IntN(8) {
			case 0: // A restart loses the process's state; it reads the store when it starts.
				*p = process{bad: p.bad}
				p.read(s, now)
			case 1:
				if p.late != nil {
					s.put(*p.late)
					p.late = nil
				}
			case 2, 3, 4:
				p.read(s, now)
			default:
				p.step(s, now, rnd, verdict)
			}
			checkMove(t, seed, &last, &s.trial, good)
			last = s.trial
		}
	}
}

func checkMove(t *testing.T, seed uint64, was, is *Trial, good bool) {
	t.Helper()
	if is.Step < was.Step || is.Step > was.Step+1 {
		t.Fatalf("seed %d: step: got %d after %d, want the same or the next", seed, is.Step, was.Step)
	}
	if (was.State == Proven || was.State == Rejected) && *was != *is {
		t.Fatalf("seed %d: got %s after %s, want no change", seed, is.State, was.State)
	}
	if is.State == Proven && (!good || is.Step < len(steps)) {
		t.Fatalf("seed %d: proven at step %d, good %v; want only good versions at step %d proven", seed, is.Step, good, len(steps))
	}
}
