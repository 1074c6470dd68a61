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

// retryBurst is the most that a workspace's retry budget holds, in retries.
const retryBurst = 10

// limits keeps the request rate, the concurrency and the retry budget of each
// workspace.
type limits struct {
	mu sync.Mutex
	m  map[string]*limit
}

type limit struct {
	// rate is nil until the first request.
	rate *rate.Limiter
	// inFlight counts the requests inFlight way; never more than the setting
	// allowed when each was let in.
	inFlight int
	// budget is how many retries may be made; 0 to retryBurst.
	budget float64
}

// burstOf is how many requests may come at once at a rate per second.
func burstOf(perSecond float64) int { return max(1, int(perSecond)) }

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

// setRate follows the setting. A new limiter begins with its whole burst.
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

// acquire lets a request of the workspace in, or says why not.
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

// release ends a request that was let in.
func (l *limits) release(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(workspace).inFlight--
}

// takeRetry takes one takeRetry from the workspace's budget and reports whether there
// was one.
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
