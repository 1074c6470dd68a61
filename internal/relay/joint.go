// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/stall"
)

// silenceWatch observes one attempt for joint detection of silent endpoints. The engine's mu guards the fields
// that change.
type silenceWatch struct {
	stream  stall.Stream
	route   *Route
	service string
	// cancel ends the attempt.
	cancel context.CancelCauseFunc
	// retryable says that the request may be attempted once more, if the budget allows that.
	retryable bool
	// gotHead says that the head of an answer was received.
	gotHead bool
	// ended says that the attempt was ended as its endpoint is silent; it is never reset.
	ended bool
}

// errJointSilent is the cause of ending an attempt whose endpoint several routers found silent. It is an
// errSilent.
var errJointSilent = errors.Wrap(errSilent, "relay: several routers found the endpoint silent")

const (
	// silenceCheckInterval is the interval of WatchSilence. It delays detection, which has to leave time to
	// read a prompt again within pauses of 1.5 s, by a fifteenth of that at most. With 25 ms, routers used a fifth
	// more processor time.
	silenceCheckInterval = 100 * time.Millisecond
	// silenceResumeWindow is how long after a stall of the process pauses say nothing of endpoints: packets
	// that were lost meanwhile are sent again within 0.2 s.
	silenceResumeWindow = 300 * time.Millisecond
)

// newSilenceDetector returns the detector of silent endpoints. Its functions are called with mu held.
func (e *Engine) newSilenceDetector() *stall.Detector {
	return stall.NewDetector(func(service string) int { return e.book.Size(service) }, func() int { return e.RouterCount() }, e.applySilence)
}

