// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A count grows by 300 a second, and 32 routers report it, each every 1.5 s at its own phase. The
// estimate must never be much lower, and must show a burst of 2.5 times that rate within 4 s.
func TestReportedRate(t *testing.T) {
	const routers, every = 32, 1500 * time.Millisecond
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 9))
		begun := time.Unix(0, 0)
		var phase [routers]time.Duration
		for i := range phase {
			phase[i] = time.Duration(rnd.Int64N(int64(every)))
		}
		// counted is the total of all routers at a time, reported the sum of their last reports.
		counted := func(at time.Duration) float64 {
			return 300*at.Seconds() + 450*max(at.Seconds()-10, 0)
		}
		reported := func(at time.Duration) (n float64) {
			for _, p := range phase {
				if at >= p {
					n += counted(at-(at-p)%every) / routers
				}
			}
			return n
		}
		var f reportedRate
		for at := time.Duration(0); at < 15*time.Second; at += 100 * time.Millisecond {
			f.add(begun.Add(at), int(reported(at)))
			if at > 5*time.Second && f.perSecond < 280 {
				t.Fatalf("seed %d, at %v: got %.0f a second, want 280 at least", seed, at, f.perSecond)
			}
			if at > 14*time.Second && f.perSecond < 650 {
				t.Fatalf("seed %d, at %v, 4 s into a burst: got %.0f a second, want 650 at least", seed, at, f.perSecond)
			}
		}
	}
}
