// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import (
	"math/rand/v2"
	"testing"
)

// peakScenario holds the shares of bad answers of the old and the new version in the peak phase of a trial,
// and the number of the new version's answers and of the endpoints that give them.
type peakScenario struct {
	oldBad, newBad     float64
	answers, endpoints int
}

// runPeak plays the peak phase of a trial over routers, which exchange reports three times in it, and reports
// whether any of them doubts the version afterwards. As at a router, good answers in the peak phase count for
// their route as well. Four aspects are compared, so that each needs a row of its own in the reports.
func runPeak(seed uint64, c peakScenario, routers int) (doubted bool) {
	const (
		answersBefore = 300
		oldPerNew     = 6
	)
	peak, others := AspectOf(4), []uint32{AspectOf(1), AspectOf(2), AspectOf(3)}
	rnd := rand.New(rand.NewPCG(seed, 62))
	js := make([]Judge, routers)
	for i := range js {
		js[i].Endpoints, js[i].PeakAspect = 20, peak
	}
	router := func() *Judge { return &js[rnd.IntN(routers)] }
	drawBad := func(share float64) bool { return rnd.Float64() < share }
	for n := range answersBefore {
		j := router()
		j.Add(Answer{Route: RouteOf(1), Bad: drawBad(c.oldBad)})
		for _, a := range others {
			j.Add(Answer{Route: a})
		}
		if n%oldPerNew == 0 {
			j.Add(Answer{Route: RouteOf(1), New: true, Endpoint: uint32(rnd.IntN(20)), Loaded: true, Bad: drawBad(c.oldBad)})
		}
	}
	for n := range c.answers {
		for range oldPerNew {
			j, bad := router(), drawBad(c.oldBad)
			j.Add(Answer{Route: RouteOf(1), Bad: bad})
			j.Add(Answer{Route: peak, Bad: bad})
		}
		j, endpoint, bad := router(), uint32(rnd.IntN(c.endpoints)), drawBad(c.newBad)
		j.Add(Answer{Route: peak, New: true, Endpoint: endpoint, Bad: bad})
		if !bad {
			j.Add(Answer{Route: RouteOf(1), New: true, Endpoint: endpoint, Loaded: true})
		}
		if (n+1)%(c.answers/3) == 0 {
			exchangeReports(js)
		}
	}
	exchangeReports(js)
	for i := range js {
		doubted = doubted || js[i].Verdict() == Doubtful || js[i].Verdict() == Bad
	}
	return doubted
}

// exchangeReports merges the report of each judge into the others.
func exchangeReports(js []Judge) {
	for i := range js {
		local := js[i].LocalReport()
		r := local.Copy()
		r.Reporter = uint64(i + 1)
		for k := range js {
			if k != i {
				js[k].Merge(r)
			}
		}
	}
}

// TestFailuresInPeak checks how often a version is doubted for its failures in the peak phase. Guards against
// the discount for a single failing endpoint where one endpoint gives all answers, which takes away its bad
// answers and not its good ones: one router doubted none of the bad versions here with one endpoint, and three
// doubted 1 of 100 that failed a fifth of 200 answers. Guards also against counts of one aspect that are spread
// over two rows, with which one of three routers doubted a fifth of the versions that were as good as the old one.
func TestFailuresInPeak(t *testing.T) {
	const trials = 200
	for _, c := range []struct {
		name string
		peakScenario
		// minPct and maxPct are the bounds of the doubted trials, in percent. A good version is to be
		// completed in 11 of 12 trials.
		minPct, maxPct int
	}{
		{"good", peakScenario{0, 0, 50, 1}, 0, 0},
		{"goodAtOneInAHundred", peakScenario{0.01, 0.01, 50, 1}, 0, 8},
		{"asBadAsTheOldOne", peakScenario{0.06, 0.06, 50, 1}, 0, 8},
		{"asBadAsABadOldOne", peakScenario{0.14, 0.14, 50, 1}, 0, 8},
		{"asBadAsABadOldOneAtThree", peakScenario{0.14, 0.14, 50, 3}, 0, 8},
		{"aTenth", peakScenario{0, 0.1, 50, 1}, 80, 100},
		{"aTenthOf100", peakScenario{0, 0.1, 100, 1}, 90, 100},
		{"aFifth", peakScenario{0, 0.2, 50, 1}, 95, 100},
		{"aFifthAtThree", peakScenario{0, 0.2, 50, 3}, 95, 100},
		{"aFifthOf200", peakScenario{0, 0.2, 200, 1}, 95, 100},
		{"aThirdOf200", peakScenario{0, 0.33, 200, 1}, 95, 100},
	} {
		for _, routers := range []int{1, 3} {
			doubted := 0
			for seed := range uint64(trials) {
				if runPeak(seed, c.peakScenario, routers) {
					doubted++
				}
			}
			if got := 100 * doubted / trials; got < c.minPct || got > c.maxPct {
				t.Errorf("%s, %d routers: doubted: got %d %%, want %d to %d", c.name, routers, got, c.minPct, c.maxPct)
			}
		}
	}
}
