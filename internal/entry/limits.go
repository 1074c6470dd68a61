// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

// retryBurst is the capacity of a workspace's retry budget, in retries.
const retryBurst = 10

// limits holds the request rate, the concurrency and the retry budget of each workspace.
type limits struct {
	mu sync.Mutex
	m  map[string]*limit
}

// limit is the state of one workspace.
type limit struct {
	// rate is the token bucket for requests; nil until the first request.
	rate *rate.Limiter
	// inFlight is the number of requests in flight. acquire adds one only below the
	// concurrency setting at that time.
	inFlight int
	// budget is the number of retries that may be made, from 0 to retryBurst.
	budget float64
}

// burstOf returns the burst size, in requests, for a rate per second: the requests of one
// second, and at least 1.
func burstOf(perSecond float64) int { return max(1, int(perSecond)) }

// of returns the state of a workspace and adds it if there is none; l.mu is held.
func (l *limits) of(workspace string) *limit {
	if l.m == nil {
		l.m = make(map[string]*limit)
	}
	w, ok := l.m[workspace]
	if !ok {
		w = &limit{budget: retryBurst}
		l.m[workspace] = w
	}
	return w
}

// setRate applies the rate setting, in requests per second. A new limiter starts with a
// full burst.
func (w *limit) setRate(now time.Time, perSecond float64) {
	want := rate.Limit(perSecond)
	if w.rate == nil {
		w.rate = rate.NewLimiter(want, burstOf(perSecond))
	}
	if w.rate.Limit() != want {
		w.rate.SetLimitAt(now, want)
		w.rate.SetBurstAt(now, burstOf(perSecond))
	}
}

// acquire admits a request of the workspace, or returns fault.RateLimited with the time for
// a retry. Each admitted request adds RetryShare to the retry budget. The caller must call
// release for an admitted request.
func (l *limits) acquire(now time.Time, workspace string, v *config.Values) *fault.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.of(workspace)
	w.setRate(now, *v.RequestRate)
	if w.inFlight >= *v.Concurrency {
		return fault.New(fault.RateLimited, fault.NotRun, "The workspace has %d requests under way.", w.inFlight).WithRetryAt(defaultRetryAfter.After(now))
	}
	r := w.rate.ReserveN(now, 1)
	if !r.OK() {
		return fault.New(fault.RateLimited, fault.NotRun, "The workspace may send no requests.").WithRetryAt(defaultRetryAfter.After(now))
	}
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return fault.New(fault.RateLimited, fault.NotRun, "The workspace sends too many requests.").WithRetryAt(now.Add(wait))
	}
	w.inFlight++
	w.budget = min(w.budget+*v.RetryShare, retryBurst)
	return nil
}

// release ends a request that acquire admitted.
func (l *limits) release(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(workspace).inFlight--
}

// takeRetry takes one retry from the workspace's budget and reports whether there was one.
func (l *limits) takeRetry(workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.of(workspace)
	if w.budget < 1 {
		return false
	}
	w.budget--
	return true
}
