// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package acct

import (
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
)

const (
	// maxSamples is the maximum number of values that are kept for a quantile; see maxHeadTimes.
	maxSamples = maxHeadTimes
	// maxContentionRequests is the maximum number of requests that are kept for the table of classes. At
	// 32 bytes each they take 32 MB, about as much as the attempts of headWaits.
	maxContentionRequests = 1 << 20
)

// contention holds what the tables on admission control, workspace classes, ends of answers and silent endpoints need.
type contention struct {
	// holds is by route.
	holds    map[string]*hold
	refusals map[refusalKey]*refusal
	requests []contentionRequest
	// workspaces and routes hold the names in requests. contended holds the indexes of the routes with a
	// request that met a price.
	workspaces, routes stringTable
	contended          map[int32]bool
	ends               map[headTimeKey]*endErrors
	moves              map[moveKey]*move
	silences           map[silenceKey]*silence
}

func newContention() contention {
	return contention{
		holds: make(map[string]*hold), refusals: make(map[refusalKey]*refusal), contended: make(map[int32]bool), ends: make(map[headTimeKey]*endErrors),
		moves: make(map[moveKey]*move), silences: make(map[silenceKey]*silence),
	}
}

// samples holds the first maxSamples of n values, in milliseconds or without a unit.
type samples struct {
	n    int
	kept []float64
}

func (s *samples) add(v float64) {
	s.n++
	if len(s.kept) < maxSamples {
		s.kept = append(s.kept, v)
	}
}

// quantile returns a quantile of the values that were kept; NaN if there are none.
func (s *samples) quantile(q float64) float64 {
	if len(s.kept) == 0 {
		return math.NaN()
	}
	return stat.Quantile(q, stat.Empirical, slices.Sorted(slices.Values(s.kept)), nil)
}

// hold holds sums over the requests of a route that waited for a place, and how long they did.
type hold struct {
	requests, inTime, late, failed int
	heldMs, ageMs                  samples
}

// refusalKey groups requests that admission control refused.
type refusalKey struct{ route, cause, outcome string }

// refusal holds how long refused requests had been held, and the age of what decided.
type refusal struct {
	requests      int
	heldMs, ageMs samples
}

// contentionRequest is a request that counts in the table of classes.
type contentionRequest struct {
	// workspace and route are indexes in contention.workspaces and contention.routes.
	workspace, route int32
	price            float32
	// unaskedCost is the largest price cost of a larger model that was not asked; 0 for none.
	unaskedCost float32
	result      result
}

// endErrors compares predicted and actual times of the last event of a route and model.
type endErrors struct {
	// predicted is the number of attempts with a prediction, ended that of complete answers among them,
	// and known that of the answers which show whether the interval held: those, and the ones that were
	// cut off beyond it.
	predicted, ended, known, inside int
	// relative holds |predicted - actual| / actual of the complete answers.
	relative samples
}

// moveKey groups requests whose stream was moved by the outcome of the request.
type moveKey struct{ route, outcome string }

// move holds the pauses between the last event before a move and the first one after it.
type move struct {
	requests, inTime int
	pauseMs          samples
}

// silenceKey groups attempts that were ended as silent.
type silenceKey struct {
	route string
	// joint says that the streams of several routers showed the silence, inStream that events had been
	// passed on before.
	joint, inStream bool
}

// silence holds sums over attempts: how many, how long they had run without the answer's head or from the
// last event until the next attempt's head, and how their requests ended.
type silence struct {
	attempts, whole, inTime int
	pauseMs                 samples
}

// addContention adds a request with a result and its attempts to the tables on contention.
func (a *Account) addContention(attempts []line, end *line, r result) {
	c := &a.contention
	c.addHold(end, r)
	a.addContentionRequest(attempts, end, r)
	for i := range attempts {
		t := &attempts[i]
		c.addEnd(end.Route, t)
		if t.Outcome == outcomeMoved {
			c.addMove(attempts, i, end, r)
		}
		if t.Outcome == outcomeSilent {
			c.addSilence(attempts, i, end, r)
		}
	}
}

// addHold adds a request that waited for a place or was refused.
func (c *contention) addHold(end *line, r result) {
	if end.HeldMs != nil {
		h := getOrNew(c.holds, end.Route)
		h.requests++
		switch r {
		case inTime:
			h.inTime++
		case late:
			h.late++
		default:
			h.failed++
		}
		h.heldMs.add(float64(*end.HeldMs))
		if end.RoomAgeMs != nil {
			h.ageMs.add(float64(*end.RoomAgeMs))
		}
	}
	if end.RoomCause == "" || r != failed {
		return
	}
	f := getOrNew(c.refusals, refusalKey{end.Route, end.RoomCause, end.Outcome})
	f.requests++
	f.heldMs.add(float64(end.held()))
	if end.RoomAgeMs != nil {
		f.ageMs.add(float64(*end.RoomAgeMs))
	}
}

// addContentionRequest adds a request to those that count in the table of classes.
func (a *Account) addContentionRequest(attempts []line, end *line, r result) {
	c := &a.contention
	p := contentionRequest{workspace: c.workspaces.index(end.Workspace), route: c.routes.index(end.Route), price: float32(end.Price), result: r}
	for i := range attempts {
		if t := &attempts[i]; t.Outcome != outcomeDropped {
			p.unaskedCost = max(p.unaskedCost, float32(t.PriceCost))
		}
	}
	if p.price > 0 {
		c.contended[p.route] = true
	}
	if len(c.requests) >= maxContentionRequests {
		a.OmittedRequests++
		return
	}
	c.requests = append(c.requests, p)
}

// addEnd adds an attempt with a prediction of its end.
func (c *contention) addEnd(route string, t *line) {
	if t.EndHighMs <= 0 {
		return
	}
	e := getOrNew(c.ends, headTimeKey{route, t.Model})
	e.predicted++
	switch {
	case t.TookMs <= 0:
	case t.Outcome == outcomeDelivered:
		e.ended++
		e.known++
		e.relative.add(math.Abs(float64(t.EndMs-t.TookMs)) / float64(t.TookMs))
		if t.EndLowMs <= t.TookMs && t.TookMs <= t.EndHighMs {
			e.inside++
		}
	case t.wasCut() && t.TookMs > t.EndHighMs:
		e.known++
	}
}

// wasCut reports whether an attempt was ended as the caller left or its deadline passed, so that its answer
// would have ended later.
func (l *line) wasCut() bool {
	return l.Outcome == outcomeLeft || strings.HasPrefix(l.Error, "deadlinePassed ") || strings.HasPrefix(l.Error, "callerGone ")
}

// addMove adds a request whose attempt i was ended as its stream was moved.
func (c *contention) addMove(attempts []line, i int, end *line, r result) {
	m := getOrNew(c.moves, moveKey{end.Route, end.Outcome})
	m.requests++
	if r == inTime {
		m.inTime++
	}
	if pause, ok := pauseAfter(attempts, i); ok {
		m.pauseMs.add(float64(pause))
	}
}

// addSilence adds attempt i of a request, which was ended as silent.
func (c *contention) addSilence(attempts []line, i int, end *line, r result) {
	t := &attempts[i]
	s := getOrNew(c.silences, silenceKey{end.Route, t.Joint, t.passedEvents()})
	s.attempts++
	if r != failed {
		s.whole++
	}
	if r == inTime {
		s.inTime++
	}
	if !t.passedEvents() {
		s.pauseMs.add(float64(t.HeadMs))
	} else if pause, ok := pauseAfter(attempts, i); ok {
		s.pauseMs.add(float64(pause))
	}
}
