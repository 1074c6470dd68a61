// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package emul

import (
	"fmt"

	"github.com/traildrift/traildrift/pkg/pool"
)

// The placements.
const (
	Random     = "random"
	RoundRobin = "roundRobin"
	LeastLoad  = "leastLoad"
	TwoChoices = "twoChoices"
	Prefix     = "prefix"
)

// Placements are the ways to place requests: the router's own is Prefix, the others
// are baselines.
var Placements = []string{Random, RoundRobin, LeastLoad, TwoChoices, Prefix}

// place returns the index of the endpoint for a request.
func (p *player) place(r *request, model int) int {
	n := p.x.Endpoints
	book := p.books[r.router]
	sent := func(i int) int { return book.Get(endpointID(i)).Load.Sent }
	switch p.policy.Place {
	case Random:
		return p.choice.IntN(n)
	case RoundRobin:
		p.turns[r.router]++
		return p.turns[r.router] % n
	case LeastLoad:
		best := p.choice.IntN(n)
		for i := range n {
			if sent(i) < sent(best) {
				best = i
			}
		}
		return best
	case TwoChoices:
		a, b := p.choice.IntN(n), p.choice.IntN(n)
		if sent(b) < sent(a) {
			return b
		}
		return a
	default:
		return p.byPrefix(book, r, model)
	}
}

// heldValue is what a token of a shared part in memory is worth, in seconds of
// waiting: as in the router.
const heldValue = 0.1 / 1000

// byPrefix returns what the router's own choice gives.
func (p *player) byPrefix(book *pool.Book, r *request, model int) int {
	w := pool.Want{Service: service, Zone: service, Draw: p.choice.Uint64()}
	if r.shared > 0 {
		w.Affinity = pool.Hash(fmt.Sprint(model, "/", r.index, "/", r.thing))
		w.Bonus = heldValue * float64(r.shared)
	}
	picked, _ := book.Pick(p.now, &w)
	var i int
	_, _ = fmt.Sscanf(picked.ID, "e%d", &i)
	return i
}
