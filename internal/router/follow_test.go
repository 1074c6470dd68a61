// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/mirror"
	"github.com/traildrift/traildrift/internal/peers"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/pkg/epoch"
)

// TestRegisterPausesAnew registers a router that fails some times, is then registered, and loses its
// registration. The pauses after failures must begin with minRegisterBackoff again. Guards against a
// router that stays longer than needed without a registration, as an earlier outage was long.
func TestRegisterPausesAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const failures = 6
		f := peers.NewFleet("vm")
		var calls []time.Time
		r := &Router{Log: zap.NewNop(), fleet: f, mirror: mirror.New("routers"), wire: &Wire{RouterKind: "routers", Register: func(context.Context, peers.Peer) (peers.Peer, error) {
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

// A router registers again after the store came back without its registration, also if its copy of the registrations
// never had it. Guards against a router that waits for a removal that no change tells.
func TestUnseenRegistrationIsMissed(t *testing.T) {
	f := peers.NewFleet("vm")
	f.Put(peers.Peer{Name: "vm"})
	m := mirror.New("routers")
	r := &Router{Log: zap.NewNop(), fleet: f, mirror: m, wire: &Wire{RouterKind: "routers"}, settings: Settings{VM: "vm"}}
	m.Replace("routers", nil, epoch.At(1, 5), time.Now(), time.Time{})
	r.registeredIn = 1
	r.checkRegistration()
	if !f.Registered() {
		t.Error("in the epoch of the registration: got it removed")
	}
	m.Replace("routers", nil, epoch.At(2, 3), time.Now(), time.Time{})
	r.checkRegistration()
	if f.Registered() {
		t.Error("in a later epoch without the registration: got it kept")
	}
}

// A reader missed one answer of a peer, did not pull from it again, and asks it before it removes its registration.
//
// Guards against a router that takes a lost connection of its own, long past, for a peer that is gone for all.
func TestPeerThatAnswersKeepsItsRegistration(t *testing.T) {
	const token = "token-0123456789-0123456789"
	var secret peers.Secret
	secret.Set(token)
	srv := httptest.NewServer(peers.NewServer(zap.NewNop(), mirror.New("routers"), "routers", &secret))
	defer srv.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	addrOf := func(s *httptest.Server) netip.AddrPort { return s.Listener.Addr().(*net.TCPAddr).AddrPort() }
	f := peers.NewFleet("vm")
	f.Put(peers.Peer{Name: "vm"})
	long := time.Now().Add(-time.Minute)
	for name, s := range map[string]*httptest.Server{"answers": srv, "gone": gone} {
		f.Put(peers.Peer{Name: name, Addr: addrOf(s), Token: token})
		f.RecordNoAnswer(name, long)
	}
	var removed []string
	m := mirror.New("routers")
	r := &Router{Log: zap.NewNop(), fleet: f, mirror: m, puller: peers.NewPuller(zap.NewNop(), f, m, "routers", "routers"), wire: &Wire{RouterKind: "routers", Unregister: func(_ context.Context, p peers.Peer) error {
		removed = append(removed, p.Name)
		return nil
	}}}
	r.removeSilentPeers(t.Context())
	if want := []string{"gone"}; !slices.Equal(removed, want) {
		t.Errorf("registrations removed: got %v, want %v", removed, want)
	}
}

// An epoch that another router told reaches the client of the store.
//
// Guards against a write under a condition of an earlier epoch by a router that has not called the store since the
// store came back.
func TestStoreClientLearnsEpochsOfOtherRouters(t *testing.T) {
	var got []int64
	w := &Wire{
		ConfigKind: "config", ClosingKind: "closing", VerdictKind: "verdicts", TrialKind: "trials", EndpointKind: "endpoints", RouterKind: "routers",
		OnStoreCall: func(func(StoreCall)) {}, OnUnreadable: func(func(Unreadable)) {}, ObserveEpoch: func(e int64) { got = append(got, e) },
	}
	r, err := New("", Settings{VM: "vm", Peers: netip.MustParseAddrPort("127.0.0.1:0")}, w)
	if err != nil {
		t.Fatal(err)
	}
	r.mirror.ObserveEpoch(3)
	if want := []int64{3}; !slices.Equal(got, want) {
		t.Errorf("epochs told to the client: got %v, want %v", got, want)
	}
}
