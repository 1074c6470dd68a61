// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/poison"
	"github.com/traildrift/traildrift/pkg/pool"
)

// CrashReport reports that an endpoint crashed under a request, or that the request was answered completely.
type CrashReport struct {
	Fingerprint poison.Fingerprint
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint64
	// Age is the time from the choice of the endpoint to its crash.
	Age time.Duration
	// Answered says that the request was answered, which clears it.
	Answered bool
}

// QuarantineHooks connects the engine to the other routers and the store for requests that crash
// endpoints. The owner of the Engine sets the functions.
type QuarantineHooks struct {
	// SendCrash sends a report to the routers that keep the crashes of its request.
	SendCrash func(r CrashReport)
	// SendParts sends reports on parts of prompts to the routers that keep those on each part.
	SendParts func(list []poison.PartReport)
	// SendVerdicts sends verdicts that changed to all routers, ResendVerdicts sends recent ones again
	// to some.
	SendVerdicts, ResendVerdicts func(list []poison.Verdict)
	// MaxResend is the maximum number of verdicts for one call of ResendVerdicts.
	MaxResend int
	// Rank returns how many routers come before this one for a subject. Those of a rank up to
	// PartCollectors receive all reports on a part, where the rank is that for the part of any caller.
	Rank           func(p poison.Fingerprint) int
	PartCollectors int
	// Alone reports whether other routers learn from this one through the store only.
	Alone func() bool
}

// standaloneQuarantines are the hooks of a router without peers.
var standaloneQuarantines = QuarantineHooks{
	SendCrash:    func(CrashReport) {},
	SendParts:    func([]poison.PartReport) {},
	SendVerdicts: func([]poison.Verdict) {}, ResendVerdicts: func([]poison.Verdict) {},
	Rank:  func(poison.Fingerprint) int { return 0 },
	Alone: func() bool { return true },
}

// quarantineError returns the error with which a quarantined request is refused, and nil if the request may
// be sent. It is called before each attempt, as the verdict may change between two; mu is held.
//
// A router that receives a crashing request for the first time cannot tell it from others, so each repeat
// would crash as many endpoints as its route allows attempts. Therefore every router keeps the crashes
// under a request beyond its attempts.
func (x *run) quarantineError(now time.Time) *fault.Error {
	e := x.e
	if e.crashes.Empty() {
		return nil
	}
	p := x.fingerprint()
	if v, retryAt := e.crashes.RefusesParts(now, x.subjects(), e.Quarantines.Rank); v != nil {
		x.quarantinedBy = poison.Subject{Fingerprint: v.Fingerprint, Part: v.Part}
		return fault.New(fault.Quarantined, fault.NotRun, "%d endpoints or more crashed under requests whose prompts have the part %q; none is sent to another.", len(v.Crashes), v.Part.ID).WithRetryAt(retryAt)
	}
	v := e.crashes.Refuses(now, p, e.Quarantines.Rank)
	if v == nil {
		return nil
	}
	return fault.New(fault.Quarantined, fault.NotRun, "%d endpoints or more crashed under request %v; it is not sent to another.", len(v.Crashes), p).WithRetryAt(v.Until)
}

// awaitJudgement returns once it is known whether the request is quarantined: a request under which enough
// endpoints have crashed is not sent to another one before.
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

// awaitDroppedProbes probes the endpoints at which the request was dropped, and waits for the results, if
// the crashes under it would reach the threshold with theirs. A dropped run may end its endpoint just
// after the last probe. Without the wait the next attempt would find out, at the cost of one more
// endpoint.
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

// suspectEndpoints returns the IDs of the endpoints that a suspected request should avoid: those that
// run another suspected request. It is then known which of the two crashes an endpoint. It returns nil
// for requests that are not suspected; mu is held.
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