// WatchSilence looks for silent endpoints until ctx is done. It always returns nil. Until the first attempt is
// observed, it does nothing.
func (e *Engine) WatchSilence(ctx context.Context) error {
	select {
	case <-e.silenceUsed:
	case <-ctx.Done():
		return nil
	}
	t := time.NewTicker(silenceCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.checkSilence(e.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

// checkSilence looks for silent endpoints once.
func (e *Engine) checkSilence(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stalls.Resuming(silenceResumeWindow) {
		e.silence.Suspend(now)
	}
	e.silence.Tick(now)
}

// receiveSilence applies a report of the router at address by that the streams of an endpoint have
// stopped. The caller must hold the engine's mu.
func (e *Engine) receiveSilence(by netip.Addr, endpoint uint64) {
	p := e.book.ByHash(endpoint)
	if p == nil || !e.enabled(JointSilence, p.Service) {
		return
	}
	e.metrics.count("silence_reports", p.Service, "received")
	e.silence.Report(e.Now(), endpoint, p.Service, by)
}

// applySilence informs the other routers and has an endpoint probed, as a verdict says. The caller must
// hold the engine's mu.
func (e *Engine) applySilence(v stall.Verdict) {
	p := e.book.ByHash(v.Endpoint)
	if p == nil || !e.enabled(JointSilence, p.Service) {
		return
	}
	if v.Inform {
		e.metrics.count("silence_reports", p.Service, "sent")
		e.SendEndpointReport(EndpointReport{Endpoint: v.Endpoint, Silent: true, OtherZones: true})
	}
	if !v.Silent {
		return
	}
	select {
	case e.silenceProbes <- silenceProbe{p.Entry, v}:
	default:
		// Too many probes are pending; the streams are left to their timers.
	}
}

// silenceProbe is an endpoint that was found silent and is to be probed before its attempts are ended.
type silenceProbe struct {
	endpoint pool.Entry
	verdict  stall.Verdict
}

const (
	// silenceProbers is the number of endpoints that are probed at a time: a quarter of 40 endpoints may
	// fall silent within 0.4 s.
	silenceProbers = 10
	// silenceProbeTimeout is how long a probe waits for the connection, which takes 4 ms between
	// availability zones. With the threshold of overdue streams it leaves a third of a pause of 1.5 s to read
	// the prompt again.
	silenceProbeTimeout = 250 * time.Millisecond
	// silenceProbeCount is the number of connections that a probe opens at once: a single one is not answered in
	// time if its first packet is lost.
	silenceProbeCount = 2
)

// ProbeSilence probes the endpoints that were found silent, until ctx is done. An endpoint that reads long prompts
// sends no events for a second and more, as one does whose VM is lost; only the latter accepts no connection. It
// always returns nil.
func (e *Engine) ProbeSilence(ctx context.Context) error {
	ended := make(chan struct{}, silenceProbers)
	for range silenceProbers {
		go func() {
			defer func() { ended <- struct{}{} }()
			for {
				select {
				case q := <-e.silenceProbes:
					e.probeSilence(ctx, q)
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	for range silenceProbers {
		<-ended
	}
	return nil
}

// probeSilence probes an endpoint, and ends its attempts if it accepts no connection.
func (e *Engine) probeSilence(ctx context.Context, q silenceProbe) {
	answers := make(chan bool, silenceProbeCount)
	probe, cancel := context.WithTimeout(ctx, silenceProbeTimeout)
	defer cancel()
	for range silenceProbeCount {
		go func() {
			_, known := e.CheckEnded(probe, q.endpoint)
			answers <- known
		}()
	}
	answered := false
	for range silenceProbeCount {
		answered = <-answers || answered
	}
	if ctx.Err() != nil {
		return
	}
	now := e.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyProbe(now, q, answered)
}

// applyProbe ends the attempts at an endpoint that was found silent, unless a probe was answered or the endpoint has
// been heard since. The caller must hold the engine's mu.
func (e *Engine) applyProbe(now time.Time, q silenceProbe, answered bool) {
	p := e.book.ByHash(q.verdict.Endpoint)
	if answered {
		e.silence.Heard(now, q.verdict.Endpoint)
		e.metrics.count("silent_endpoints", q.endpoint.Service, "answered")
		return
	}
	if p == nil || !e.silence.IsSilent(q.verdict.Endpoint) {
		return
	}
	moved, kept := e.endSilentAttempts(q.verdict.Endpoint, now)
	p.Trust.RecordSilence(now)
	e.metrics.count("silent_endpoints", p.Service, "found")
	if e.logLimits.notices.AllowN(now, 1) {
		e.Log.Info("relay: An endpoint is silent, as several routers observed.", zap.String("endpoint", p.ID), zap.String("service", p.Service),
			zap.Int("reporters", q.verdict.Reporters), zap.Int64("quietMs", q.verdict.Quiet.Milliseconds()), zap.Int("moved", moved), zap.Int("kept", kept))
	}
}

// endSilentAttempts ends the attempts at a silent endpoint that may continue elsewhere, and returns their number and
// that of the others, whose endpoint may come back. The caller must hold the engine's mu: canceling a context
// runs no code that takes it.
func (e *Engine) endSilentAttempts(endpoint uint64, now time.Time) (moved, kept int) {
	b := e.inFlight[endpoint]
	if b == nil {
		return 0, 0
	}
	for _, s := range b.requests {
		switch {
		case s.attempt == nil || s.attempt.watch == nil || s.attempt.watch.ended:
		case s.attempt.watch.mayContinue() && s.attempt.leaving.decide(LivenessUnknown, now) == "":
			w := s.attempt.watch
			w.ended = true
			w.cancel(errJointSilent)
			moved++
		default:
			kept++
		}
	}
	return moved, kept
}

// mayContinue reports whether the request may continue at another endpoint.
func (w *silenceWatch) mayContinue() bool { return w.retryable && (!w.gotHead || w.route.resumable()) }

// watchAttempt observes an attempt if the mechanism is in use; cancel ends the attempt.
func (x *run) watchAttempt(a *Attempt, cancel context.CancelCauseFunc) {
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	x.watch = nil
	if !x.e.enabled(JointSilence, x.service) {
		return
	}
	x.e.startSilence.Do(func() { close(x.e.silenceUsed) })
	a.watch = &silenceWatch{
		stream: stall.Stream{Endpoint: a.hash, Service: x.service, Model: a.Model, Pause: time.Duration(x.route.EventAim), Pace: a.paceFactor, Passive: x.route.Kind != Stream || a.warming},
		route:  x.route, service: x.service, cancel: cancel,
		retryable: x.mayTryAgain(),
	}
	x.watch = a.watch
	x.e.silence.Add(x.e.Now(), &a.watch.stream)
}

// sendWatched sends an attempt and observes it until it ends. Its error is errJointSilent if the attempt was ended
// while its head arrived.
func (x *run) sendWatched(ctx context.Context, a *Attempt, cancel context.CancelCauseFunc) (*Reply, error) {
	x.watchAttempt(a, cancel)
	reply, err := x.e.Send(ctx, a)
	if err != nil {
		x.e.stopObserving(a)
		return nil, err
	}
	if !x.e.recordReceived(a) {
		_ = reply.Body.Close()
		return nil, errJointSilent
	}
	return reply, nil
}

// readWatched reads from a stream. What arrives after the attempt was ended is dropped, as the stream continues
// elsewhere after the last event that was passed on; the error is errJointSilent then.
func (x *run) readWatched(a *Attempt, body io.Reader, buf []byte) (n int, err error) {
	n, err = body.Read(buf)
	if n > 0 && !x.e.recordReceived(a) {
		return 0, errJointSilent
	}
	if err != nil {
		x.e.stopObserving(a)
	}
	return n, err
}

// recordReceived records that the head of an attempt or a part of its stream was received. It reports whether the
// attempt goes on; false if it was ended as its endpoint was silent.
func (e *Engine) recordReceived(a *Attempt) bool {
	w := a.watch
	if w == nil {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.gotHead = true
	now := e.Now()
	if r := e.silence.Receive(now, &w.stream); r.After > 0 {
		e.recordHeardAgain(a, r, now)
	}
	return !w.ended
}

// recordHeardAgain records that an endpoint that was found silent was heard. The caller must hold the engine's
// mu.
func (e *Engine) recordHeardAgain(a *Attempt, r stall.Recovery, now time.Time) {
	p := e.book.ByHash(a.hash)
	if p == nil {
		return
	}
	p.Trust.RecordHeard(now)
	outcome := "heard"
	if r.FalseAlarm {
		outcome = "falseAlarm"
	}
	e.metrics.count("silent_endpoints", p.Service, outcome)
	if e.logLimits.notices.AllowN(now, 1) {
		e.Log.Info("relay: A silent endpoint was heard again.", zap.String("endpoint", p.ID), zap.String("service", p.Service), zap.Int64("afterMs", r.After.Milliseconds()), zap.Bool("falseAlarm", r.FalseAlarm))
	}
}

// awaitNext records that what was received of a stream was passed on, and that more is awaited.
func (e *Engine) awaitNext(a *Attempt) {
	if a.watch == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silence.Wait(e.Now(), &a.watch.stream)
}

// stopObserving records that nothing more will be received of an attempt.
func (e *Engine) stopObserving(a *Attempt) {
	if a.watch == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silence.Remove(e.Now(), &a.watch.stream)
}

// endObservation ends the observation of an attempt that has ended, and returns an extra attempt that was taken for it
// and not made. The caller must hold the engine's mu.
func (e *Engine) endObservation(a *Attempt, now time.Time) {
	if a.leaving != nil {
		a.leaving.refund(now)
	}
	if a.watch != nil {
		e.silence.Remove(now, &a.watch.stream)
	}
}
