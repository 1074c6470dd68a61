// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package finish

import (
	"math"
	"time"
)

var (
	// runsRidge: the time of a step does not fall with the number of runs. A variance of 1 is that of
	// endpoints with the same number of runs.
	runsRidge = ridge{weight: 1, low: 0, high: math.Inf(1), minSD: 4}
	// backlogRidge: reading prompts does not make steps shorter. Backlogs that differ by a tenth of a
	// second are alike. A second of backlog makes the mean time up to e² times as long: the factors of
	// ten that were measured came with some seconds.
	backlogRidge = ridge{weight: 0.01, low: 0, high: 2, minSD: 0.5}
)

const (
	// minBaseFraction is the smallest part of the mean shortest time that any number of runs leaves.
	minBaseFraction = 0.1
	// minGap and maxGap bound times between events, in seconds: a step takes 1 ms at least, and callers
	// leave after some seconds.
	minGap, maxGap = 0.001, 20
	// minPace and maxPace bound the pace. Endpoints are between half and five times the usual time.
	minPace, maxPace = 0.01, 100
	// recentTime is the time in seconds in which what a stream showed loses half of its weight: endpoints read
	// a burst of prompts for a second or two.
	recentTime = 1.5
	// priorValues is how many recent values weigh as much as the estimate from pace, runs and backlog.
	// A value spans a quarter of a second, of which the reading of one prompt may take all. At engines that read
	// bursts of prompts (TestEngines), 4 gives errors 0.02 smaller than 1, but shows a slow endpoint later.
	priorValues = 2.0
)

// Gaps learns the time between events of the streams at the endpoints of one service. It does not depend
// on the model.
type Gaps struct {
	// base is the regression of the shortest times, divided by the endpoint's pace, on the number of runs.
	base line
	// slow is the regression of the logarithm of the mean time, divided by base and pace, on the backlog.
	slow line
}

// Load is the load of an endpoint: its runs that generate, its reported pace as a multiple of the usual time
// (over 0), and the time in seconds for which it still reads prompts.
type Load struct {
	Runs          int
	Pace, Backlog float64
}

// pace returns the pace, within bounds; 1 if it is not a positive number.
func (l *Load) pace() float64 {
	if !(l.Pace > 0) {
		return 1
	}
	return min(max(l.Pace, minPace), maxPace)
}

// Known reports whether Log may be called.
func (g *Gaps) Known() bool { return g != nil && g.base.n >= minValues && g.slow.n >= minValues }

func (g *Gaps) baseKnown() bool { return g != nil && g.base.n >= minValues }

// AddShortest adds the shortest time between the events of a stream, in seconds.
func (g *Gaps) AddShortest(l Load, gap float64) {
	if gap >= minGap && gap <= maxGap {
		g.base.add(float64(max(l.Runs, 0)), gap/l.pace(), &runsRidge)
	}
}

// shortest returns the shortest time between events at an endpoint of pace 1, in seconds.
func (g *Gaps) shortest(runs int) float64 {
	return max(g.base.at(float64(max(runs, 0))), g.base.my*minBaseFraction, minGap)
}

// slowdown returns the logarithm of the factor by which a backlog makes the mean time longer than the shortest.
func (g *Gaps) slowdown(backlog float64) float64 { return g.slow.at(max(backlog, 0)) }

// AddMean adds the mean time between the events of a stream, in seconds; l is the load as the endpoint was
// chosen.
func (g *Gaps) AddMean(l Load, gap float64) {
	if g.baseKnown() && gap >= minGap && gap <= maxGap {
		g.slow.add(max(l.Backlog, 0), math.Log(gap/(l.pace()*g.shortest(l.Runs))), &backlogRidge)
	}
}

// Log returns the logarithm of the expected mean time between events at an endpoint. r is what its streams
// showed; nil for nothing. Known must be true.
func (g *Gaps) Log(l Load, r *Recent, now time.Time) float64 {
	pace := l.pace()
	expected := math.Log(g.shortest(l.Runs)*pace) + g.slowdown(l.Backlog)
	if r == nil || r.weight <= 0 {
		return expected
	}
	logPace, w := math.Log(pace), r.weightAt(now)
	return expected + w/(w+priorValues)*(r.shifted(logPace)-logPace)
}

// weightAt returns the weight at now, which halves within about recentTime. It falls with the square of the
// time, which is computed faster than an exponential function.
func (r *Recent) weightAt(now time.Time) float64 {
	d := 1 + 0.4*max(now.Sub(r.at).Seconds(), 0)/recentTime
	return r.weight / (d * d)
}

// shifted returns the logarithm of the factor at a reported pace, given its logarithm. A change of the report
// applies to it, but not beyond what is reported: streams may have shown the change before.
func (r *Recent) shifted(logPace float64) float64 {
	switch change := logPace - r.logPace; {
	case change > 0 && r.log < logPace:
		return min(r.log+change, logPace)
	case change < 0 && r.log > logPace:
		return max(r.log+change, logPace)
	default:
		return r.log
	}
}

// Recent holds how many times as long as usual for runs and backlog the times between events at one endpoint
// were lately, including its pace.
type Recent struct {
	// log is the logarithm of the factor, logPace that of the reported pace, and weight the number of values
	// that they stand for at the time at.
	log, logPace, weight float64
	at                   time.Time
}

// Add adds the mean time between events of a part of a stream that ended at now, in seconds; l is the load
// at that time.
func (r *Recent) Add(g *Gaps, l Load, gap float64, now time.Time) {
	if !g.baseKnown() || !(gap > 0) {
		return
	}
	r.weight = r.weightAt(now) + 1
	r.log += (math.Log(min(max(gap, minGap), maxGap)/g.shortest(l.Runs)) - g.slowdown(l.Backlog) - r.log) / r.weight
	r.logPace += (math.Log(l.pace()) - r.logPace) / r.weight
	r.at = now
}
