// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/budget"
)

// Pattern: a slack that hundreds of routers share, each of which gets a request a second. What was
// kept for failures was more than a router's part of the slack, so that the first four requests of
// each kept any answer, however weak: the first seconds of traffic, and those after a restart of all.
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
			t.Errorf("%v routers: got %d weak answers of the first four given up, want 2 at least", routers, given)
		}
		// Failures of the requests behind them are still paid for.
		for range 6 {
			b.AddRequest(now)
		}
		if got := b.Remaining(now); got < 2 {
			t.Errorf("%v routers: left for failures: got %.1f, want 2 at least", routers, got)
		}
	}
}
