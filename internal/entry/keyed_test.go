// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/traildrift/traildrift/internal/proc"
)

// TestSweepUpdatesGauge checks that the metric under_way shows the tasks in flight. Guards against a
// gauge that is registered and always 0.
func TestSweepUpdatesGauge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scope := tally.NewTestScope("", nil)
		e := &Entry{Proc: &proc.Proc{Now: time.Now}, startedAt: time.Now(), counts: counts{inFlight: scope.Gauge("under_way")}}
		e.inFlight.Store(3)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- e.sweep(ctx) }()
		time.Sleep(time.Duration(sweepInterval) + time.Millisecond)
		cancel()
		<-ended
		if g, ok := scope.Snapshot().Gauges()["under_way+"]; !ok || g.Value() != 3 {
			t.Errorf("under_way: got %v, want 3", g)
		}
	})
}
