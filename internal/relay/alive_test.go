// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Each caller gets the result of a check that began after it came, there is one check of an endpoint at a time, and many
// callers share one.
//
// Guards against an answer whose end is confirmed by what the endpoint said before it, and against a check for each of
// many answers that end at one moment.
func TestAliveChecksBeginAfterTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l aliveChecks
		var mu sync.Mutex
		checks, running := 0, 0
		var began time.Time
		check := func(context.Context) Liveness {
			mu.Lock()
			checks++
			if running++; running > 1 {
				t.Error("checks at a time: got 2, want 1")
			}
			began = time.Now()
			mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			running--
			return Alive
		}
		var calls sync.WaitGroup
		const n = 200
		for i := range n {
			calls.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Microsecond)
				came := time.Now()
				got := l.do(t.Context(), 1, check)
				mu.Lock()
				defer mu.Unlock()
				if got != Alive || began.Before(came) {
					t.Errorf("call %d: got %s by a check from %v before it", i, got, came.Sub(began))
				}
			})
		}
		calls.Wait()
		if checks > 4 {
			t.Errorf("checks for %d calls within 20 ms: got %d, want 4 at most", n, checks)
		}
		if len(l.running)+len(l.next) > 0 {
			t.Errorf("checks kept: got %d, want none", len(l.running)+len(l.next))
		}
	})
}

// A caller whose request ends does not wait for a check, which others may share.
func TestAliveCheckEndsWithTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l aliveChecks
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		start := time.Now()
		got := l.do(ctx, 1, func(context.Context) Liveness {
			time.Sleep(time.Second)
			return Alive
		})
		if took := time.Since(start); got != LivenessUnknown || took > time.Millisecond {
			t.Errorf("got %s after %v, want %s after 1ms", got, took, LivenessUnknown)
		}
		time.Sleep(time.Second) // until the check has ended
	})
}