// countCrashFor counts the crash of an endpoint for a request that it may have been running, and reports it
// to other routers; mu is held. besides is the number of other requests tracked there.
func (e *Engine) countCrashFor(s *sentRequest, p *pool.Entry, hash uint64, besides int, now time.Time) {
	fingerprint, age := s.requestFingerprint(), now.Sub(s.sentAt)
	r := CrashReport{Fingerprint: fingerprint, Endpoint: hash, Age: age}
	e.recordCrash(r, true, now)
	e.Quarantines.SendCrash(r)
	if !e.logLimits.crashes.AllowN(now, 1) {
		e.metrics.count("unlogged_crashes", "", p.Service)
		return
	}
	e.Log.Info("relay: An endpoint has crashed under a request.", zap.String("endpoint", p.ID), zap.String("service", p.Service),
		zap.String("request", s.id), zap.Stringer("fingerprint", fingerprint), zap.Int("crashes", e.crashes.Crashes(fingerprint)), zap.Int("besides", besides), zap.Int64("ageMs", age.Milliseconds()), zap.Strings("parts", s.partIDs()))
}

// recordCrash applies a report of a crash. own says that this router observed it; mu is held.
func (e *Engine) recordCrash(r CrashReport, own bool, now time.Time) {
	why := "other routers told of crashes"
	if own {
		why = "an endpoint crashed under it here"
	}
	changed, pending := e.crashes.RecordCrash(now, r.Fingerprint, r.Endpoint, r.Age, own)
	e.publishVerdicts(changed, why)
	if pending {
		e.signalJudge()
	}
}

// signalJudge has the suspects judged once the reports on the latest crash have settled.
func (e *Engine) signalJudge() {
	select {
	case e.judgeDue <- struct{}{}:
	default:
	}
}

// judge judges the suspects that are due, and reports whether there are others that are not due yet.
func (e *Engine) judge() (pending bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed, pending := e.crashes.Judge(e.Now(), e.view)
	e.publishVerdicts(changed, "enough endpoints crashed under it")
	return pending
}

// view returns the part of an endpoint's service that this router observes, or of all services if the
// endpoint is unknown; mu is held.
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

// ReceiveCrash applies another router's report on a request.
func (e *Engine) ReceiveCrash(r CrashReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Answered {
		e.clearRequest(r.Fingerprint, e.Now())
		return
	}
	now := e.Now()
	e.recordCrash(r, false, now)
	if !e.logLimits.crashes.AllowN(now, 1) {
		e.metrics.count("unlogged_crashes", "", "")
		return
	}
	e.Log.Info("relay: Another router reported a crash under a request.", zap.String("endpoint", e.endpointName(r.Endpoint)),
		zap.Stringer("fingerprint", r.Fingerprint), zap.Int("crashes", e.crashes.Crashes(r.Fingerprint)), zap.Int64("ageMs", r.Age.Milliseconds()))
}

// endpointName returns the ID of an endpoint, or the hash if the endpoint is not listed any more; mu is held.
func (e *Engine) endpointName(hash uint64) string {
	if p := e.book.ByHash(hash); p != nil {
		return p.ID
	}
	return strconv.FormatUint(hash, 16)
}

// ReceiveVerdicts merges verdicts and suspicions of another router.
func (e *Engine) ReceiveVerdicts(list []poison.Verdict) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before, _ := e.crashes.Counts()
	for i := range list {
		e.mergeVerdict(&list[i], "another router told it")
	}
	e.answerSuspicions(list)
	if requests, _ := e.crashes.Counts(); requests.Suspects > before.Suspects {
		e.Log.Info("relay: Another router told what it suspects.", zap.Int("new", requests.Suspects-before.Suspects), zap.Int("suspects", requests.Suspects))
	}
}

// MergeStoredVerdict merges a verdict that the store holds.
func (e *Engine) MergeStoredVerdict(v poison.Verdict) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mergeVerdict(&v, "the store holds it")
	e.crashes.SetStoredRound(v.Fingerprint, v.Round)
}

// mergeVerdict merges a verdict and logs it if it is new here; mu is held. why is the reason to log.
func (e *Engine) mergeVerdict(v *poison.Verdict, why string) {
	oldRound := e.crashes.Round(v.Fingerprint)
	if e.crashes.Merge(e.Now(), *v) && v.Round != oldRound {
		e.logVerdict(v, why)
		e.wakeAllWaiting()
	}
}

