// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/golden"
)

// TestTrialOverTime prints every change of a trial of a good version, and of one
// that is found bad after 14 of 20 seconds.
func TestTrialOverTime(t *testing.T) {
	var got bytes.Buffer
	t0 := time.Unix(0, 0)
	for _, badFrom := range []time.Duration{time.Hour, 14 * time.Second} {
		fmt.Fprintf(&got, "found bad after %v\n", badFrom)
		tr := Trial{State: Ordered, Begun: t0, Ends: t0.Add(20 * time.Second)}
		for at := time.Duration(0); at <= 20*time.Second; at += 100 * time.Millisecond {
			next, changed := tr.Next(t0.Add(at), at >= badFrom)
			if changed {
				fmt.Fprintf(&got, "  %6v  %-8s step %d  share %.2f\n", at, next.State, next.Step, next.Share())
			}
			tr = next
		}
	}
	golden.Check(t, "trial.golden", got.Bytes())
}

func TestTrialStepsAndEnds(t *testing.T) {
	t0 := time.Unix(0, 0)
	tr := Trial{State: Trying, Begun: t0, Ends: t0.Add(20 * time.Second)}
	shares := make(map[float64]bool)
	exposed := 0.0
	for now := t0; now.Before(tr.Ends); now = now.Add(50 * time.Millisecond) {
		next, changed := tr.Next(now, false)
		if changed && next.Share() < tr.Share() {
			t.Fatalf("share at %v: got %v, want at least %v", now.Sub(t0), next.Share(), tr.Share())
		}
		if now.Sub(t0) < 10*time.Second && next.Share() > 0 {
			t.Fatalf("share in the first half: got %v, want 0", next.Share())
		}
		if next.State == Trying {
			exposed += next.Share() * 0.05
		}
		tr = next
		shares[tr.Share()] = true
	}
	if tr.State != Proven {
		t.Errorf("state: got %s, want %s", tr.State, Proven)
	}
	if got := exposed / 20; got > 0.13 {
		t.Errorf("exposed share of the requests: got %.3f, want at most 0.13", got)
	}
	if len(shares) != 4 {
		t.Errorf("shares: got %v, want 4 different ones", shares)
	}
}

func TestTrialIsNotSkippedThrough(t *testing.T) {
	t0 := time.Unix(0, 0)
	tr := Trial{State: Trying, Begun: t0, Ends: t0.Add(20 * time.Second)}
	next, _ := tr.Next(t0.Add(19*time.Second), false)
	if next.Step != 1 || next.State != Trying {
		t.Errorf("after a long silence: got step %d and %s, want step 1 and %s", next.Step, next.State, Trying)
	}
}

func TestTrialRejectsAtOnce(t *testing.T) {
	t0 := time.Unix(0, 0)
	tr := Trial{State: Trying, Step: 2, Begun: t0, Ends: t0.Add(20 * time.Second)}
	next, changed := tr.Next(t0, true)
	if !changed || next.State != Rejected || next.Share() != 0 {
		t.Errorf("got %+v, want rejected with share 0", next)
	}
	if _, changed := next.Next(t0.Add(time.Hour), false); changed {
		t.Error("a rejected trial changed")
	}
}

// judged returns after how many answers of the new version it was found bad; 0
// for never.
func judged(seed uint64, oldBad, newBad float64, slow int) int {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var j Judge
	head := func() time.Duration { return time.Duration(200+rnd.IntN(200)) * time.Millisecond }
	for range 200 {
		j.Old("r", rnd.Float64() < oldBad, head())
	}
	for n := 1; n <= 150; n++ {
		j.Old("r", rnd.Float64() < oldBad, head())
		h := head()
		if slow > 1 && rnd.Float64() < newBad {
			h *= time.Duration(slow)
		}
		j.New("r", slow <= 1 && rnd.Float64() < newBad, h)
		if j.Bad() {
			return n
		}
	}
	return 0
}

func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name           string
		oldBad, newBad float64
		slow, most     int
		wantBad        bool
	}{
		{"errors", 0, 0.4, 1, 40, true},
		{"slow", 0, 0.5, 8, 40, true},
		{"good", 0.005, 0.005, 1, 0, false},
		{"as bad as the old one", 0.14, 0.14, 1, 0, false},
		{"worse than a bad old one", 0.14, 0.6, 1, 60, true},
	} {
		wrong := 0
		for seed := range uint64(100) {
			n := judged(seed, c.oldBad, c.newBad, c.slow)
			if (n > 0) != c.wantBad || c.wantBad && n > c.most {
				wrong++
			}
		}
		if wrong > 3 {
			t.Errorf("%s: got %d wrong verdicts of 100, want at most 3", c.name, wrong)
		}
	}
}
