// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func TestPace(t *testing.T) {
	const later = paceTTL + time.Millisecond
	for _, c := range []struct {
		name      string
		reported  []float64
		now, then float64
	}{
		{"no report", nil, 1, 1},
		{"one report", []float64{1.2}, 1.2, 1.2},
		{"slow for a moment", []float64{1.2, 1.2, 3}, 3, 1.2},
		{"slow at first", []float64{3, 1.2}, 1.2, 1.2},
		{"has become slow", []float64{0.5, 0.5, 2, 2, 2, 2}, 2, 2},
		{"invalid reports", []float64{1.2, 0, -4}, 1.2, 1.2},
		{"beyond the bounds", []float64{1e9}, maxPace, maxPace},
	} {
		var p Pace
		for _, v := range c.reported {
			p.RecordReport(t0, v)
		}
		if got := p.Factor(t0); got != c.now {
			t.Errorf("%s: right after the report: got %v, want %v", c.name, got, c.now)
		}
		if got := p.Factor(t0.Add(later)); got != c.then {
			t.Errorf("%s: after paceTTL: got %v, want %v", c.name, got, c.then)
		}
	}
}

// unevenLoad sends prompts that take 0.2 s of usual work to endpoints that read one at a time: a quarter have
// a pace of 0.55, the others one of 1.2. It returns the percentage of heads that come after more than 1.5 s.
// With reports, endpoints report their pace with each answer.
func unevenLoad(reports bool) (late float64) {
	const (
		endpoints, prompts = 12, 4000
		usual              = 0.2
		// offeredLoad is the offered load as a fraction of the capacity of all endpoints.
		offeredLoad = 0.9
	)
	rnd := rand.New(rand.NewPCG(7, 7))
	b, free, times := book(endpoints), make(map[string]time.Time), make(map[string]float64)
	bears := 0.0
	for i := range endpoints {
		id := fmt.Sprint("e", i)
		times[id] = 1.2
		if i%4 == 0 {
			times[id] = 0.55
		}
		bears += 1 / (usual * times[id])
	}
	now, n := t0, 0
	for k := range prompts {
		now = now.Add(time.Duration(rnd.ExpFloat64() / (offeredLoad * bears) * float64(time.Second)))
		w := wanted(fmt.Sprint("prefix-", k))
		w.FullRead, w.UnsharedRead, w.TimeLeft, w.Aim, w.Draw = usual, usual, 1.5, 1.5, rnd.Uint64()
		p, _ := b.Pick(now, w)
		took := time.Duration(usual * times[p.ID] * float64(time.Second))
		expected := time.Duration(usual * p.Pace.Factor(now) * float64(time.Second))
		p.Load.AddPrompt(now, expected)
		if free[p.ID].Before(now) {
			free[p.ID] = now
		}
		free[p.ID] = free[p.ID].Add(took)
		if free[p.ID].Sub(now) > 1500*time.Millisecond {
			n++
		}
		if reports {
			p.Pace.RecordReport(now, times[p.ID])
		}
	}
	return 100 * float64(n) / prompts
}

// Guards against overload of slow endpoints: some take more than twice as long as others for the same work and
// report it, at a load of 0.9 of their total capacity. Treated alike, the slow ones get more than their
// capacity and their callers wait.
func TestUnevenEndpointsGetLoadByPace(t *testing.T) {
	alike, byPace := unevenLoad(false), unevenLoad(true)
	t.Logf("late: %.1f %% treated alike, %.1f %% with reported pace", alike, byPace)
	if byPace > alike/4 || byPace > 5 {
		t.Errorf("late: got %.1f %%, want at most a quarter of %.1f %%, and at most 5 %%", byPace, alike)
	}
}
