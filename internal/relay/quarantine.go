// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/poison"
	"github.com/traildrift/traildrift/pkg/pool"
)

// CrashReport is word of a request under which an endpoint crashed, or that was answered whole.
type CrashReport struct {
	Fingerprint poison.Fingerprint
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint64
	// Age is how long the request had been there.
	Age time.Duration
	// Answered says that the request was answered, which clears it.
	Answered bool
}

// QuarantineHooks is what the engine tells and asks of the other routers and the store about requests
// that crash endpoints. Its functions are seams.
type QuarantineHooks struct {
	// SendCrash tells the routers that keep the request's crashes.
	SendCrash func(r CrashReport)
	// SendVerdicts tells all routers of verdicts, ResendVerdicts some of them once more.
	SendVerdicts, ResendVerdicts func(list []poison.Verdict)
	// MaxResend is how many verdicts are worth telling again at a time.
	MaxResend int
	// Rank returns how many routers come before this one for a request.
	Rank func(p poison.Fingerprint) int
	// Alone reports whether no other router hears of what this one learns but from the store.
	Alone func() bool
}

// standaloneQuarantines are those of a router alone.
var standaloneQuarantines = QuarantineHooks{
	SendCrash:    func(CrashReport) {},
	SendVerdicts: func([]poison.Verdict) {}, ResendVerdicts: func([]poison.Verdict) {},
	Rank:  func(poison.Fingerprint) int { return 0 },
	Alone: func() bool { return true },
}

// quarantineError returns why a request is not sent to any endpoint; nil if it may be. It is asked
// before each attempt, as the verdict may come between two; mu is held.
//
// A request that crashes what runs it is like any other to the router that meets it first, so
// that each repeat would crash as many endpoints as its route allows attempts. What it did is
// therefore remembered apart from its attempts, at every router.
func (x *run) quarantineError(now time.Time) *fault.Error {
	e := x.e
	if e.crashes.Empty() {
		return nil
	}
	p := x.fingerprint()
	v := e.crashes.Refuses(now, p, e.Quarantines.Rank)
	if v == nil {
		return nil
	}
	return fault.New(fault.Quarantined, fault.NotRun, "%d endpoints or more crashed under request %v; it is not sent to another.", len(v.Crashes), p).WithRetryAt(v.Until)
}

// awaitJudgement returns once it is known whether the request is quarantined: one under which
// enough endpoints have crashed is not sent to another in the meantime.
func (x *run) awaitJudgement(ctx context.Context) {
	e := x.e
	e.awaitResume(ctx)
	x.awaitDroppedProbes(ctx)
	e.mu.Lock()
	due, waits := time.Time{}, false
	if !e.crashes.Empty() {
		due, waits = e.crashes.JudgeDueAt(x.fingerprint())
	}
	e.mu.Unlock()
	if waits {
		tasks.Pause(ctx, due)
		e.judge()
	}
}

// awaitDroppedProbes has it asked again whether the endpoints have ended at which the request was dropped,
// if the crashes under it would be enough with these, and waits for that. A dropped run may end its
// endpoint just after it was asked about: without the wait the next attempt is what finds out, and
// costs one more.
func (x *run) awaitDroppedProbes(ctx context.Context) {
	e := x.e
	e.mu.Lock()
	mustWait := false
	if !e.crashes.Empty() {
		p := x.fingerprint()
		if dropped := e.endpointsDropping(p, nil); e.crashes.ReachesThreshold(p, len(dropped)) {
			mustWait = true
			e.enqueueProbes(dropped)
		}
	}
	e.mu.Unlock()
	if mustWait {
		tasks.Pause(ctx, e.Now().Add(poison.SettleDelay))
	}
}

// suspectEndpoints returns the endpoints that a request under which one crashed should not meet: those
// that run another such request. Each then shows by itself whether it crashes what runs it.
// Nothing for other requests; mu is held.
func (x *run) suspectEndpoints() (avoid []string) {
	if x.e.crashes.Empty() {
		return nil
	}
	p := x.fingerprint()
	if x.e.crashes.Crashes(p) == 0 {
		return nil
	}
	for _, b := range x.e.inFlight {
		for _, s := range b.requests {
			if s.suspect && s.attempt != nil && s.requestFingerprint() != p {
				avoid = append(avoid, s.attempt.Endpoint.ID)
			}
		}
	}
	return avoid
}

