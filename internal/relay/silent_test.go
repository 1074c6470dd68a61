// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/fault"
)

// An attempt that fails just as its endpoint has been silent for too long is followed by another one: the
// caller is still there.
//
// Seen: a test of attempts answered 499 after one attempt, on a busy machine. How: the attempt was lost and
// its bound on silence passed between two looks at its context, of which the first asked why it had
// ended and the second whether. Cause: an end without a reason was taken for the caller's leaving.
func TestFailureAtSilenceTimeoutIsNotCallerGone(t *testing.T) {
	const passesWithin = 60 * time.Microsecond
	lost := fault.New(fault.EndpointLost, fault.MayHaveRun, "lost")
	var gone atomic.Int64
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 1000 {
				e := engine(Route{Kind: Safe, MaxAttempts: 3}, func(context.Context, *Attempt) (*Reply, error) {
					// The bound on silence is none here: it passes about now.
					for until := time.Now().Add(rand.N(passesWithin)); time.Now().Before(until); {
						runtime.Gosched()
					}
					return nil, lost
				})
				w := httptest.NewRecorder()
				e.Serve(t.Context(), w, &Request{ID: "x", Method: "GET", Host: "h", Path: "/", Target: "/", Header: http.Header{}, Arrived: time.Now()})
				if w.Code == 499 {
					gone.Add(1)
				}
			}
		})
	}
	callers.Wait()
	if got := gone.Load(); got > 0 {
		t.Errorf("told that the caller has left: got %d, want none", got)
	}
}
