// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"slices"
	"time"

	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/poison"
	"github.com/traildrift/traildrift/pkg/pool"
)

// CheckEnded reports whether an endpoint has ended: gone is set if its address refuses
// connections. known is false if nothing came back, as its VM is silent or cut off or a packet was
// lost.
type CheckEnded func(ctx context.Context, p pool.Entry) (gone, known bool)

const (
	// crashWindow is how long after an endpoint was found gone lost connections to it are attributed
	// to the same crash. Endpoints restart after a second at the earliest.
	crashWindow = time.Second
	// abandonedRunWindow is how long after its last attempt ended without a complete answer a request
	// may still crash the endpoint. A run that the router dropped can do so too, also one that is
	// still queued there, for half a second in a busy service.
	abandonedRunWindow = 2500 * time.Millisecond
	// probeTimeout limits the probe of whether an endpoint has ended, which a failed request waits
	// for. A refusal takes as long as a connection, 4 ms between availability zones.
	probeTimeout = 100 * time.Millisecond
	// maxUnansweredProbes is the number of probes in a row without a result after which an endpoint's
	// state stays unknown. If packets are lost with a probability of three in ten, one of four
	// probes gets a result.
	maxUnansweredProbes = 4
	// maxInFlight is the maximum number of requests tracked per endpoint. Endpoints run 64 at a time;
	// the others have just ended.
	maxInFlight = 256
)

// sentRequest tracks a request at an endpoint, from when it was sent until abandonedRunWindow after its
// attempt ended.
type sentRequest struct {
	// attempt is nil once the attempt has ended, as it holds the request body.
	attempt *Attempt
	// id is the request ID. fingerprint identifies the request and its repeats; it is zero while the
	// attempt is active.
	id          string
	fingerprint poison.Fingerprint
	// service is the service of the endpoint, workspace that of the caller; empty for an anonymous
	// request.
	service, workspace string
	// subjects are the parts of the prompt that the request shares with others.
	subjects []poison.Subject
	// headAt is when the head of an answer was received that begins when the endpoint begins to
	// answer: that of a stream. It is zero before, and for other answers.
	headAt time.Time
	// unconfirmed says that the answer ended with its connection, as one that breaks off may. Whether
	// the endpoint has ended tells the two apart.
	unconfirmed bool
	// startedAt is the start of the endpoint's incarnation by the entry that the request was sent by.
	startedAt time.Time
	// sentAt is when the endpoint was chosen and the attempt began.
	sentAt time.Time
	// lostAt is when the connection of the request was lost; zero if it was not.
	lostAt time.Time
	// openedAt is when the connection was open; zero before. Nothing of the request was at the
	// endpoint until then.
	openedAt time.Time
	// endedAt is when the attempt ended without a complete answer; zero while it is active.
	endedAt time.Time
	// counted says that the endpoint's crash was counted for this request.
	counted bool
	// suspect says that an endpoint had crashed under this request before it was sent here.
	suspect bool
}

// requestFingerprint returns the fingerprint of the request, also while the attempt is active.
func (s *sentRequest) requestFingerprint() poison.Fingerprint {
	if s.attempt != nil {
		return s.attempt.fingerprint()
	}
	return s.fingerprint
}