// countCrashFor counts the crash of an endpoint for a request that it may have been running; mu is held.
func (e *Engine) countCrashFor(s *sentRequest, p *pool.Entry, hash uint64, besides int, now time.Time) {
	name, age := s.requestFingerprint(), now.Sub(s.sentAt)
	r := CrashReport{Fingerprint: name, Endpoint: hash, Age: age}
	e.recordCrash(r, true, now)
	e.Quarantines.SendCrash(r)
	if !e.logLimits.crashes.AllowN(now, 1) {
		e.metrics.count("unlogged_crashes", "", p.Service)
		return
	}
	e.Log.Info("relay: An endpoint has crashed under a request.", zap.String("endpoint", p.ID), zap.String("service", p.Service),
		zap.String("request", s.id), zap.Stringer("fingerprint", name), zap.Int("crashes", e.crashes.Crashes(name)), zap.Int("besides", besides), zap.Int64("ageMs", age.Milliseconds()))
}

// recordCrash takes over word of a crash, of this router or another; mu is held.
func (e *Engine) recordCrash(r CrashReport, own bool, now time.Time) {
	why := "other routers told of crashes"
	if own {
		why = "an endpoint crashed under it here"
	}
	changed, pending := e.crashes.RecordCrash(now, r.Fingerprint, r.Endpoint, r.Age, own)
	e.publishVerdicts(changed, why)
	if !pending {
		return
	}
	select {
	case e.judgeDue <- struct{}{}:
	default:
	}
}

// judge judges the suspects that are due, and reports whether others are to follow.
func (e *Engine) judge() (pending bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed, pending := e.crashes.Judge(e.Now(), e.view)
	e.publishVerdicts(changed, "enough endpoints crashed under it")
	return pending
}

// view returns how much this router sees of the service of an endpoint, or of all if that is
// not known any more; mu is held.
func (e *Engine) view(endpoint uint64) (v poison.View) {
	service, all := "", true
	if p := e.book.ByHash(endpoint); p != nil {
		service, all = p.Service, false
	}
	for hash := range e.inFlight {
		if p := e.book.ByHash(hash); all || p != nil && p.Service == service {
			v.InFlight++
		}
	}
	v.Listed = e.book.Len()
	if !all {
		v.Listed = e.book.Size(service)
	}
	return v
}

// ReceiveCrash takes over what another router tells of a request.
func (e *Engine) ReceiveCrash(r CrashReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Answered {
		e.clearRequest(r.Fingerprint, e.Now())
		return
	}
	e.recordCrash(r, false, e.Now())
}

// ReceiveVerdicts takes over verdicts and suspicions of another router.
func (e *Engine) ReceiveVerdicts(list []poison.Verdict) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before, _ := e.crashes.Counts()
	for i := range list {
		e.mergeVerdict(&list[i], "another router told it")
	}
	if suspects, _ := e.crashes.Counts(); suspects > before {
		e.Log.Info("relay: Another router told what it suspects.", zap.Int("new", suspects-before), zap.Int("suspects", suspects))
	}
}

// MergeStoredVerdict takes over a verdict that the store holds.
func (e *Engine) MergeStoredVerdict(v poison.Verdict) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mergeVerdict(&v, "the store holds it")
	e.crashes.SetStoredRound(v.Fingerprint, v.Round)
}

// mergeVerdict takes over a verdict; mu is held.
func (e *Engine) mergeVerdict(v *poison.Verdict, why string) {
	was := e.crashes.Round(v.Fingerprint)
	if e.crashes.Merge(e.Now(), *v) && v.Round != was {
		e.logVerdict(v, why)
	}
}

// RecordVerdictRemoval notes that the store holds no verdict of a request any more: an operator lifts
// one by removing it there.
func (e *Engine) RecordVerdictRemoval(p poison.Fingerprint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if v := e.crashes.RecordRemoval(e.Now(), p); v != nil {
		e.publishVerdicts([]poison.Verdict{*v}, "it was removed from the store")
	}
}

// clearRequest notes that a request was answered whole, and reports whether that says anything
// new; mu is held.
func (e *Engine) clearRequest(p poison.Fingerprint, now time.Time) bool {
	known := e.crashes.Crashes(p) > 0 || e.crashes.Round(p)%2 == 1
	if v := e.crashes.RecordSuccess(now, p); v != nil {
		e.publishVerdicts([]poison.Verdict{*v}, "an endpoint answered it whole")
	}
	return known
}