// MergeRestoredVerdict merges a verdict that the store holds after it came back from an older copy. A verdict of
// round 0 says that it holds none: that lifts no quarantine, as the store may have lost it.
func (e *Engine) MergeRestoredVerdict(v poison.Verdict) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if v.Round > 0 {
		e.mergeVerdict(&v, "the store holds it")
	}
	e.crashes.RecordRestored(e.Now(), v.Fingerprint, v.Round)
}

// StoredVerdicts returns the requests whose verdicts the store holds, as far as is known here.
func (e *Engine) StoredVerdicts() []poison.Fingerprint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes.Stored()
}

// RecordVerdictRemoval records that the store holds no verdict on a request any more. An operator lifts a
// quarantine by removing its verdict from the store.
func (e *Engine) RecordVerdictRemoval(p poison.Fingerprint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if v := e.crashes.RecordRemoval(e.Now(), p); v != nil {
		e.publishVerdicts([]poison.Verdict{*v}, "it was removed from the store")
	}
}

// clearRequest records that a request was answered completely, and reports whether it was suspected or
// quarantined before; mu is held.
func (e *Engine) clearRequest(p poison.Fingerprint, now time.Time) bool {
	known := e.crashes.Crashes(p) > 0 || e.crashes.Round(p)%2 == 1
	if v := e.crashes.RecordSuccess(now, p); v != nil {
		e.publishVerdicts([]poison.Verdict{*v}, "an endpoint answered it whole")
	}
	return known
}

// recordCompleted records that an endpoint answered an attempt's request completely, so that it no longer
// runs it. A successful answer shows that neither the request nor its parts crash endpoints. A failure shows
// nothing: the endpoint may have failed, or refused the request, before it ran it. Nor does an answer that
// ended with its connection, unless the endpoint goes on.
func (e *Engine) recordCompleted(a *Attempt, reply *Reply) {
	success := reply.Status < http.StatusMultipleChoices
	e.mu.Lock()
	defer e.mu.Unlock()
	if reply.Unframed && success {
		if a.sent.counted {
			return
		}
		a.sent.unconfirmed = true
		e.crashes.RecordUnconfirmed(e.Now(), a.sent.subjects)
		if e.isSuspected(a.sent) {
			e.enqueueProbe(a.hash)
		}
		return
	}
	a.harmless = true
	if success {
		e.recordSound(a.sent, a.hash, e.Now())
	}
}

// isSuspected reports whether the request or a part of it is suspected or quarantined; mu is held.
func (e *Engine) isSuspected(s *sentRequest) bool {
	known := func(p poison.Fingerprint) bool { return e.crashes.Crashes(p) > 0 || e.crashes.Round(p)%2 == 1 }
	return !e.crashes.Empty() && (known(s.requestFingerprint()) || slices.ContainsFunc(s.subjects, func(t poison.Subject) bool { return known(t.Fingerprint) }))
}

// recordSound records that an endpoint, given by its hash, answered a request with success; mu is held.
func (e *Engine) recordSound(s *sentRequest, endpoint uint64, now time.Time) {
	e.recordSoundParts(s, now)
	if e.crashes.Empty() {
		return
	}
	if p := s.requestFingerprint(); e.clearRequest(p, now) {
		e.Quarantines.SendCrash(CrashReport{Fingerprint: p, Endpoint: endpoint, Answered: true})
	}
}

// publishVerdicts logs verdicts that this router changed, and sends them to all routers; mu is held.
func (e *Engine) publishVerdicts(list []poison.Verdict, why string) {
	if len(list) == 0 {
		return
	}
	for i := range list {
		e.logVerdict(&list[i], why)
	}
	e.Quarantines.SendVerdicts(list)
	// Those that are refused now do not wait any longer.
	e.wakeAllWaiting()
}

func (e *Engine) logVerdict(v *poison.Verdict, why string) {
	message := "relay: A request is quarantined."
	switch part := v.Fingerprint.IsPart(); {
	case part && v.InForce():
		message = "relay: A part of prompts is quarantined."
	case part:
		message = "relay: A part of prompts is quarantined no more."
	case !v.InForce():
		message = "relay: A request is quarantined no more."
	}
	fields := []zap.Field{zap.Stringer("fingerprint", v.Fingerprint), zap.Int("round", v.Round), zap.Time("until", v.Until), zap.Int("crashes", len(v.Crashes)), zap.String("why", why)}
	if v.Part != (poison.Part{}) {
		fields = append(fields, partFields(&v.Part)...)
	}
	e.Log.Info(message, fields...)
}

