// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/epoch"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/pool"
)

// CloseZone stops sending requests to the endpoints of an availability zone until OpenZone is called.
// Requests that run there are not ended. It ignores old revisions. If the store came back with the order from an
// older copy, as restored says, a zone that was reopened since is closed after restoredCloseDelay.
func (e *Engine) CloseZone(name string, revision epoch.Revision, restored bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	if e.book.CloseZoneAt(name, revision, now, delayIf(restored, now, restoredCloseDelay)) {
		e.logZone(name, "the operator closed it")
	}
}

// OpenZone reopens an availability zone. It ignores old revisions. If the store came back without the order that
// closed it, as restored says, the zone is reopened after RestoreGrace.
func (e *Engine) OpenZone(name string, revision epoch.Revision, restored bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	if e.book.OpenZoneAt(name, revision, now, delayIf(restored, now, RestoreGrace)) {
		e.logZone(name, "the operator opened it")
	}
}

// restoredCloseDelay is how long the operator has to remove an order again that closed a zone. It is shorter
// than RestoreGrace, as an order that was just given must take effect within 5 s.
const restoredCloseDelay = config.Span(2 * time.Second)

// delayIf returns the time d after now if cond holds, else the zero time.
func delayIf(cond bool, now time.Time, d config.Span) time.Time {
	if !cond {
		return time.Time{}
	}
	return d.After(now)
}

// logZone logs that an availability zone was closed or opened, and lets requests that wait for an endpoint look
// again; mu is held.
func (e *Engine) logZone(name, why string) {
	text := "relay: An availability zone was opened."
	if e.book.IsClosed(name) {
		text = "relay: An availability zone was closed."
	} else {
		e.wakeAllWaiting()
	}
	e.Log.Info(text, zap.String("availabilityZone", name), zap.String("why", why), zap.Int("endpoints", e.book.InZone(name)), zap.Int("zonesClosed", e.book.ClosedZones()))
}

const (
	// warmupShare is the fraction of the operator's bound on an endpoint that warms up which the
	// routers share. The rest is for routers whose lists are wrong and that take too large a share:
	// with lists that lack a fifth of the routers, a share of 14 of 26 allowed requests became 19 at
	// most in the worst second of a test.
	warmupShare = 0.55
	// warmupStartDelay is how long after its start a router sends nothing to endpoints that warm up:
	// its previous incarnation may have sent to them within the same second.
	warmupStartDelay = config.Span(time.Second)
)

// setWarmups sets in the book how the endpoints of the table's services warm up.
func (e *Engine) setWarmups() {
	e.mu.Lock()
	defer e.mu.Unlock()
	t, l := e.table.Load(), e.limits.Load()
	if t == nil {
		return
	}
	for _, s := range t.Services {
		w := pool.Warmup{Duration: time.Duration(s.WarmupDuration)}
		if s.WarmupRate > 0 {
			w.Allowance = max(int(min(s.WarmupRate, warmupShare*(s.WarmupRate*l.WarmOverage+l.WarmSlack))), 1)
		}
		e.book.SetWarmup(s.Name, w)
	}
}

// updateSenders sets in the book which routers share the endpoints that warm up.
func (e *Engine) updateSenders() {
	// Not under mu, as the function takes locks that are held while the engine is called.
	s, generation, changed := e.Senders(e.sendersGeneration)
	if !changed {
		return
	}
	s.NotBefore = warmupStartDelay.After(e.startedAt)
	e.sendersGeneration = generation
	e.mu.Lock()
	defer e.mu.Unlock()
	e.book.SetSenders(s)
}

// closedZoneRetryDelay is the time after which a caller may retry if all endpoints are in closed
// availability zones: zones are closed for seconds, and callers have one more attempt.
const closedZoneRetryDelay = config.Span(time.Second)

// unavailable returns the error for a request that no endpoint accepts, with the time to retry; the engine's
// mu is held.
func (x *run) unavailable(now time.Time) *fault.Error {
	w := x.want()
	l := x.e.book.Unavailability(now, &w)
	x.limited = l.Limited > 0
	switch {
	case l.Warming > 0 || l.Limited > 0 || l.Resting > 0:
		at := retryDelay.After(now)
		if l.RetryAt.After(at) {
			at = l.RetryAt
		}
		return fault.New(fault.NoVersion, fault.NotRun, "The endpoints of the service that take requests are warming up: %d, have named a limit that is used up: %d, or have asked for rest: %d; in closed availability zones: %d.", l.Warming, l.Limited, l.Resting, l.Closed).WithRetryAt(at)
	case l.Closed > 0:
		return fault.New(fault.NoVersion, fault.NotRun, "All endpoints of the service are in closed availability zones: %d.", l.Closed).WithRetryAt(closedZoneRetryDelay.After(now))
	default:
		return fault.New(fault.NoVersion, fault.NotRun, "The service has no endpoint that takes requests.").WithRetryAt(retryDelay.After(now))
	}
}
