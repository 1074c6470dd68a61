// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/mirror"
	"github.com/traildrift/traildrift/pkg/mixer"
)

// fleetOf returns a fleet of n routers in six availability zones, most of them with little CPU.
func fleetOf(n int) *Fleet {
	f := NewFleet("")
	for i := range n {
		p := Peer{Name: fmt.Sprint("r-", i), Zone: fmt.Sprint("zone-", i%6), Millicores: 144}
		if i%20 < 2 {
			p.Millicores = 1600
		}
		f.Put(p)
	}
	return f
}

// TestStoreReadersDoNotGrowWithTheFleet guards against a number of readers in proportion to the
// fleet: with one reader in forty of hundreds of routers, each reading the whole store, the calls
// to the store grow with the fleet. Up to 3,200 routers there are two readers, and no source has
// too many pullers.
func TestStoreReadersDoNotGrowWithTheFleet(t *testing.T) {
	now := time.Now()
	for _, c := range []struct{ routers, readers, relays int }{
		{2, 2, 0}, {30, 2, 0}, {119, 2, 0}, {120, 2, 3}, {384, 2, 9}, {768, 2, 19}, {1600, 2, 40}, {4000, 2, 100},
	} {
		f := fleetOf(c.routers)
		readers, relays := 0, 0
		for _, p := range f.ranked()[:min(c.routers, 2*(c.readers+c.relays))] {
			f.self = p.Name
			if f.ReadsStore(now) {
				readers++
			}
			if f.IsRelay(now) {
				relays++
			}
		}
		// In large fleets a sample of the routers stands for all.
		pullers, sampled := make(map[string]int), rand.New(rand.NewPCG(1, 2)).Perm(c.routers)
		sampled = sampled[:min(c.routers, 384)]
		for _, i := range sampled {
			f.self = fmt.Sprint("r-", i)
			if f.ReadsStore(now) {
				continue
			}
			if p, ok := f.PickPeer(now, mixer.Mix(uint64(i)), false); ok {
				pullers[p.Name]++
			}
		}
		if readers != c.readers || relays != c.relays {
			t.Errorf("%d routers: got %d readers and %d relays, want %d and %d", c.routers, readers, relays, c.readers, c.relays)
		}
		for name, n := range pullers {
			if n *= c.routers / len(sampled); n > 3*maxPullersPerSource {
				t.Errorf("%d routers: %s is the source of %d, want %d at most", c.routers, name, n, 3*maxPullersPerSource)
			}
		}
	}
}

// chain is a reader, a relay that pulls from it, and a follower that pulls from the relay, out of
// 384 routers.
type chain struct {
	reader, relay, follower     *mirror.Mirror
	relayPuller, followerPuller *Puller
	// storeUp is set while the reader reaches the store.
	storeUp atomic.Bool
}

// newChain starts a chain, and stops it when the test ends.
func newChain(t *testing.T) *chain {
	c := &chain{reader: mirror.New("config", "k"), relay: mirror.New("config", "k"), follower: mirror.New("config", "k")}
	const token = "token-of-all-0123456789"
	server := func(m *mirror.Mirror) Peer {
		srv := httptest.NewServer(NewServer(zap.NewNop(), m, "config", secretOf(token)))
		t.Cleanup(srv.Close)
		t.Cleanup(srv.CloseClientConnections)
		return Peer{Addr: srv.Listener.Addr().(*net.TCPAddr).AddrPort(), Token: token}
	}
	readerPeer, relayPeer := server(c.reader), server(c.relay)
	order := fleetOf(384).ranked()
	newPuller := func(self string, m *mirror.Mirror) *Puller {
		f := fleetOf(384)
		f.self = self
		for i, p := range order[:11] {
			at := relayPeer
			if i < 2 {
				at = readerPeer
			}
			p.Addr, p.Token = at.Addr, at.Token
			f.Put(p)
		}
		return NewPuller(zap.NewNop(), f, m, "config", "config", "k")
	}
	c.relayPuller, c.followerPuller = newPuller(order[2].Name, c.relay), newPuller(order[200].Name, c.follower)
	for _, m := range []*mirror.Mirror{c.reader, c.relay, c.follower} {
		m.Replace("k", nil, 5, time.Now(), time.Time{})
		m.Replace("config", nil, 5, time.Now(), time.Time{})
	}
	c.storeUp.Store(true)
	for _, run := range []func(context.Context) error{c.watch, c.relayPuller.Run, c.followerPuller.Run} {
		done := make(chan error, 1)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { done <- run(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
	}
	return c
}

// watch proves the reader's copy to be the newest, as a watch of the store does, or that of the
// relay if the reader has lost the store and the relay should read it.
func (c *chain) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		sent := time.Now()
		<-time.After(500 * time.Millisecond)
		if c.storeUp.Load() {
			c.reader.Apply("config", nil, 5, sent)
		} else if c.relayPuller.shouldReadStore("config", time.Now()) {
			c.relay.Apply("config", nil, 5, sent)
		}
	}
	return nil
}

// TestRelayReplacesReadersThatLoseTheStore checks that the copy of a relay's follower is as fresh
// as it would be with a reader as its source, and that a relay takes over from readers which lose
// the store before its followers all read the store themselves.
func TestRelayReplacesReadersThatLoseTheStore(t *testing.T) {
	c := newChain(t)
	maxAge := time.Duration(0)
	observe := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); {
			<-time.After(10 * time.Millisecond)
			maxAge = max(maxAge, time.Since(c.follower.ConfirmedAt("config")))
			if c.followerPuller.fallback.Load() {
				t.Fatalf("the follower fell back to the store; the maximum age of its copy was %v", maxAge)
			}
		}
	}
	observe(3 * time.Second)
	if !c.relayPuller.Fleet.IsRelay(time.Now()) {
		t.Error("while the readers are fresh: got no relay, want one")
	}
	c.storeUp.Store(false)
	observe(4 * time.Second)
	if maxAge > storeLostAfter {
		t.Errorf("maximum age of the follower's copy: got %v, want %v at most", maxAge, storeLostAfter)
	}
}
