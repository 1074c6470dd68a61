// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import (
	"math"
	"time"
)

// Judge gathers what the answers of a new version say against those of the old
// one, route by route. The zero value is ready for use.
type Judge struct {
	routes map[string]*routeEvidence
	// all is the evidence over all routes.
	all evidence
	bad bool
}

type routeEvidence struct {
	evidence
	// oldHead is the decayed mean of the old version's time to the head, and
	// oldSeen how many answers made it.
	oldHead float64
	oldSeen int
}

// evidence is a cumulative sum test (Page, 1954) for a share of bad answers that
// is higher than the old version's.
type evidence struct {
	// oldBad is the decayed share of bad answers of the old version.
	oldBad float64
	// sum is the log likelihood ratio since it was last 0; never negative.
	sum float64
}

const (
	// oldWeight is how much one answer counts in the old version's shares.
	oldWeight = 0.01
	// oldLeast is the least share of bad answers that an old version is taken
	// to have, so that single failures prove nothing.
	oldLeast = 0.03
	// worse is how much higher a bad version's share is taken to be. The
	// users' bad versions fail from a third of their answers on.
	worse = 0.25
	// convincing is the sum at which a version is bad: odds of about 8,000.
	convincing = 9
	// slower is how many times the old version's time to the head an answer
	// takes to count as bad, if it also takes slowLeast more.
	slower    = 3
	slowLeast = 150 * time.Millisecond
	// oldEnough is how many answers of the old version make a usable mean.
	oldEnough = 10
)

func (j *Judge) of(route string) *routeEvidence {
	if j.routes == nil {
		j.routes = make(map[string]*routeEvidence)
	}
	e, ok := j.routes[route]
	if !ok {
		e = &routeEvidence{}
		j.routes[route] = e
	}
	return e
}

// Old notes an answer of the old version: whether it failed, and its time to the
// head.
func (j *Judge) Old(route string, failed bool, head time.Duration) {
	e := j.of(route)
	e.old(failed)
	j.all.old(failed)
	if failed {
		return
	}
	w := oldWeight
	if e.oldSeen < oldEnough {
		w = 1 / float64(e.oldSeen+1)
	}
	e.oldSeen++
	e.oldHead += (float64(head) - e.oldHead) * w
}

// New notes an answer of the new version.
func (j *Judge) New(route string, failed bool, head time.Duration) {
	e := j.of(route)
	slow := e.oldSeen >= oldEnough && float64(head) > slower*e.oldHead && float64(head) > e.oldHead+float64(slowLeast)
	bad := failed || slow
	e.new(bad)
	j.all.new(bad)
	j.bad = j.bad || e.sum >= convincing || j.all.sum >= convincing
}

// Bad reports whether the new version was found bad; it never goes back.
func (j *Judge) Bad() bool { return j.bad }

// Sum returns the strongest evidence, for logs.
func (j *Judge) Sum() float64 {
	most := j.all.sum
	for _, e := range j.routes {
		most = max(most, e.sum)
	}
	return most
}

func (e *evidence) old(bad bool) {
	x := 0.0
	if bad {
		x = 1
	}
	e.oldBad += (x - e.oldBad) * oldWeight
}

func (e *evidence) new(bad bool) {
	p0 := max(e.oldBad, oldLeast)
	p1 := min(p0+worse, 0.95)
	if bad {
		e.sum += math.Log(p1 / p0)
	} else {
		e.sum += math.Log((1 - p1) / (1 - p0))
	}
	e.sum = max(e.sum, 0)
}
