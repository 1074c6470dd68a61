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

// An attempt that fails just as its silence timeout fires must be followed by another one, as the
// caller is still there. The failure: on a busy machine, a request was answered with 499 after one
// attempt. The timeout fired between two reads of the attempt's context, of which the first asked
// for the cause of its end and the second whether it had ended. An end without a cause was then
// taken for the caller having left.
func TestFailureAtSilenceTimeoutIsNotCallerGone(t *testing.T) {
	const passesWithin = 60 * time.Microsecond
	lost := fault.New(fault.EndpointLost, fault.MayHaveRun, "lost")
	var gone atomic.Int64
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 1000 {
				e := engine(Route{Kind: Safe, MaxAttempts: 3}, func(context.Context, *Attempt) (*Reply, error) {
					// The silence timeout of the route is 0, so that it fires about now.
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
		t.Errorf("answers with status 499: got %d, want none", got)
	}
}