// judgedCrash is a crash under a judged request as it is logged. Endpoint is the hash of the
// endpoint's ID where the endpoint is not known here any more. Chance is 0 for a crash that a
// quarantined request explains.
type judgedCrash struct {
	Endpoint string  `json:"endpoint"`
	AgoMs    int64   `json:"agoMs"`
	AgeMs    int64   `json:"ageMs"`
	Chance   float64 `json:"chance"`
	Besides  int     `json:"besides"`
}

// logJudgement logs the evidence on which a suspect is quarantined, or held as other suspects were at its
// crashes; mu is held.
func (e *Engine) logJudgement(j poison.Judgement) {
	now := e.Now()
	if !e.logLimits.crashes.AllowN(now, 1) {
		e.metrics.count("unlogged_crashes", "", "")
		return
	}
	message := "relay: A suspect is to be quarantined."
	if j.Held {
		message = "relay: A suspect is held, as others were at its crashes."
	}
	list := make([]judgedCrash, 0, len(j.Crashes))
	for _, c := range j.Crashes {
		list = append(list, judgedCrash{e.endpointName(c.Endpoint), now.Sub(c.At).Milliseconds(), c.Age.Milliseconds(), round(c.Chance), c.Besides})
	}
	fields := []zap.Field{zap.Stringer("fingerprint", j.Fingerprint), zap.Int("crashes", len(j.Crashes)), zap.Int("unexplained", j.Unexplained),
		zap.Int("disputed", j.Disputed), zap.Float64("weight", round(j.Weight)), zap.Any("evidence", list)}
	if j.Part != (poison.Part{}) {
		fields = append(fields, zap.Int("holders", j.Holders), zap.Int("rounds", j.Rounds), zap.Bool("answeredBefore", j.Proven))
		fields = append(fields, partFields(&j.Part)...)
	}
	e.Log.Info(message, fields...)
}

// maintainQuarantines sends recent verdicts again, as routers may have missed them, removes expired ones and
// updates the metrics.
func (e *Engine) maintainQuarantines(now time.Time) {
	e.mu.Lock()
	e.expired = append(e.expired, e.crashes.Expire(now)...)
	recent := e.crashes.RecentChanges(now, e.Quarantines.MaxResend)
	requests, parts := e.crashes.Counts()
	e.mu.Unlock()
	e.metrics.suspects.Update(float64(requests.Suspects))
	e.metrics.quarantined.Update(float64(requests.Quarantined))
	e.metrics.suspectParts.Update(float64(parts.Suspects))
	e.metrics.quarantinedParts.Update(float64(parts.Quarantined))
	if len(recent) > 0 {
		e.Quarantines.ResendVerdicts(recent)
	}
}

const (
	// maxStartupVerdicts is the maximum number of verdicts sent to a starting router, a hundred bytes
	// each. It reads those that are stored from the store.
	maxStartupVerdicts = 256
	// maxStartupSuspicions is the maximum number of suspicions sent to it, some fifty bytes each: those
	// with the latest crashes, as the repeat of a crashing request follows soon.
	maxStartupSuspicions = 64
)

// StartupVerdicts returns what a starting router may not find in the store: recent verdicts, and
// suspicions.
func (e *Engine) StartupVerdicts() []poison.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append(e.crashes.RecentChanges(e.Now(), maxStartupVerdicts), e.crashes.Suspicions(maxStartupSuspicions)...)
}

// Unstored returns a verdict that this router is to store, or to remove from the store if it was
// lifted or has expired; nil if there is none. A router waits for step per router that precedes it in
// rank, so that only one writes. A router that is alone does not wait, as no other may have the verdict:
// with forty routers it would wait for ten seconds, in which each of them loses endpoints to the request.
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

// SetStoredRound records the round of the verdict on a request that the store holds; 0 if it holds none.
func (e *Engine) SetStoredRound(p poison.Fingerprint, round int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes.SetStoredRound(p, round)
}
