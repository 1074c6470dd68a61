// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/mirror"
)

// near reports whether two times differ by less than a busy machine delays a response.
func near(a, b time.Time) bool { return a.Sub(b).Abs() < waitTimeout/10 }

// A peer tells when the store answered it, and never a longer period than that.
//
// Guards against an outage that a router believes in although a peer knows better, and against one that a peer's
// answer disproves wrongly.
func TestPeersTellWhenTheStoreAnswered(t *testing.T) {
	p := startPeer(t, "p")
	putRevision(p.mirror, 5, time.Now())
	pl := newTestPuller(p)
	now := time.Now()
	told := mirror.Period{From: now.Add(-time.Hour), To: now.Add(-time.Minute)}
	p.mirror.RecordAvailability(told, now)
	pl.pull(context.Background(), p.Peer, true)
	got := pl.Mirror.Availability()
	if got.From.Before(told.From) || got.To.After(told.To) || !near(got.From, told.From) || !near(got.To, told.To) {
		t.Errorf("period in which the store answered: got %v to %v, want %v to %v or a little shorter", got.From, got.To, told.From, told.To)
	}
}

// A peer of an earlier release tells no period. The age of its copy stands for one.
//
// Guards against a router that takes the time for which all its peers were of an earlier release for an outage.
func TestCopyOfAnEarlierReleaseShowsTheStoreAnswered(t *testing.T) {
	pl := newTestPuller()
	now := time.Now()
	pl.apply(Peer{Name: "p"}, &pullResponse{Kinds: map[string]kindChanges{"config": {Number: 5, AgeMs: 300, Whole: true}}}, now)
	if got, want := pl.Mirror.Availability(), now.Add(-300*time.Millisecond); !got.From.Equal(want) || !got.To.Equal(want) {
		t.Errorf("period in which the store answered: got %v to %v, want %v", got.From, got.To, want)
	}
}

// All peers are backed off from, as this router was cut off from them too. They are asked all the same.
//
// Guards against a router that was cut off from all and takes that for an outage of the store.
func TestPeersAreAskedDuringBackOff(t *testing.T) {
	a, b := startPeer(t, "a"), startPeer(t, "b")
	pl := newTestPuller(a, b)
	now := time.Now()
	for _, p := range []*testPeer{a, b} {
		putRevision(p.mirror, 5, now)
		pl.Fleet.RecordNoAnswer(p.Name, now)
	}
	b.mirror.RecordAvailability(mirror.Period{From: now.Add(-time.Minute), To: now}, now)
	pl.AskPeers(context.Background())
	if got := pl.Mirror.Availability(); !near(got.From, now.Add(-time.Minute)) {
		t.Errorf("period in which the store answered: got %v to %v, want that of b, from %v", got.From, got.To, now.Add(-time.Minute))
	}
}

// Peers that do not answer are not waited for.
//
// Guards against a router that takes removals late after each outage, as others are down.
func TestSilentPeersAreNotWaitedFor(t *testing.T) {
	pl := newTestPuller()
	pl.Fleet.Put(Peer{Name: "dark", Addr: addrWithFullBacklog(t), Token: "t"})
	putRevision(pl.Mirror, 5, time.Now())
	began := time.Now()
	pl.AskPeers(context.Background())
	if took := time.Since(began); took > responseTimeout+time.Second {
		t.Errorf("asking took %v, want about %v", took, responseTimeout)
	}
}

// silentConn is a connection that goes silent for good: what is written to it is lost, and nothing is read.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// All connections to peers go silent while new ones work. One pull is lost, and the next one is answered.
//
// Guards against a router that waits on one silent connection after the other and has old copies meanwhile.
func TestOnePullIsLostToSilentConnections(t *testing.T) {
	a, b := startPeer(t, "a"), startPeer(t, "b")
	pl := newTestPuller(a, b)
	var silent *atomic.Bool
	pl.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return &silentConn{c, silent}, err
	}}}
	silent = new(atomic.Bool)
	for _, p := range []*testPeer{a, b} {
		putRevision(p.mirror, 5, time.Now())
		pl.pull(context.Background(), p.Peer, false)
	}
	silent.Store(true)
	silent = new(atomic.Bool)
	for _, p := range []*testPeer{a, b} {
		putRevision(p.mirror, 6, time.Now())
	}
	if pl.pull(context.Background(), a.Peer, false) {
		t.Error("pull on a silent connection: got a fresh peer, want none")
	}
	if !pl.pull(context.Background(), b.Peer, false) || pl.Mirror.Revision("k") != 6 {
		t.Errorf("next pull: got revision %v, want 6", pl.Mirror.Revision("k"))
	}
}
