// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"slices"
	"strconv"
	"time"

	"github.com/traildrift/traildrift/pkg/finish"
	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/sizes"
)

// endStats is what the engine has learned about when answers end. The engine's mu guards it.
type endStats struct {
	// routes holds the lengths of answers and the errors of estimates, by route; gaps the times between
	// events, by service.
	routes map[string]*routeEnds
	gaps   map[string]*finish.Gaps
	// recent holds what streams showed in the last seconds, by the endpoint's hash; at most maxRecent.
	recent map[uint64]*finish.Recent
}

// routeEnds is what is known about the answers of one route.
type routeEnds struct {
	lengths     finish.Lengths
	calibration finish.Calibration
}

func newEndStats() endStats {
	return endStats{make(map[string]*routeEnds), make(map[string]*finish.Gaps), make(map[uint64]*finish.Recent)}
}

const (
	// maxRecent is the maximum number of endpoints in endStats.recent: above the largest fleet. A full map is
	// cleared; it fills again within seconds.
	maxRecent = 4096
	// maxEarlierEvents bounds the number of events that an earlier request is believed to have got.
	maxEarlierEvents = 1 << 20
	// maxUnfinishedProb is the probability of not ending beyond which a larger model is not asked while gains
	// are unknown: it is then more likely to be worth nothing than to end.
	maxUnfinishedProb = 0.5
)

// runEnd is what a run expects of the end of its answer.
type runEnd struct {
	// rest is the estimate as of at, and gaps the times between events of the service; gaps is nil without data.
	rest finish.End
	gaps *finish.Gaps
	at   time.Time
	// left is the time until the deadline, in seconds.
	left float64
	// watch follows the stream of the present attempt; nil if nothing is learned from it.
	watch *endWatch
	// moved says that the stream was moved to another endpoint; it is never reset. movedFrom holds the
	// endpoint that it left, movedTo the hash of the one where it is to continue, until that was picked, and
	// movedWhy why that one was chosen.
	moved     bool
	movedFrom []string
	movedTo   []uint64
	movedWhy  pool.Reason
}

// prepareEnd updates x.end for a decision at now and reports whether there is data. The caller must hold the
// engine's mu.
func (x *run) prepareEnd(now time.Time) bool {
	x.end.gaps = nil
	if x.route.Kind != Stream || !x.e.enabled(EndEstimates, x.service) {
		return false
	}
	r, g := x.e.ends.routes[x.route.Name], x.e.ends.gaps[x.service]
	if r == nil || !g.Known() {
		return false
	}
	length, ok := r.lengths.Estimate(x.r.LengthHint)
	if !ok {
		return false
	}
	x.end.rest, x.end.gaps, x.end.at = finish.NewEnd(length, &r.calibration, x.eventsSent()), g, now
	end, _ := x.mustEndAt()
	x.end.left = end.Sub(now).Seconds()
	return true
}

// eventsSent returns the number of events that the caller has, including those of an earlier request if it
// numbers them.
func (x *run) eventsSent() int {
	n := 0
	if x.r.LastEvent != "" {
		n, _ = strconv.Atoi(x.r.LastEvent)
		n = min(max(n, 0), maxEarlierEvents)
	}
	return n + x.passed
}

// endLoad returns the load of an endpoint for the time between events there, if more runs are added to it.
func endLoad(p *pool.Endpoint, more int, now time.Time) finish.Load {
	runs := p.Load.Runs(now) + more
	if p.Slots > 0 {
		runs = min(runs, p.Slots)
	}
	return finish.Load{Runs: runs, Pace: p.Pace.Factor(now), Backlog: p.Load.Wait(now)}
}

// logGap returns the logarithm of the expected time between events at an endpoint that gets so many more runs.
// x.end must have data, and the caller must hold the engine's mu.
func (x *run) logGap(p *pool.Endpoint, more int) float64 {
	return x.end.gaps.Log(endLoad(p, more, x.end.at), x.e.ends.recent[p.Hash()], x.end.at)
}

// unfinishedProb returns the probability, 0 to 1, that an answer does not end at endpoint p before the
// deadline, if its head comes after head seconds. The model matters only by its time to the head. The
// probability is 0 without data. The caller must hold the engine's mu.
func (x *run) unfinishedProb(p *pool.Endpoint, head float64, now time.Time) float64 {
	if !x.prepareEnd(now) {
		return 0
	}
	return x.end.rest.UnfinishedProb(x.end.left-head, x.logGap(p, 1))
}

// presentUnfinishedProb returns unfinishedProb for the answer whose head has come last. The caller must hold
// the engine's mu.
func (x *run) presentUnfinishedProb(now time.Time) float64 {
	if len(x.tried) == 0 {
		return 0
	}
	p := x.e.book.Get(x.tried[len(x.tried)-1])
	if p == nil || !x.prepareEnd(now) {
		return 0
	}
	return x.end.rest.UnfinishedProb(x.end.left, x.logGap(p, 0))
}

// mayEnd reports whether an answer of a larger model is more likely to end in time than not.
func (h *headEstimate) mayEnd() bool { return h.unfinishedProb <= maxUnfinishedProb }

// countWouldNotEnd counts that a larger model than next would have been chosen from list if all answers ended in
// time.
func (x *run) countWouldNotEnd(list []sizes.Model, next int) {
	if !slices.ContainsFunc(list[1:], func(m sizes.Model) bool { return m.UnfinishedProb > 0 }) {
		return
	}
	list = slices.Clone(list)
	for i := range list {
		list[i].UnfinishedProb = 0
	}
	if larger, _, _ := sizes.Choose(list); larger > next {
		x.e.metrics.count("larger_models_not_asked", x.route.Name, "would_not_end")
	}
}
