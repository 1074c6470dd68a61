// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import "slices"

// Report holds what one process counted of a trial since it first knew the trial. Counts
// never decrease, so that of two reports of one process the later one contains the earlier
// one.
type Report struct {
	// Trial is a hash of the service and the version; the sender sets it.
	Trial uint64
	// Reporter identifies the process; it is new with each restart. The sender sets it.
	Reporter uint64
	// Requests is the number of requests sent to the service, Exposed the number of these
	// sent to the new version.
	Requests, Exposed uint32
	// Routes has at most MaxRoutes routes and MaxAspects aspects, Faults at most MaxFaults
	// entries.
	Routes []RouteCounts
	Faults []FaultCounts
}

// RouteCounts counts the answers of one route or aspect, except the bad ones of the new
// version, which FaultCounts counts.
type RouteCounts struct {
	// Route is as in an Answer.
	Route uint32
	// OldGood and OldBad count the old version's answers. NewGood and NewGoodLight count
	// the new version's good ones, under a load like the old version's and under a lighter
	// one.
	OldGood, OldBad, NewGood, NewGoodLight uint32
}

func (c *RouteCounts) follows(was *RouteCounts) bool {
	return c.OldGood >= was.OldGood && c.OldBad >= was.OldBad && c.NewGood >= was.NewGood && c.NewGoodLight >= was.NewGoodLight
}

// FaultCounts counts the bad answers of one endpoint of the new version on one route or
// aspect.
type FaultCounts struct {
	// Route and Endpoint are as in an Answer.
	Route, Endpoint uint32
	// Loaded counts the answers under a load like the old version's, Light those under a
	// lighter one.
	Loaded, Light uint32
}

func (f *FaultCounts) count(loaded bool) {
	if loaded {
		f.Loaded++
	} else {
		f.Light++
	}
}

// Bounds of a report. With 20 bytes for each row and 16 for each fault it fits into one
// datagram. A row is an entry of Report.Routes; the last one of the routes and of the
// aspects holds all those without a row of their own.
const (
	MaxRoutes  = 16
	MaxAspects = 5
	MaxRows    = MaxRoutes + MaxAspects
	MaxFaults  = 40
)

// otherRoutes is the ID of the row of all routes without a row of their own, otherAspects
// that of the aspects.
const (
	otherRoutes  = aspectBit - 1
	otherAspects = aspectBit | otherRoutes
)

// row returns the ID of the row in which a route or an aspect is counted: its own if it
// has one or there is room for one, else that of all others. Without room, counts are
// pooled rather than dropped.
func (r *Report) row(route uint32) uint32 {
	most, others := MaxRoutes, otherRoutes
	if isAspect(route) {
		most, others = MaxAspects, otherAspects
	}
	n := 0
	for i := range r.Routes {
		if r.Routes[i].Route == route {
			return route
		}
		if isAspect(r.Routes[i].Route) == isAspect(route) {
			n++
		}
	}
	if n < most-1 {
		return route
	}
	return others
}

// countsFor returns the counts of a row, which it adds if needed.
func (r *Report) countsFor(row uint32) *RouteCounts {
	for i := range r.Routes {
		if r.Routes[i].Route == row {
			return &r.Routes[i]
		}
	}
	r.Routes = append(r.Routes, RouteCounts{Route: row})
	return &r.Routes[len(r.Routes)-1]
}

// addFault counts a bad answer of the new version. Without room for another entry, it
// counts in the last one.
func (r *Report) addFault(route, endpoint uint32, loaded bool) {
	for i := range r.Faults {
		if f := &r.Faults[i]; f.Route == route && f.Endpoint == endpoint {
			f.count(loaded)
			return
		}
	}
	if len(r.Faults) < MaxFaults {
		r.Faults = append(r.Faults, FaultCounts{Route: route, Endpoint: endpoint})
	}
	r.Faults[len(r.Faults)-1].count(loaded)
}

// countsOf returns the counts of a row, and zeros if there is none.
func (r *Report) countsOf(route uint32) RouteCounts {
	if i := slices.IndexFunc(r.Routes, func(c RouteCounts) bool { return c.Route == route }); i >= 0 {
		return r.Routes[i]
	}
	return RouteCounts{Route: route}
}

// faultsOf returns the bad answers of an endpoint on a row, and zeros if there are none.
func (r *Report) faultsOf(route, endpoint uint32) FaultCounts {
	for _, f := range r.Faults {
		if f.Route == route && f.Endpoint == endpoint {
			return f
		}
	}
	return FaultCounts{Route: route, Endpoint: endpoint}
}

// follows reports whether r keeps the bounds of a report and no count is below that of an
// earlier report.
func (r *Report) follows(was *Report) bool {
	if r.Requests < was.Requests || r.Exposed < was.Exposed || len(r.Routes) > MaxRows || len(r.Faults) > MaxFaults {
		return false
	}
	for _, w := range was.Routes {
		if c := r.countsOf(w.Route); !c.follows(&w) {
			return false
		}
	}
	for _, w := range was.Faults {
		if f := r.faultsOf(w.Route, w.Endpoint); f.Loaded < w.Loaded || f.Light < w.Light {
			return false
		}
	}
	return true
}

// Copy returns a deep copy of r.
func (r *Report) Copy() Report {
	c := *r
	c.Routes, c.Faults = slices.Clone(r.Routes), slices.Clone(r.Faults)
	return c
}