// partIDs returns the IDs of the tracked parts of the prompt that others may share.
func (s *sentRequest) partIDs() (ids []string) {
	for i := range s.subjects {
		if t := &s.subjects[i].Part; !t.AnyCaller {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// markOpened records that the connection is open, unless that is recorded already.
func (s *sentRequest) markOpened(now time.Time) {
	if s.openedAt.IsZero() {
		s.openedAt = now
	}
}

// mayHaveCrashed reports whether the request may have crashed the endpoint that was found gone at goneAt. A
// request whose connection was still being opened then arrived after the crash.
func (s *sentRequest) mayHaveCrashed(goneAt time.Time) bool {
	return !s.openedAt.IsZero() && !s.openedAt.After(goneAt)
}

// expired reports whether the attempt ended too long ago for the request to crash the endpoint.
func (s *sentRequest) expired(now time.Time) bool {
	return !s.endedAt.IsZero() && now.Sub(s.endedAt) > abandonedRunWindow
}

// inFlight holds the requests that an endpoint may be running, and the state of its probes.
type inFlight struct {
	requests []*sentRequest
	// goneAt is when the endpoint was last found gone; zero for never.
	goneAt time.Time
	// probeDone is closed when the current probe of the endpoint has ended; nil if there is none.
	probeDone chan struct{}
	// unansweredProbes counts the probes in a row without a result.
	unansweredProbes int
}

// hasUncounted reports whether there are requests for which a crash of the endpoint at now is still to be
// counted.
func (b *inFlight) hasUncounted(now time.Time) bool {
	return slices.ContainsFunc(b.requests, func(s *sentRequest) bool { return !s.counted && s.mayHaveCrashed(now) && !s.expired(now) })
}

// drop stops tracking a request.
func (b *inFlight) drop(s *sentRequest) {
	b.requests = slices.DeleteFunc(b.requests, func(q *sentRequest) bool { return q == s })
}

// trackSent records a request that is sent to an endpoint; mu is held.
func (e *Engine) trackSent(a *Attempt) {
	b := getOrCreate(e.inFlight, a.hash)
	if len(b.requests) >= maxInFlight {
		b.requests = b.requests[1:]
	}
	a.sent = &sentRequest{attempt: a, id: a.Request.ID, service: a.Endpoint.Service, workspace: a.Workspace, subjects: a.Request.subjectsOf(a.Endpoint.Service, a.Workspace), startedAt: a.Endpoint.StartedAt, sentAt: e.Now(), suspect: !e.crashes.Empty() && e.crashes.Crashes(a.fingerprint()) > 0}
	b.requests = append(b.requests, a.sent)
	a.OnConnected = func() { e.trackOpened(a.sent) }
}

// trackOpened records that the connection of a request is open.
func (e *Engine) trackOpened(s *sentRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.markOpened(e.Now())
}

// trackEnded records that an attempt has ended; mu is held. A request that was answered completely is no
// longer tracked.
func (e *Engine) trackEnded(a *Attempt, now time.Time) {
	if a.harmless {
		getOrCreate(e.inFlight, a.hash).drop(a.sent)
		return
	}
	a.sent.fingerprint, a.sent.endedAt, a.sent.attempt = a.fingerprint(), now, nil
}

// fingerprintFor returns the fingerprint that repeats of a workspace's request share; the engine's mu is held.
func (r *Request) fingerprintFor(workspace string) poison.Fingerprint {
	if r.fingerprint == (poison.Fingerprint{}) {
		req := poison.Request{Method: r.Method, Host: normalizeHost(r.Host), Path: r.Path, Query: r.Target[min(len(r.Path), len(r.Target)):], Caller: workspace, Body: r.Body}
		r.fingerprint = req.Fingerprint()
	}
	return r.fingerprint
}

// fingerprint returns the fingerprint of the attempt's request; the engine's mu is held.
func (a *Attempt) fingerprint() poison.Fingerprint { return a.Request.fingerprintFor(a.Workspace) }

// fingerprint returns the fingerprint of the request; the engine's mu is held.
func (x *run) fingerprint() poison.Fingerprint {
	if x.workspace == nil {
		return x.r.fingerprintFor("")
	}
	return x.r.fingerprintFor(x.workspace.Name)
}

// sweepInFlight removes the requests whose attempts ended more than abandonedRunWindow ago, and then the
// endpoints that have neither requests nor a probe and were not found gone within crashWindow.
func (e *Engine) sweepInFlight(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for hash, b := range e.inFlight {
		b.requests = slices.DeleteFunc(b.requests, func(s *sentRequest) bool { return s.expired(now) })
		if len(b.requests) == 0 && b.probeDone == nil && now.Sub(b.goneAt) > crashWindow {
			delete(e.inFlight, hash)
		}
	}
}

// connectionLost reports whether the connection of an attempt broke off, or could not be opened. An attempt
// that the router gave up because the endpoint was silent does not count.
func connectionLost(err *fault.Error, t *attemptRecord) bool {
	return err.Kind == fault.EndpointLost && t.Outcome != outcomeSilent
}

// checkCrashed determines whether the endpoint of an attempt whose connection was lost has ended, and
// counts the crash for the requests that it may have been running. Concurrent calls for one endpoint
// share a probe.
func (e *Engine) checkCrashed(ctx context.Context, a *Attempt) {
	e.mu.Lock()
	b := getOrCreate(e.inFlight, a.hash)
	if a.harmless {
		b.drop(a.sent)
	} else {
		// The request may have run, so it was sent.
		a.sent.markOpened(a.sent.sentAt)
	}
	now := e.Now()
	a.sent.lostAt = now
	if !b.hasUncounted(now) {
		e.mu.Unlock()
		return
	}
	if now.Sub(b.goneAt) <= crashWindow && (a.harmless || a.sent.mayHaveCrashed(b.goneAt)) {
		e.countCrash(&a.Endpoint, b, now)
		e.mu.Unlock()
		return
	}
	probeDone := b.probeDone
	if probeDone == nil {
		b.probeDone = make(chan struct{})
	}
	e.mu.Unlock()
	if probeDone == nil {
		e.probeEndpoint(ctx, a.Endpoint, b)
		return
	}
	select {
	case <-probeDone:
	case <-ctx.Done():
	}
}

// probeEndpoint probes whether an endpoint has ended, for all that wait for b.probeDone, and counts the
// crash if it has.
func (e *Engine) probeEndpoint(ctx context.Context, p pool.Entry, b *inFlight) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	gone, known := e.CheckEnded(ctx, p)
	e.mu.Lock()
	defer e.mu.Unlock()
	close(b.probeDone)
	b.probeDone = nil
	if b.unansweredProbes++; known {
		b.unansweredProbes = 0
	} else if b.unansweredProbes%maxUnansweredProbes != 0 {
		e.enqueueProbe(pool.HashOf(p.ID))
	}
	switch {
	case gone:
		b.goneAt = e.Now()
		e.metrics.count("endpoints_crashed", "", p.Service)
		e.countCrash(&p, b, b.goneAt)
	case e.book.Restarted(&p):
		// What listens there now is the next process.
		e.countRestart(&p, b, e.Now())
	case known:
		e.confirmAnswers(&p, b)
	}
}

// confirmAnswers records as complete the answers that ended with their connections at an endpoint that has
// not ended since; mu is held.
func (e *Engine) confirmAnswers(p *pool.Entry, b *inFlight) {
	now := e.Now()
	b.requests = slices.DeleteFunc(b.requests, func(s *sentRequest) bool {
		if s.unconfirmed {
			e.recordSound(s, pool.HashOf(p.ID), now)
		}
		return s.unconfirmed
	})
}

// enqueueProbe queues a probe of whether an endpoint has ended, if the endpoint may be running requests
// for which its crash is to be counted; mu is held. If too many probes are pending, this one is
// dropped: later failures show the crash.
func (e *Engine) enqueueProbe(hash uint64) {
	b, p := e.inFlight[hash], e.book.ByHash(hash)
	if b == nil || p == nil || !b.hasUncounted(e.Now()) {
		return
	}
	select {
	case e.probes <- p.Entry:
	default:
	}
}

// maxPendingProbes is the maximum number of endpoints that wait for a probe.
const maxPendingProbes = 64

// WatchCrashes probes the endpoints of which peers reported failures, and those at which a request was
// dropped under which another endpoint crashed. It also judges the suspected requests. It returns nil when
// ctx is done.
func (e *Engine) WatchCrashes(ctx context.Context) error {
	judgeTimer := time.NewTimer(0)
	defer judgeTimer.Stop()
	for waiting := true; ; {
		select {
		case p := <-e.probes:
			e.handleProbe(ctx, p)
		case <-e.judgeDue:
			if !waiting {
				judgeTimer.Reset(poison.SettleDelay)
			}
			waiting = true
		case <-judgeTimer.C:
			if waiting = e.judge(); waiting {
				judgeTimer.Reset(poison.SettleDelay / 2)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// countRestart counts the end of an incarnation of an endpoint after which the next one was listed, if connections were lost
// then and no probe has found the endpoint gone, unless it was leaving; last is the entry of the one that has ended. mu is
// held.
func (e *Engine) countRestart(last *pool.Entry, b *inFlight, now time.Time) {
	if p := e.book.Get(last.ID); p == nil || p.LastLeft() {
		return
	}
	var lostAt time.Time
	for _, s := range b.requests {
		if s.counted || s.lostAt.IsZero() || s.expired(now) || !s.startedAt.Equal(last.StartedAt) {
			continue
		}
		if lostAt.IsZero() || s.lostAt.Before(lostAt) {
			lostAt = s.lostAt
		}
	}
	if lostAt.IsZero() {
		return
	}
	b.goneAt = lostAt
	e.metrics.count("endpoints_crashed", "", last.Service)
	e.countCrash(last, b, now)
}

// handleProbe probes whether an endpoint has ended, unless a probe of it is in progress.
func (e *Engine) handleProbe(ctx context.Context, p pool.Entry) {
	e.mu.Lock()
	b, now := e.inFlight[pool.HashOf(p.ID)], e.Now()
	if b == nil || b.probeDone != nil || !b.hasUncounted(now) {
		e.mu.Unlock()
		return
	}
	b.probeDone = make(chan struct{})
	e.mu.Unlock()
	e.probeEndpoint(ctx, p, b)
}

// countCrash counts the crash of an endpoint for the requests that it may have been running; mu is held.
// An endpoint that had announced that it leaves ended as planned.
func (e *Engine) countCrash(p *pool.Entry, b *inFlight, now time.Time) {
	known := e.book.Get(p.ID)
	if known == nil || known.IsLeaving() {
		return
	}
	var counted []*sentRequest
	for _, s := range b.requests {
		if s.counted || s.expired(now) || !s.mayHaveCrashed(b.goneAt) || !s.startedAt.Equal(p.StartedAt) {
			continue
		}
		s.counted = true
		if s.unconfirmed {
			e.crashes.RetractUnconfirmed(now, s.subjects)
		}
		counted = append(counted, s)
	}
	e.countCrashForParts(counted, p.Service, known.Hash(), now)
	for _, s := range counted {
		e.countCrashFor(s, p, known.Hash(), len(b.requests)-1, now)
		e.enqueueProbes(e.endpointsDropping(s.requestFingerprint(), b))
	}
}

// endpointsDropping returns the hashes of the endpoints, other than except, at which the request was dropped
// recently and which were not found to have crashed since: a dropped run can crash its endpoint without a
// failed attempt that shows it. mu is held.
func (e *Engine) endpointsDropping(p poison.Fingerprint, except *inFlight) (list []uint64) {
	for hash, b := range e.inFlight {
		matches := func(s *sentRequest) bool { return !s.counted && !s.endedAt.IsZero() && s.fingerprint == p }
		if b != except && slices.ContainsFunc(b.requests, matches) {
			list = append(list, hash)
		}
	}
	return list
}

// enqueueProbes queues a probe for each endpoint; mu is held.
func (e *Engine) enqueueProbes(hashes []uint64) {
	for _, hash := range hashes {
		e.enqueueProbe(hash)
	}
}
