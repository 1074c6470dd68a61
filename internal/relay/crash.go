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

// CheckEnded reports whether nothing listens at an endpoint's address any more: a connection is
// refused there. known is false where nothing came back: a VM that is silent or cut off, or
// a packet that was lost.
type CheckEnded func(ctx context.Context, p pool.Entry) (gone, known bool)

const (
	// crashWindow is how long after an endpoint was found gone what breaks off there is put
	// down to the same crash. Endpoints are back after a second at the earliest.
	crashWindow = time.Second
	// abandonedRunWindow is how long after its last attempt was left a request may still be what
	// crashes the endpoint: a run that the router dropped does so as well, also one that
	// waited there, for half a second in a busy service.
	abandonedRunWindow = 2500 * time.Millisecond
	// probeTimeout bounds the question whether an endpoint is gone, which a failed request
	// waits for: a refusal takes as long as a connection, 4 ms between zones.
	probeTimeout = 100 * time.Millisecond
	// maxUnansweredProbes is how often that is asked before it stays open: of four, one comes back
	// where each packet is lost with a chance of three in ten.
	maxUnansweredProbes = 4
	// maxInFlight bounds the requests that are remembered of one endpoint; the users'
	// endpoints run 64 at a time, some of which have just ended.
	maxInFlight = 256
)

// sentRequest is a request at an endpoint, from when it was sent until a while after it was left.
type sentRequest struct {
	// attempt is the attempt while it is under way, then nil: it holds the body.
	attempt *Attempt
	// id and fingerprint name the request; fingerprint is zero while it is under way.
	id          string
	fingerprint poison.Fingerprint
	// sentAt is when it was sent.
	sentAt time.Time
	// openedAt is when its connection was open; zero before. Nothing of it was at the endpoint
	// until then.
	openedAt time.Time
	// endedAt is when it was left without a whole answer; zero while it is under way.
	endedAt time.Time
	// counted says that the endpoint's crash was counted for it.
	counted bool
	// suspect says that an endpoint crashed under it before.
	suspect bool
}

// requestFingerprint returns the fingerprint of the request.
func (s *sentRequest) requestFingerprint() poison.Fingerprint {
	if s.attempt != nil {
		return s.attempt.fingerprint()
	}
	return s.fingerprint
}

// markOpened notes that its connection is open, unless that is known.
func (s *sentRequest) markOpened(now time.Time) {
	if s.openedAt.IsZero() {
		s.openedAt = now
	}
}

// mayHaveCrashed reports whether it may be what crashed the endpoint that was found gone at a time. One that
// was still opening its connection then is not: it would be blamed for a crash that it came after.
func (s *sentRequest) mayHaveCrashed(goneAt time.Time) bool {
	return !s.openedAt.IsZero() && !s.openedAt.After(goneAt)
}

// expired reports whether it was left too long ago to be what crashes the endpoint.
func (s *sentRequest) expired(now time.Time) bool {
	return !s.endedAt.IsZero() && now.Sub(s.endedAt) > abandonedRunWindow
}

// inFlight is what an endpoint may be running.
type inFlight struct {
	requests []*sentRequest
	// goneAt is when the endpoint was found gone; zero for never.
	goneAt time.Time
	// probeDone is closed once the question whether it is gone is answered; nil if nobody
	// asks.
	probeDone chan struct{}
	// unansweredProbes is how often that was unansweredProbes in a row without anything coming back.
	unansweredProbes int
}

// hasUncounted reports whether there are requests that the endpoint's crash was not counted for.
func (b *inFlight) hasUncounted(now time.Time) bool {
	return slices.ContainsFunc(b.requests, func(s *sentRequest) bool { return !s.counted && s.mayHaveCrashed(now) && !s.expired(now) })
}

// drop takes a request out.
func (b *inFlight) drop(s *sentRequest) {
	b.requests = slices.DeleteFunc(b.requests, func(q *sentRequest) bool { return q == s })
}

// trackSent notes a request that is sent to an endpoint; mu is held.
func (e *Engine) trackSent(a *Attempt) {
	b := getOrCreate(e.inFlight, a.hash)
	if len(b.requests) >= maxInFlight {
		b.requests = b.requests[1:]
	}
	a.sent = &sentRequest{attempt: a, id: a.Request.ID, sentAt: e.Now(), suspect: !e.crashes.Empty() && e.crashes.Crashes(a.fingerprint()) > 0}
	b.requests = append(b.requests, a.sent)
	a.OnConnected = func() { e.trackOpened(a.sent) }
}

