// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/blame"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/pool"
)

// Blames is what the engine tells and asks of the other routers and the store about requests
// that end endpoints. Its functions are seams.
type Blames struct {
	// Struck tells the routers that keep a request's ends that an endpoint, by its hash,
	// ended under it, or that it was answered whole.
	Struck func(p blame.Print, endpoint uint64, whole bool)
	// Changed tells all routers of verdicts, Again some of them once more.
	Changed, Again func(list []blame.Verdict)
	// AgainMost is how many verdicts are worth telling again at a time.
	AgainMost int
	// Rank returns how many routers come before this one for a request.
	Rank func(p blame.Print) int
}

// noBlames are those of a router alone.
var noBlames = Blames{
	Struck:  func(blame.Print, uint64, bool) {},
	Changed: func([]blame.Verdict) {}, Again: func([]blame.Verdict) {},
	Rank: func(blame.Print) int { return 0 },
}

// quarantined returns why a request is not sent to any endpoint; nil if it may be. It is asked
// before each attempt, as the verdict may come between two; mu is held.
//
// A request that ends what runs it is like any other to the router that meets it first, so
// that each repeat would end as many endpoints as its route allows attempts. What it did is
// therefore remembered apart from its attempts, at every router.
func (x *run) quarantined(now time.Time) *fault.Error {
	e := x.e
	if e.blames.Empty() {
		return nil
	}
	p := x.print()
	v := e.blames.Refuses(now, p, e.Blames.Rank)
	if v == nil {
		return nil
	}
	return fault.New(fault.Quarantined, fault.NotRun, "%d endpoints or more ended under request %v; it is not sent to another.", len(v.Ends), p).At(v.Until)
}

// apart returns the endpoints that a request under which one ended should not meet: those
// that run another such request. Each then shows by itself whether it ends what runs it.
// Nothing for other requests; mu is held.
func (x *run) apart() (avoid []string) {
	if x.e.blames.Empty() {
		return nil
	}
	p := x.print()
	if x.e.blames.Ends(p) == 0 {
		return nil
	}
	for _, b := range x.e.aboard {
		for _, s := range b.stays {
			if s.suspect && s.attempt != nil && s.name() != p {
				avoid = append(avoid, s.attempt.Endpoint.ID)
			}
		}
	}
	return avoid
}

// strike counts the end of an endpoint for a request that it may have been running; mu is held.
func (e *Engine) strike(s *stay, p *pool.Entry, hash uint64, besides int, now time.Time) {
	name := s.name()
	changed := e.blames.Ended(now, name, hash)
	e.Log.Info("relay: An endpoint has ended under a request.", zap.String("endpoint", p.ID), zap.String("service", p.Service),
		zap.String("request", s.id), zap.Stringer("print", name), zap.Int("ends", e.blames.Ends(name)), zap.Int("besides", besides))
	e.Blames.Struck(name, hash, false)
	e.tellVerdicts(changed, "an endpoint ended under it here")
}

// HeardStruck takes over word of another router that an endpoint ended under a request, or that
// it was answered whole.
func (e *Engine) HeardStruck(p blame.Print, endpoint uint64, whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	if whole {
		e.cleared(p, now)
		return
	}
	e.tellVerdicts(e.blames.Ended(now, p, endpoint), "other routers told of ends")
}

// HeardVerdicts takes over verdicts of another router.
func (e *Engine) HeardVerdicts(list []blame.Verdict) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range list {
		e.learnVerdict(&list[i], "another router told it")
	}
}

// TakeVerdict takes over a verdict that the store holds.
func (e *Engine) TakeVerdict(v blame.Verdict) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.learnVerdict(&v, "the store holds it")
	e.blames.Stored(v.Print, v.Round)
}

// learnVerdict takes over a verdict; mu is held.
func (e *Engine) learnVerdict(v *blame.Verdict, why string) {
	was := e.blames.Round(v.Print)
	if e.blames.Learn(e.Now(), *v) && v.Round != was {
		e.logVerdict(v, why)
	}
}

// DropVerdict notes that the store holds no verdict of a request any more: an operator lifts
// one by removing it there.
func (e *Engine) DropVerdict(p blame.Print) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if v := e.blames.Removed(e.Now(), p); v != nil {
		e.tellVerdicts([]blame.Verdict{*v}, "it was removed from the store")
	}
}

// cleared notes that a request was answered whole, and reports whether that says anything
// new; mu is held.
func (e *Engine) cleared(p blame.Print, now time.Time) bool {
	known := e.blames.Ends(p) > 0 || e.blames.Round(p)%2 == 1
	if v := e.blames.Whole(now, p); v != nil {
		e.tellVerdicts([]blame.Verdict{*v}, "an endpoint answered it whole")
	}
	return known
}

// harmless notes that an endpoint answered an attempt's request whole: it does not end what
// runs it.
func (e *Engine) harmless(a *Attempt) {
	a.harmless = true
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.blames.Empty() {
		return
	}
	if p := a.print(); e.cleared(p, e.Now()) {
		e.Blames.Struck(p, a.hash, true)
	}
}

// tellVerdicts logs verdicts that changed here and tells all routers; mu is held.
func (e *Engine) tellVerdicts(list []blame.Verdict, why string) {
	if len(list) == 0 {
		return
	}
	for i := range list {
		e.logVerdict(&list[i], why)
	}
	e.Blames.Changed(list)
}

func (e *Engine) logVerdict(v *blame.Verdict, why string) {
	message := "relay: A request is quarantined."
	if !v.Blames() {
		message = "relay: A request is quarantined no more."
	}
	e.Log.Info(message, zap.Stringer("print", v.Print), zap.Int("round", v.Round), zap.Time("until", v.Until), zap.Int("ends", len(v.Ends)), zap.String("why", why))
}

// tendBlames tells again what other routers may have missed, and forgets what is old.
func (e *Engine) tendBlames(now time.Time) {
	e.mu.Lock()
	e.lapsed = append(e.lapsed, e.blames.Expire(now)...)
	fresh := e.blames.Fresh(now, e.Blames.AgainMost)
	suspects, blamed := e.blames.Counts()
	e.mu.Unlock()
	e.counts.suspects.Update(float64(suspects))
	e.counts.quarantined.Update(float64(blamed))
	if len(fresh) > 0 {
		e.Blames.Again(fresh)
	}
}

// startersMost bounds the verdicts that a starting router is told: it has the stored ones
// already, and they take a hundred bytes each.
const startersMost = 256

// FreshVerdicts returns the verdicts that a starting router may not find in the store.
func (e *Engine) FreshVerdicts() []blame.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.blames.Fresh(e.Now(), startersMost)
}

// Unstored returns a verdict that this router should store, or remove from the store if it was
// lifted or is forgotten; nil for none.
func (e *Engine) Unstored(step time.Duration) *blame.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.lapsed) > 0 {
		p := e.lapsed[0]
		e.lapsed = e.lapsed[1:]
		if e.Blames.Rank(p) == 0 {
			return &blame.Verdict{Print: p}
		}
	}
	return e.blames.Unstored(e.Now(), step, e.Blames.Rank)
}

// Stored notes the round of a request's verdict that the store holds; 0 for none.
func (e *Engine) Stored(p blame.Print, round int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.blames.Stored(p, round)
}
