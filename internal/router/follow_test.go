// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/peers"
	"github.com/traildrift/traildrift/internal/store"
)

// TestRegisterPausesAnew registers a router that fails some times, is then registered, and loses its
// registration. The pauses after failures must begin with minRegisterBackoff again. Guards against a
// router that stays longer than needed without a registration, as an earlier outage was long.
func TestRegisterPausesAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const failures = 6
		f := peers.NewFleet("vm")
		var calls []time.Time
		r := &Router{Log: zap.NewNop(), fleet: f, wire: &Wire{Register: func(context.Context, peers.Peer) (peers.Peer, error) {
			calls = append(calls, time.Now())
			if len(calls) == failures {
				f.Put(peers.Peer{Name: "vm"})
			}
			return peers.Peer{}, store.ErrUnavailable
		}}}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.register(ctx) }()
		time.Sleep(10 * time.Second)
		f.Remove("vm")
		time.Sleep(5 * time.Second)
		cancel()
		<-ended
		if len(calls) < failures+2 {
			t.Fatalf("got %d registrations, want %d at least", len(calls), failures+2)
		}
		if got, want := calls[failures-1].Sub(calls[failures-2]), time.Duration(maxRegisterBackoff); got != want {
			t.Errorf("pause after %d failures: got %v, want %v", failures-1, got, want)
		}
		if got, want := calls[failures+1].Sub(calls[failures]), time.Duration(minRegisterBackoff); got != want {
			t.Errorf("pause after the first failure since the registration: got %v, want %v", got, want)
		}
	})
}