// trackOpened notes that the connection of a request is open.
func (e *Engine) trackOpened(s *sentRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.markOpened(e.Now())
}

// trackEnded notes that an attempt has ended; mu is held.
func (e *Engine) trackEnded(a *Attempt, now time.Time) {
	if a.harmless {
		getOrCreate(e.inFlight, a.hash).drop(a.sent)
		return
	}
	a.sent.fingerprint, a.sent.endedAt, a.sent.attempt = a.fingerprint(), now, nil
}

// fingerprintFor returns what repeats of a workspace's request have in common; the engine's mu is held.
func (r *Request) fingerprintFor(workspace string) poison.Fingerprint {
	if r.fingerprint == (poison.Fingerprint{}) {
		req := poison.Request{Method: r.Method, Host: normalizeHost(r.Host), Path: r.Path, Query: r.Target[min(len(r.Path), len(r.Target)):], Caller: workspace, Body: r.Body}
		r.fingerprint = req.Fingerprint()
	}
	return r.fingerprint
}

// fingerprint returns that of the attempt's request; mu is held.
func (a *Attempt) fingerprint() poison.Fingerprint { return a.Request.fingerprintFor(a.Workspace) }

// fingerprint returns that of the request; the engine's mu is held.
func (x *run) fingerprint() poison.Fingerprint {
	if x.workspace == nil {
		return x.r.fingerprintFor("")
	}
	return x.r.fingerprintFor(x.workspace.Name)
}

// sweepInFlight forgets what was left a while ago.
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

// connectionLost reports whether an attempt's connection ended by itself, or could not be opened.
func connectionLost(err *fault.Error, t *attemptRecord) bool {
	return err.Kind == fault.EndpointLost && t.Outcome != outcomeSilent
}

// checkCrashed finds out whether the endpoint of an attempt that broke off has ended, and counts
// that for the requests that it may have been running. Those that ask at once ask together.
func (e *Engine) checkCrashed(ctx context.Context, a *Attempt) {
	e.mu.Lock()
	b := getOrCreate(e.inFlight, a.hash)
	if a.harmless {
		b.drop(a.sent)
	} else {
		// What may have run was sent.
		a.sent.markOpened(a.sent.sentAt)
	}
	now := e.Now()
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

// probeEndpoint asks whether an endpoint has ended, for all who ask, and counts it if it has.
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
	if gone {
		b.goneAt = e.Now()
		e.metrics.count("endpoints_crashed", "", p.Service)
		e.countCrash(&p, b, b.goneAt)
	}
}

// enqueueProbe has it asked whether an endpoint has ended, if it may be running what that would be
// counted for; mu is held. Where too many wait already, it is left out: what follows shows it.
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

// maxPendingProbes bounds the endpoints that wait for that.
const maxPendingProbes = 64

// WatchCrashes asks whether endpoints have ended that others found failing, or at which a request
// was dropped under which another one crashed, and judges the requests that are suspected, until
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

// handleProbe asks whether an endpoint has ended, unless that is being asked.
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

// countCrash counts the crash of an endpoint for the requests that it may have been running; mu
// is held. One that was about to leave has ended as planned.
func (e *Engine) countCrash(p *pool.Entry, b *inFlight, now time.Time) {
	known := e.book.Get(p.ID)
	if known == nil || known.IsLeaving() {
		return
	}
	for _, s := range b.requests {
		if s.counted || s.expired(now) || !s.mayHaveCrashed(b.goneAt) {
			continue
		}
		s.counted = true
		e.countCrashFor(s, p, known.Hash(), len(b.requests)-1, now)
		e.enqueueProbes(e.endpointsDropping(s.requestFingerprint(), b))
	}
}

// endpointsDropping returns the endpoints, by their hashes, other than but, at which a request was dropped a
// moment ago and which were not found to have crashed since: a run that was dropped crashes its endpoint
// unseen. mu is held.
func (e *Engine) endpointsDropping(p poison.Fingerprint, except *inFlight) (list []uint64) {
	for hash, b := range e.inFlight {
		matches := func(s *sentRequest) bool { return !s.counted && !s.endedAt.IsZero() && s.fingerprint == p }
		if b != except && slices.ContainsFunc(b.requests, matches) {
			list = append(list, hash)
		}
	}
	return list
}

// enqueueProbes has it asked whether endpoints have ended; mu is held.
func (e *Engine) enqueueProbes(hashes []uint64) {
	for _, hash := range hashes {
		e.enqueueProbe(hash)
	}
}
