// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package budget

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestWindow(t *testing.T) {
	var w Window
	w.SetLimits(10*time.Second, 0.5, 2)
	now := time.Unix(1000, 0)
	for range 4 {
		w.AddRequest(now)
	}
	if got, want := w.Remaining(now), 4.0; got != want {
		t.Fatalf("remaining: got %v, want %v", got, want)
	}
	for i := range 4 {
		if !w.Take(now, 0) {
			t.Fatalf("Take %d: got false, want true", i)
		}
	}
	if w.Take(now, 0) {
		t.Error("Take beyond the budget: got true, want false")
	}
	w.Refund(now)
	if w.Take(now, 1) {
		t.Error("Take from the reserve: got true, want false")
	}
	if got, want := w.Remaining(now.Add(11*time.Second)), 2.0; got != want {
		t.Errorf("remaining after the window: got %v, want %v", got, want)
	}
}

// TestWindowNeverOver checks that no span of the window's length holds more extra attempts
// than the slack and the requests of the span and of one more bucket before it allow.
func TestWindowNeverOver(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	var w Window
	w.SetLimits(10*time.Second, 0.5, 3)
	now := time.Unix(0, 0)
	var took, asked []time.Time
	for range 4000 {
		now = now.Add(time.Duration(rnd.IntN(60)) * time.Millisecond)
		if rnd.IntN(3) > 0 {
			w.AddRequest(now)
			asked = append(asked, now)
		} else if w.Take(now, 0) {
			took = append(took, now)
		}
	}
	within := func(ts []time.Time, from, to time.Time) (n int) {
		for _, x := range ts {
			if !x.Before(from) && !x.After(to) {
				n++
			}
		}
		return n
	}
	for _, end := range took {
		from := end.Add(-10 * time.Second)
		got := float64(within(took, from, end))
		if most := 0.5*float64(within(asked, from.Add(-w.BucketLength), end)) + 3; got > most {
			t.Fatalf("extra attempts until %v: got %v, want at most %v", end, got, most)
		}
	}
}
