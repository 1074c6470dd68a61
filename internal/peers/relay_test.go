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

// fleetOf returns a fleet of so many routers in six availability zones, most of them weak.
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

// Pattern: hundreds of routers, of which one in forty asked the store for all that it holds, so that
// the calls grew with the fleet. Two ask it now, up to 3,200 routers, and none is asked by
// many.
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
		// Of large fleets sampled stand for all.
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
			t.Errorf("%d routers: got %d that ask the store and %d relays, want %d and %d", c.routers, readers, relays, c.readers, c.relays)
		}
		for name, n := range pullers {
			if n *= c.routers / len(sampled); n > 3*maxPullersPerSource {
				t.Errorf("%d routers: %s is asked by %d, want %d at most", c.routers, name, n, 3*maxPullersPerSource)
			}
		}
	}
}

// chain is a reader, a relay that asks it and a follower that asks the relay, of 384 routers.
type chain struct {
	reader, relay, follower     *mirror.Mirror
	relayPuller, followerPuller *Puller
	// storeUp says that the reader hears from the store.
	storeUp atomic.Bool
}

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
		m.List("k", nil, 5, time.Now(), time.Time{})
		m.List("config", nil, 5, time.Now(), time.Time{})
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

// watch proves the reader's copy as watches of the store do, and the relay's once it is its turn.
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

// A follower of a relay is as sure of its copy as it is of a reader's, and where the readers lose
// the store the relay takes their place before its followers all turn to the store.
func TestRelayReplacesReadersThatLoseTheStore(t *testing.T) {
	c := newChain(t)
	maxAge := time.Duration(0)
	observe := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); {
			<-time.After(10 * time.Millisecond)
			maxAge = max(maxAge, time.Since(c.follower.Proven("config")))
			if c.followerPuller.fallback.Load() {
				t.Fatalf("the follower turned to the store; its copy was %v old", maxAge)
			}
		}
	}
	observe(3 * time.Second)
	if !c.relayPuller.Fleet.IsRelay(time.Now()) {
		t.Error("with readers that answer: got no relay, want one")
	}
	c.storeUp.Store(false)
	observe(4 * time.Second)
	if maxAge > storeLostAfter {
		t.Errorf("age of the follower's copy: got %v, want %v at most", maxAge, storeLostAfter)
	}
}
