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
		p := Peer{Name: fmt.Sprint("r-", i), Zone: fmt.Sprint("zone-", i%6), Ability: 144}
		if i%20 < 2 {
			p.Ability = 1600
		}
		f.Put(p)
	}
	return f
}

// Pattern: hundreds of routers, of which one in forty asked the store for all that it holds, so that
// the calls grew with the fleet. Two ask it now, up to 3,200 routers, and none is asked by
// many.
func TestStoreReadersDoNotGrow(t *testing.T) {
	now := time.Now()
	for _, c := range []struct{ routers, readers, relays int }{
		{2, 2, 0}, {30, 2, 0}, {119, 2, 0}, {120, 2, 3}, {384, 2, 9}, {768, 2, 19}, {1600, 2, 40}, {4000, 2, 100},
	} {
		f := fleetOf(c.routers)
		ask, pass := 0, 0
		for _, p := range f.ranked()[:min(c.routers, 2*(c.readers+c.relays))] {
			f.self = p.Name
			if f.Asker(now) {
				ask++
			}
			if f.Relay(now) {
				pass++
			}
		}
		// Of large fleets some stand for all.
		asked, some := make(map[string]int), rand.New(rand.NewPCG(1, 2)).Perm(c.routers)
		some = some[:min(c.routers, 384)]
		for _, i := range some {
			f.self = fmt.Sprint("r-", i)
			if f.Asker(now) {
				continue
			}
			if p, ok := f.Next(now, mixer.Mix(uint64(i)), false); ok {
				asked[p.Name]++
			}
		}
		if ask != c.readers || pass != c.relays {
			t.Errorf("%d routers: got %d that ask the store and %d relays, want %d and %d", c.routers, ask, pass, c.readers, c.relays)
		}
		for name, n := range asked {
			if n *= c.routers / len(some); n > 3*askedBy {
				t.Errorf("%d routers: %s is asked by %d, want %d at most", c.routers, name, n, 3*askedBy)
			}
		}
	}
}

// chain is a reader, a relay that asks it and a follower that asks the relay, of 384 routers.
type chain struct {
	reader, relay, follower *mirror.Mirror
	asks, follows           *Asker
	// reads says that the reader hears from the store.
	reads atomic.Bool
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
	read, passed := server(c.reader), server(c.relay)
	order := fleetOf(384).ranked()
	asker := func(self string, m *mirror.Mirror) *Asker {
		f := fleetOf(384)
		f.self = self
		for i, p := range order[:11] {
			at := passed
			if i < 2 {
				at = read
			}
			p.Addr, p.Token = at.Addr, at.Token
			f.Put(p)
		}
		return NewAsker(zap.NewNop(), f, m, "config", "config", "k")
	}
	c.asks, c.follows = asker(order[2].Name, c.relay), asker(order[200].Name, c.follower)
	for _, m := range []*mirror.Mirror{c.reader, c.relay, c.follower} {
		m.Replace("k", nil, 5, time.Now(), time.Time{})
		m.Replace("config", nil, 5, time.Now(), time.Time{})
	}
	c.reads.Store(true)
	for _, run := range []func(context.Context) error{c.watch, c.asks.Run, c.follows.Run} {
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
		if c.reads.Load() {
			c.reader.Apply("config", nil, 5, sent)
		} else if c.asks.may("config", time.Now()) {
			c.relay.Apply("config", nil, 5, sent)
		}
	}
	return nil
}

// A follower of a relay is as sure of its copy as it is of a reader's, and where the readers lose
// the store the relay takes their place before its followers all turn to the store.
func TestRelaysAreInformed(t *testing.T) {
	c := newChain(t)
	oldest := time.Duration(0)
	look := func(lasts time.Duration) {
		for end := time.Now().Add(lasts); time.Now().Before(end); {
			<-time.After(10 * time.Millisecond)
			oldest = max(oldest, time.Since(c.follower.ConfirmedAt("config")))
			if c.follows.direct.Load() {
				t.Fatalf("the follower turned to the store; its copy was %v old", oldest)
			}
		}
	}
	look(3 * time.Second)
	if !c.asks.Fleet.Relay(time.Now()) {
		t.Error("with readers that answer: got no relay, want one")
	}
	c.reads.Store(false)
	look(4 * time.Second)
	if oldest > unheardAfter {
		t.Errorf("age of the follower's copy: got %v, want %v at most", oldest, unheardAfter)
	}
}
