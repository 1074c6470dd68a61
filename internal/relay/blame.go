// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/blame"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/pool"
)

// Struck is word of a request under which an endpoint ended, or that was answered whole.
type Struck struct {
	Print blame.Print
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint64
	// Age is how long the request had been there.
	Age time.Duration
	// Whole says that the request was answered, which clears it.
	Whole bool
}

// Blames is what the engine tells and asks of the other routers and the store about requests
// that end endpoints. Its functions are seams.
type Blames struct {
	// Struck tells the routers that keep the request's ends.
	Struck func(s Struck)
	// Changed tells all routers of verdicts, Again some of them once more.
	Changed, Again func(list []blame.Verdict)
	// AgainMost is how many verdicts are worth telling again at a time.
	AgainMost int
	// Rank returns how many routers come before this one for a request.
	Rank func(p blame.Print) int
}

// noBlames are those of a router alone.
var noBlames = Blames{
	Struck:  func(Struck) {},
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

// awaitJudgement returns once it is known whether the request is quarantined: one under which
// enough endpoints have ended is not sent to another in the meantime.
func (x *run) awaitJudgement(ctx context.Context) {
	e := x.e
	e.mu.Lock()
	due, waits := time.Time{}, false
	if !e.blames.Empty() {
		due, waits = e.blames.JudgedAt(x.print())
	}
	e.mu.Unlock()
	if waits {
		tasks.Pause(ctx, due)
		e.judge()
	}
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
	name, age := s.name(), now.Sub(s.sentAt)
	e.struck(Struck{Print: name, Endpoint: hash, Age: age}, true, now)
	e.Blames.Struck(Struck{Print: name, Endpoint: hash, Age: age})
	if !e.lines.ends.AllowN(now, 1) {
		e.counts.count("unlogged_ends", "", p.Service)
		return
	}
	e.Log.Info("relay: An endpoint has ended under a request.", zap.String("endpoint", p.ID), zap.String("service", p.Service),
		zap.String("request", s.id), zap.Stringer("print", name), zap.Int("ends", e.blames.Ends(name)), zap.Int("besides", besides), zap.Int64("ageMs", age.Milliseconds()))
}

// struck takes over word of an end, of this router or another; mu is held.
func (e *Engine) struck(s Struck, own bool, now time.Time) {
	why := "other routers told of ends"
	if own {
		why = "an endpoint ended under it here"
	}
	changed, pending := e.blames.Ended(now, s.Print, s.Endpoint, s.Age, own)
	e.tellVerdicts(changed, why)
	if !pending {
		return
	}
	select {
	case e.judging <- struct{}{}:
	default:
	}
}

// judge judges the suspects that are due, and reports whether others are to follow.
func (e *Engine) judge() (pending bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed, pending := e.blames.Judge(e.Now(), e.view)
	e.tellVerdicts(changed, "enough endpoints ended under it")
	return pending
}

// view returns how much this router sees of the service of an endpoint, or of all if that is
// not known any more; mu is held.
func (e *Engine) view(endpoint uint64) (v blame.View) {
	service, all := "", true
	if p := e.book.ByHash(endpoint); p != nil {
		service, all = p.Service, false
	}
	for hash := range e.aboard {
		if p := e.book.ByHash(hash); all || p != nil && p.Service == service {
			v.Aboard++
		}
	}
	v.Listed = e.book.Len()
	if !all {
		v.Listed = e.book.Size(service)
	}
	return v
}

// HeardStruck takes over what another router tells of a request.
func (e *Engine) HeardStruck(s Struck) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.Whole {
		e.cleared(s.Print, e.Now())
		return
	}
	e.struck(s, false, e.Now())
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
		e.Blames.Struck(Struck{Print: p, Endpoint: a.hash, Whole: true})
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