// recordCompleted notes that an endpoint answered an attempt's request whole: it is there no more. With success
// it does not crash what runs it; a failure says nothing, as the endpoint may have failed, or turned it
// away, before it ran.
func (e *Engine) recordCompleted(a *Attempt, status int) {
	a.harmless = true
	if status >= http.StatusMultipleChoices {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashes.Empty() {
		return
	}
	if p := a.fingerprint(); e.clearRequest(p, e.Now()) {
		e.Quarantines.SendCrash(CrashReport{Fingerprint: p, Endpoint: a.hash, Answered: true})
	}
}

// publishVerdicts logs verdicts that changed here and tells all routers; mu is held.
func (e *Engine) publishVerdicts(list []poison.Verdict, why string) {
	if len(list) == 0 {
		return
	}
	for i := range list {
		e.logVerdict(&list[i], why)
	}
	e.Quarantines.SendVerdicts(list)
}

func (e *Engine) logVerdict(v *poison.Verdict, why string) {
	message := "relay: A request is quarantined."
	if !v.InForce() {
		message = "relay: A request is quarantined no more."
	}
	e.Log.Info(message, zap.Stringer("fingerprint", v.Fingerprint), zap.Int("round", v.Round), zap.Time("until", v.Until), zap.Int("crashes", len(v.Crashes)), zap.String("why", why))
}

// logHeld tells that a request would be quarantined but for others that were at its crashes; mu is held.
func (e *Engine) logHeld(p poison.Fingerprint, crashes int) {
	if !e.logLimits.crashes.AllowN(e.Now(), 1) {
		e.metrics.count("unlogged_crashes", "", "")
		return
	}
	e.Log.Info("relay: A suspect is held, as others were at its crashes.", zap.Stringer("fingerprint", p), zap.Int("crashes", crashes))
}

// maintainQuarantines tells again what other routers may have missed, and forgets what is old.
func (e *Engine) maintainQuarantines(now time.Time) {
	e.mu.Lock()
	e.expired = append(e.expired, e.crashes.Expire(now)...)
	fresh := e.crashes.RecentChanges(now, e.Quarantines.MaxResend)
	suspects, quarantined := e.crashes.Counts()
	e.mu.Unlock()
	e.metrics.suspects.Update(float64(suspects))
	e.metrics.quarantined.Update(float64(quarantined))
	if len(fresh) > 0 {
		e.Quarantines.ResendVerdicts(fresh)
	}
}

const (
	// maxStartupVerdicts bounds the verdicts that a starting router is told: it has the stored ones
	// already, and they take a hundred bytes each.
	maxStartupVerdicts = 256
	// maxStartupSuspicions bounds the suspects that it is told, some fifty bytes each: those that crashed
	// something last. Of a request that crashes what runs it, a repeat is not long ago.
	maxStartupSuspicions = 64
)

// StartupVerdicts returns what a starting router may not find in the store: verdicts that are new, and
// suspicions.
func (e *Engine) StartupVerdicts() []poison.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append(e.crashes.RecentChanges(e.Now(), maxStartupVerdicts), e.crashes.Suspicions(maxStartupSuspicions)...)
}

// Unstored returns a verdict that this router should store, or remove from the store if it was
// lifted or is forgotten; nil for none. Routers wait for those that come before them in rank by
// step each, so that one writes. One that is alone does not: nobody else may know, and with forty
// routers it would wait for ten seconds, in which each of them loses endpoints to the request.
func (e *Engine) Unstored(step time.Duration) *poison.Verdict {
	if e.Quarantines.Alone() {
		step = 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.expired) > 0 {
		p := e.expired[0]
		e.expired = e.expired[1:]
		if e.Quarantines.Rank(p) == 0 {
			return &poison.Verdict{Fingerprint: p}
		}
	}
	return e.crashes.Unstored(e.Now(), step, e.Quarantines.Rank)
}

// SetStoredRound notes the round of a request's verdict that the store holds; 0 for none.
func (e *Engine) SetStoredRound(p poison.Fingerprint, round int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes.SetStoredRound(p, round)
}
