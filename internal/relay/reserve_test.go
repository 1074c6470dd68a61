// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/budget"
)

// Hundreds of routers with a request a second each share the slack of the retry budget. The reserve
// for failures must not exceed a router's part of the slack: otherwise the first four requests of
// each router keep any answer, however weak, in the first seconds of traffic and after a restart of
// all routers.
func TestFirstWeakAnswersAreDropped(t *testing.T) {
	const ratio, slack, window = 0.9, 1040.0, 10 * time.Second
	for _, routers := range []float64{6, 26, 384, 768, 4000} {
		var b budget.Window
		b.SetLimits(window, ratio*retryRatioShare, slack*retrySlackShare/routers)
		now, given := time.Unix(1000, 0), 0
		for range 4 {
			b.AddRequest(now)
			if b.Take(now, reserveFor(b.Allowed(now))) {
				given++
			}
			now = now.Add(time.Second)
		}
		if given < 2 {
			t.Errorf("%v routers: got %d of the first four weak answers dropped, want 2 at least", routers, given)
		}
		// Failures of the next requests can still be paid for.
		for range 6 {
			b.AddRequest(now)
		}
		if got := b.Remaining(now); got < 2 {
			t.Errorf("%v routers: attempts left for failures: got %.1f, want 2 at least", routers, got)
		}
	}
}
