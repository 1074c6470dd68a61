// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/epoch"
	"github.com/traildrift/traildrift/pkg/pool"
)

// Endpoints lapse in an outage, and a router loses the store alone before it hears whether they are back. It uses them
// until it hears.
//
// Guards against a router without an endpoint after an outage, though all are listed again.
func TestLapsedEndpointIsKeptUntilTheListIsKnown(t *testing.T) {
	e := New(zap.NewNop(), tally.NoopScope, Limits{})
	began := time.Now()
	now, knownUntil := began, began.Add(time.Second)
	e.Now, e.EndpointsKnownUntil = func() time.Time { return now }, func() time.Time { return knownUntil }
	e.PutEndpoint(pool.Entry{ID: "back", Service: "s", Revision: epoch.At(1, 1), ReceivedAt: now})
	e.PutEndpoint(pool.Entry{ID: "gone", Service: "s", Revision: epoch.At(1, 1), ReceivedAt: now})
	for _, id := range []string{"back", "gone"} {
		e.RemoveEndpoint(id, epoch.At(1, 5), began.Add(2*time.Second))
	}
	serving := func() int {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.book.Serving("s", now)
	}
	for ; now.Before(began.Add(5 * time.Second)); now = now.Add(maintenanceInterval) {
		e.expire()
		if got := serving(); got != 2 {
			t.Fatalf("endpoints in use %v after the outage: got %d, want 2", now.Sub(began), got)
		}
	}
	knownUntil = now.Add(time.Hour)
	e.PutEndpoint(pool.Entry{ID: "back", Service: "s", Revision: epoch.At(1, 6), ReceivedAt: now})
	now = now.Add(maintenanceInterval * unknownGraceTicks)
	e.expire()
	if got := serving(); got != 1 {
		t.Errorf("endpoints in use once the list is known: got %d, want 1", got)
	}
}

// Guards against a router that stops for good: the mirror calls PutEndpoint with its own lock held, so that asking it with
// the engine's lock held deadlocks.
func TestListIsAskedForWithoutTheLock(t *testing.T) {
	e := New(zap.NewNop(), tally.NoopScope, Limits{})
	asked := false
	e.EndpointsKnownUntil = func() time.Time {
		if asked = e.mu.TryLock(); asked {
			e.mu.Unlock()
		}
		return time.Now()
	}
	e.expire()
	if !asked {
		t.Error("EndpointsKnownUntil was called with the engine's lock held")
	}
}
