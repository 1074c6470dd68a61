// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package emul

import (
	"fmt"
	"time"

	"github.com/traildrift/traildrift/pkg/pool"
)

// Values of Policy.Placement: a random endpoint, the next one in turn, the one with the fewest
// requests in flight, the better of two random ones, and the router's own choice by cached
// prompt prefix and load.
const (
	Random     = "random"
	RoundRobin = "roundRobin"
	LeastLoad  = "leastLoad"
	TwoChoices = "twoChoices"
	Prefix     = "prefix"
)

// Placements lists the allowed placements. Prefix is the algorithm of the router, the others
// are baselines.
var Placements = []string{Random, RoundRobin, LeastLoad, TwoChoices, Prefix}

// place returns the index of the endpoint for a request to the model of the given index.
func (p *simulation) place(r *request, model int) int {
	n := p.x.Endpoints
	view := p.views[r.router]
	sent := func(i int) int { return view[i].Load.InFlight }
	switch p.policy.Placement {
	case Random:
		return p.policyRand.IntN(n)
	case RoundRobin:
		p.lastTurn[r.router]++
		return p.lastTurn[r.router] % n
	case LeastLoad:
		best := p.policyRand.IntN(n)
		for i := range n {
			if sent(i) < sent(best) {
				best = i
			}
		}
		return best
	case TwoChoices:
		a, b := p.policyRand.IntN(n), p.policyRand.IntN(n)
		if sent(b) < sent(a) {
			return b
		}
		return a
	default:
		return p.byPrefix(r, model)
	}
}

// byPrefix returns the index of the endpoint that the router's algorithm picks. It records the
// prompt's expected load and its holder in the views of all routers, as if they exchanged
// reports without delay.
func (p *simulation) byPrefix(r *request, model int) int {
	w := pool.Want{Service: service, Zone: service, Draw: p.policyRand.Uint64()}
	if r.sharedTokens > 0 {
		w.Affinity = pool.Hash(fmt.Sprint(model, "/", r.classIndex, "/", r.part))
		w.FullRead, w.UnsharedRead = p.readSeconds(model, r.sharedTokens+r.ownTokens), p.readSeconds(model, r.ownTokens)
		w.SharedFraction = float64(r.sharedTokens) / float64(r.sharedTokens+r.ownTokens)
		w.TimeLeft = (time.Duration(r.class.TargetHead) - p.now.Sub(r.arrived)).Seconds()
		w.SampleSize = p.x.Endpoints / p.x.Routers
	}
	picked, why := p.books[r.router].Pick(p.now, &w)
	read := w.FullRead
	if why == pool.ByAffinity {
		read = w.UnsharedRead
	}
	i := p.indexByID[picked.ID]
	for k, b := range p.books {
		done := p.views[k][i].Load.AddPrompt(p.now, time.Duration(read*float64(time.Second)))
		if k == r.router {
			p.expectedRead = done
		}
		if r.sharedTokens > 0 {
			b.RecordHolder(w.Affinity, picked.Hash(), p.now)
		}
	}
	return i
}
