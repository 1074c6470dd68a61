// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/mirror"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/epoch"
)

// waitTimeout is the maximum time for which a test waits for one event.
const waitTimeout = 20 * time.Second

// testPeer is a peer that serves a mirror of its own.
type testPeer struct {
	Peer
	mirror *mirror.Mirror
	srv    *httptest.Server
}

// startPeer returns a peer whose server runs until the test ends.
func startPeer(t *testing.T, name string) *testPeer {
	m := mirror.New("config", "k")
	p := &testPeer{mirror: m, Peer: Peer{Name: name, Token: "token-of-" + name + "-0123456789"}}
	p.srv = httptest.NewServer(NewServer(zap.NewNop(), m, "config", secretOf(p.Token)))
	t.Cleanup(p.srv.Close)
	p.Addr = p.srv.Listener.Addr().(*net.TCPAddr).AddrPort()
	return p
}

func secretOf(token string) *Secret {
	var s Secret
	s.Set(token)
	return &s
}

// newTestPuller returns a Puller of a router named self whose fleet has the peers in list, and not
// itself.
func newTestPuller(list ...*testPeer) *Puller {
	f := NewFleet("self")
	for _, p := range list {
		f.Put(p.Peer)
	}
	return NewPuller(zap.NewNop(), f, mirror.New("config", "k"), "config", "config", "k")
}

// putRevision stores one object in each kind, as of a revision that was proven to be the newest at
// the time at.
func putRevision(m *mirror.Mirror, revision epoch.Revision, at time.Time) {
	for _, kind := range []string{"config", "k"} {
		m.Replace(kind, []mirror.Object{{Name: "a", Revision: revision, Spec: json.RawMessage(`{}`)}}, revision, at, time.Time{})
	}
}

func TestPullAppliesChangesAndTheirAge(t *testing.T) {
	p := startPeer(t, "p")
	pl := newTestPuller(p)
	proven := time.Now().Add(-time.Second)
	putRevision(p.mirror, 5, proven)
	if !pl.pull(context.Background(), p.Peer, true) {
		t.Fatal("pull: got a stale peer, want a fresh one")
	}
	if got := pl.Mirror.Revision("k"); got != 5 {
		t.Errorf("revision: got %d, want 5", got)
	}
	got := pl.Mirror.ConfirmedAt("config")
	if got.After(proven.Add(time.Millisecond)) || got.Before(proven.Add(-waitTimeout)) {
		t.Errorf("proven at: got %v, want at most %v", got, proven)
	}
}

func TestHeldRequestReturnsAChange(t *testing.T) {
	p := startPeer(t, "p")
	pl := newTestPuller(p)
	putRevision(p.mirror, 5, time.Now())
	pl.pull(context.Background(), p.Peer, true)
	got := make(chan bool)
	go func() { got <- pl.pull(context.Background(), p.Peer, true) }()
	putRevision(p.mirror, 6, time.Now())
	if !<-got || pl.Mirror.Revision("k") != 6 {
		t.Errorf("revision: got %d, want 6", pl.Mirror.Revision("k"))
	}
}

func TestWrongTokenIsRejected(t *testing.T) {
	p := startPeer(t, "p")
	putRevision(p.mirror, 5, time.Now())
	pl := newTestPuller(p)
	intruder := p.Peer
	intruder.Token = "guessed"
	if pl.pull(context.Background(), intruder, true) || pl.Mirror.Revision("k") != -1 {
		t.Error("a pull with a wrong token was answered")
	}
}

func TestStalePeerIsBackedOff(t *testing.T) {
	p := startPeer(t, "p")
	putRevision(p.mirror, 5, time.Now().Add(-time.Minute))
	pl := newTestPuller(p)
	if pl.pull(context.Background(), p.Peer, true) {
		t.Error("pull from a peer whose copy is a minute old: got a fresh peer, want a stale one")
	}
	if _, ok := pl.Fleet.PickPeer(time.Now(), 0, true); ok {
		t.Error("next peer: got the stale one, want none during its back-off")
	}
	if got := pl.Mirror.Revision("k"); got != 5 {
		t.Errorf("revision: got %d, want 5, as changes of a stale peer are applied as well", got)
	}
}

// TestLapseTimesArePropagated checks that a removed object that lapses later stays usable for as
// long in the puller's mirror.
func TestLapseTimesArePropagated(t *testing.T) {
	p := startPeer(t, "p")
	pl := newTestPuller(p)
	putRevision(p.mirror, 5, time.Now())
	pl.pull(context.Background(), p.Peer, true)
	lapsesAt := time.Now().Add(time.Hour)
	p.mirror.Replace("k", nil, 6, time.Now(), lapsesAt)
	var got mirror.Change
	pl.Mirror.OnChange = func(_ string, c mirror.Change) { got = c }
	pl.pull(context.Background(), p.Peer, true)
	if !got.Removed || got.LapsesAt.Before(lapsesAt.Add(-waitTimeout)) || got.LapsesAt.After(lapsesAt.Add(waitTimeout)) {
		t.Errorf("change: got %+v, want gone, lapsing at about %v", got, lapsesAt)
	}
}

func TestTwoRoutersReadTheStore(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	now := time.Now()
	count := func(stale string) (n int) {
		for _, self := range names {
			f := NewFleet(self)
			for _, name := range names {
				f.Put(Peer{Name: name})
			}
			if stale != "" && self != stale {
				f.RecordStale(stale, now)
			}
			if self != stale && f.ReadsStore(now) {
				n++
			}
		}
		return n
	}
	if got := count(""); got != minSources {
		t.Errorf("readers: got %d, want %d", got, minSources)
	}
	for _, name := range names {
		if got := count(name); got != minSources {
			t.Errorf("readers with %s backed off from: got %d, want %d", name, got, minSources)
		}
	}
}

// TestLeavingRouterDoesNotReadTheStore covers a router that stops: its registration is removed
// seconds before it ends.
func TestLeavingRouterDoesNotReadTheStore(t *testing.T) {
	f := NewFleet("self")
	now := time.Now()
	f.Put(Peer{Name: "self"})
	f.Put(Peer{Name: "a"})
	f.SetLeaving()
	f.Remove("self")
	if f.ReadsStore(now) {
		t.Error("leaving, with another router available: got a reader, want none")
	}
	f.RecordStale("a", now)
	if !f.ReadsStore(now) {
		t.Error("leaving, with no router available: got no reader, want one")
	}
}

func TestSilentPeerBecomesUnresponsive(t *testing.T) {
	f := NewFleet("self")
	f.Put(Peer{Name: "a"})
	now := time.Now()
	f.RecordNoAnswer("a", now)
	if got := f.Unresponsive(now.Add(unresponsiveAfter)); len(got) != 0 {
		t.Errorf("unresponsive after unresponsiveAfter: got %v, want none", got)
	}
	if got := f.Unresponsive(now.Add(unresponsiveAfter + time.Second)); len(got) != 1 {
		t.Errorf("unresponsive a second later: got %v, want a", got)
	}
	f.RecordAnswer("a")
	if got := f.Unresponsive(now.Add(unresponsiveAfter + time.Second)); len(got) != 0 {
		t.Errorf("unresponsive after an answer: got %v, want none", got)
	}
}

func TestAttemptReportsReachAllRouters(t *testing.T) {
	received := make(chan AttemptReport, 10)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 3)
	var list []*Transport
	var all []Peer
	for i := range 3 {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := c.LocalAddr().(*net.UDPAddr).AddrPort()
		_ = c.Close()
		all = append(all, Peer{Name: fmt.Sprint(i), Addr: addr, Token: fmt.Sprintf("%016d-and-more", i)})
		f := NewFleet(all[i].Name)
		n, err := NewTransport(zap.NewNop(), f, addr, secretOf(all[i].Token), func(n AttemptReport) { received <- n })
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, n)
		go func() { ended <- n.Run(ctx) }()
	}
	for _, n := range list {
		for _, p := range all {
			n.fleet.Put(p)
		}
	}
	want := AttemptReport{From: netip.MustParseAddr("127.0.0.1"), Endpoint: 77, Busy: 1500 * time.Millisecond, Failed: true, Silent: true, Prefix: 99}
	list[0].SendAttemptReport(want, allZones)
	for range 2 {
		select {
		case got := <-received:
			if got != want {
				t.Errorf("attempt report: got %+v, want %+v", got, want)
			}
		case <-time.After(waitTimeout):
			t.Fatal("an attempt report was not received")
		}
	}
	cancel()
	for range list {
		if err := <-ended; err != nil {
			t.Errorf("transport: %v", err)
		}
	}
}

// TestPrimaryReadersReadTheStoreAtStart checks that of routers that start together the readers read
// the store at once. The others wait for them, but read the store after their start delay, and no
// more once they have everything.
func TestPrimaryReadersReadTheStoreAtStart(t *testing.T) {
	names := []string{"self"}
	for i := range 9 {
		names = append(names, fmt.Sprint("p", i))
	}
	readers := 0
	for _, self := range names {
		f := NewFleet(self)
		for _, name := range names {
			f.Put(Peer{Name: name})
		}
		before := time.Now()
		pl := NewPuller(zap.NewNop(), f, mirror.New("config", "k"), "config", "config", "k")
		now := time.Now() // It waits from some moment between these two on.
		pl.SetPeersKnown()
		if f.IsPrimaryReader() {
			readers++
			if !pl.shouldReadStore("k", now) {
				t.Errorf("%s, a reader: got no read of the store, want one", self)
			}
			continue
		}
		if pl.shouldReadStore("k", before.Add(time.Duration(startReadDelay)-1)) {
			t.Errorf("%s, not a reader: got a read of the store before the start delay, want none", self)
		}
		if !pl.shouldReadStore("k", now.Add(time.Duration(startReadDelay)+startReadJitter)) {
			t.Errorf("%s, without an answer of its peers: got no read of the store after the start delay, want one", self)
		}
		putRevision(pl.Mirror, 5, now)
		if pl.shouldReadStore("k", now.Add(time.Second)) {
			t.Errorf("%s, after its first read: got a read of the store, want none", self)
		}
	}
	if readers != minSources {
		t.Errorf("primary readers: got %d, want %d", readers, minSources)
	}
}

// TestStartingRouterReadsTheStoreWhenPulledFrom guards against starting routers that wait for one
// another: each knows different peers, so that one may pull from a router that waits for a third. A
// starting router that a starting peer pulls from reads the store at once.
func TestStartingRouterReadsTheStoreWhenPulledFrom(t *testing.T) {
	peer := startPeer(t, "p")
	pl := newTestPuller()
	pl.Fleet.Put(Peer{Name: "self"})
	for i := range 9 {
		pl.Fleet.Put(Peer{Name: fmt.Sprint("before-", i), Millicores: 800})
	}
	pl.SetPeersKnown()
	if pl.shouldReadStore("k", time.Now()) {
		t.Fatal("not a reader: got a read of the store, want none")
	}
	peer.srv.Config.Handler.(*Server).OnStartingPeer = pl.RecordStartingPeer
	starting := newTestPuller(peer)
	starting.pull(context.Background(), peer.Peer, false)
	if !pl.shouldReadStore("k", time.Now()) {
		t.Error("pulled from by a starting router: got no read of the store, want one")
	}
	other := newTestPuller()
	peer.srv.Config.Handler.(*Server).OnStartingPeer = other.RecordStartingPeer
	putRevision(starting.Mirror, 5, time.Now())
	starting.pull(context.Background(), peer.Peer, false)
	if other.pulledByStarting.Load() {
		t.Error("pulled from by a router that has all kinds: got pulledByStarting, want not")
	}
}

// TestUnregisteredRouterReadsOneKind checks that a router that knows no peers yet does not read the
// store until it was registered. If that takes longer than its start delay, it reads FreshnessKind
// alone.
func TestUnregisteredRouterReadsOneKind(t *testing.T) {
	pl := newTestPuller()
	now := time.Now()
	if pl.shouldReadStore("config", now) || pl.shouldReadStore("k", now) {
		t.Error("just started: got a read of the store, want none before the registration")
	}
	late := now.Add(time.Duration(startReadDelay) + startReadJitter)
	if !pl.shouldReadStore("config", late) || pl.shouldReadStore("k", late) {
		t.Errorf("not registered in time: got %v for FreshnessKind and %v for another kind, want true and false", pl.shouldReadStore("config", late), pl.shouldReadStore("k", late))
	}
	pl.Fleet.Put(Peer{Name: "self"})
	pl.SetPeersKnown()
	if !pl.shouldReadStore("k", now) {
		t.Error("registered, without other routers: got no read of the store, want one")
	}
}

// zonedFleet returns a fleet of 240 routers in six zones, of which 36 have more CPU, and this
// router, a-9 in zone a.
func zonedFleet() *Fleet {
	f := NewFleet("a-9")
	for i := range 240 {
		zone, ability := string("abcdef"[i%6]), 144
		if i%40 < 6 {
			ability = 800
		}
		f.Put(Peer{Name: fmt.Sprint(zone, "-", i), Zone: zone, Millicores: ability})
	}
	f.Put(Peer{Name: "a-9", Zone: "a", Millicores: 144})
	return f
}

// TestRanksAreSpreadOverZones checks that the first routers by rank are the most capable ones of
// each availability zone in turn.
func TestRanksAreSpreadOverZones(t *testing.T) {
	zones, millicores := make(map[string]bool), 0
	for _, p := range zonedFleet().ranked()[:6] {
		zones[p.Zone] = true
		millicores += p.Millicores
	}
	if len(zones) != 6 || millicores != 6*800 {
		t.Errorf("first six: got zones %v and %d millicores in all, want six zones and %d", zones, millicores, 6*800)
	}
}

// TestPeerInOwnZoneIsPicked checks that a router pulls from a source in its own availability zone
// unless it is backed off from.
func TestPeerInOwnZoneIsPicked(t *testing.T) {
	f := zonedFleet()
	for draw := range uint64(20) {
		if p, ok := f.PickPeer(time.Now(), draw, false); !ok || p.Zone != "a" {
			t.Fatalf("draw %d: got %v, want a peer in zone a", draw, p)
		}
	}
	for _, p := range f.ranked()[:6] {
		if p.Zone == "a" {
			f.RecordStale(p.Name, time.Now())
		}
	}
	if p, ok := f.PickPeer(time.Now(), 1, false); !ok || p.Name == "" {
		t.Errorf("with the sources in zone a backed off from: got %v, want another peer", p)
	}
}

// TestLargeFleet checks that in a large fleet neither the number of sources per router nor the
// number of recipients of an attempt report grows with the fleet, and that reports reach all
// routers in the course of time.
func TestLargeFleet(t *testing.T) {
	f := NewFleet("r-0")
	for i := range 370 {
		f.Put(Peer{Name: fmt.Sprint("r-", i)})
	}
	sources := make(map[string]bool)
	for draw := range uint64(1000) {
		p, _ := f.PickPeer(time.Now(), draw, false)
		sources[p.Name] = true
	}
	if got, want := len(sources), 370/maxPullersPerSource; got != want {
		t.Errorf("sources: got %d, want %d", got, want)
	}
	reached := make(map[string]bool)
	for range 200 {
		n := 0
		f.forEachRecipient(allZones, func(p Peer) { n++; reached[p.Name] = true })
		if n != maxRecipients {
			t.Fatalf("recipients of a report: got %d, want %d", n, maxRecipients)
		}
	}
	if got, want := len(reached), 369; got != want {
		t.Errorf("recipients of some report: got %d, want %d", got, want)
	}
}

// TestRecipientsByZone checks that a report for an availability zone goes to its routers, to those
// whose zone is not known, and to others only with OtherZones.
func TestRecipientsByZone(t *testing.T) {
	f := NewFleet("r-0")
	for i := range 9 {
		f.Put(Peer{Name: fmt.Sprint("r-", i), Zone: []string{"a", "b", ""}[i%3]})
	}
	recipients := func(to Recipients) string {
		var names []string
		f.forEachRecipient(to, func(p Peer) { names = append(names, p.Name) })
		slices.Sort(names)
		return fmt.Sprint(names)
	}
	if got, want := recipients(Recipients{Zone: "b"}), "[r-1 r-2 r-4 r-5 r-7 r-8]"; got != want {
		t.Errorf("recipients in zone b or an unknown zone: got %s, want %s", got, want)
	}
	if got, want := recipients(Recipients{Zone: "b", OtherZones: true}), "[r-1 r-2 r-3 r-4 r-5 r-6 r-7 r-8]"; got != want {
		t.Errorf("recipients with OtherZones: got %s, want %s", got, want)
	}
	large := zonedFleet()
	zone := 0
	large.forEachRecipient(Recipients{Zone: "b", OtherZones: true}, func(p Peer) {
		if p.Zone == "b" {
			zone++
		}
	})
	if zone != maxRecipients {
		t.Errorf("recipients among the 40 routers in zone b: got %d, want %d", zone, maxRecipients)
	}
}

// TestOneKindProbesALostStore checks that FreshnessKind alone is read from the store while the
// store is lost.
func TestOneKindProbesALostStore(t *testing.T) {
	pl := newTestPuller()
	pl.SetPeersKnown()
	putRevision(pl.Mirror, 5, time.Now().Add(-storeLostAfter-time.Second))
	ctx, cancel := context.WithCancel(context.Background())
	if !pl.WaitToReadStore(ctx, "config") {
		t.Error("FreshnessKind: got no read of the store, want one")
	}
	time.AfterFunc(5*time.Duration(storePollInterval), cancel)
	if pl.WaitToReadStore(ctx, "k") {
		t.Error("another kind: got a read of the store, want none while the store is lost")
	}
	putRevision(pl.Mirror, 6, time.Now())
	if !pl.WaitToReadStore(context.Background(), "k") {
		t.Error("another kind after the store has answered: got no read of the store, want one")
	}
}

// TestStaleRouterFindsTheFreshPeerAtOnce covers readers that have both lost the store: routers that
// pulled from them must not let one stale peer after the other hold their requests.
func TestStaleRouterFindsTheFreshPeerAtOnce(t *testing.T) {
	var list []*testPeer
	for i := range 8 {
		p := startPeer(t, fmt.Sprint("p", i))
		putRevision(p.mirror, 5, time.Now().Add(-time.Minute))
		list = append(list, p)
	}
	putRevision(list[5].mirror, 9, time.Now())
	pl := newTestPuller(list...)
	pl.Fleet.Put(Peer{Name: "self"})
	pl.SetPeersKnown()
	putRevision(pl.Mirror, 5, time.Now().Add(-time.Minute))
	ctx := runPuller(t, pl)
	began := time.Now()
	for pl.Mirror.Revision("config") < 9 && time.Since(began) < waitTimeout {
		tasks.Pause(ctx, time.Now().Add(time.Millisecond))
	}
	if took := time.Since(began); took > time.Duration(longPollWait) {
		t.Errorf("the change was pulled after %v, want less than the hold of one request (%v)", took, time.Duration(longPollWait))
	}
}

// runPuller runs a Puller until the test ends, and checks that it ends without an error.
func runPuller(t *testing.T, pl *Puller) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- pl.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("puller: %v", err)
		}
	})
	return ctx
}

// TestHeldRequestEndsWhenTheCopyIsStale checks that a peer answers a held request when its copy
// becomes stale, so that the router pulls from another one.
func TestHeldRequestEndsWhenTheCopyIsStale(t *testing.T) {
	p := startPeer(t, "p")
	pl := newTestPuller(p)
	putRevision(p.mirror, 5, time.Now().Add(-time.Duration(staleAfter)+50*time.Millisecond))
	putRevision(pl.Mirror, 5, time.Now())
	began := time.Now()
	pl.pull(context.Background(), p.Peer, true)
	if took := time.Since(began); took > time.Duration(longPollWait)/2 {
		t.Errorf("response after %v, want one after about 50 ms", took)
	}
}

// TestRoutersThatLostTheStoreAwaitItsRecovery covers a store that all routers lost: each pulls from
// few others, and then waits for its sources to become fresh again.
func TestRoutersThatLostTheStoreAwaitItsRecovery(t *testing.T) {
	var list []*testPeer
	for i := range 12 {
		p := startPeer(t, fmt.Sprint("p", i))
		putRevision(p.mirror, 5, time.Now().Add(-time.Minute))
		list = append(list, p)
	}
	pl := newTestPuller(list...)
	pl.Fleet.Put(Peer{Name: "self"})
	pl.SetPeersKnown()
	putRevision(pl.Mirror, 5, time.Now().Add(-time.Minute))
	ctx := runPuller(t, pl)
	for deadline := time.Now().Add(waitTimeout); !pl.fallback.Load() && time.Now().Before(deadline); {
		tasks.Pause(ctx, time.Now().Add(time.Millisecond))
	}
	leader, _ := pl.Fleet.PickPrimary(xxhash.Sum64String("self"))
	for _, p := range list {
		if p.Name == leader.Name {
			putRevision(p.mirror, 5, time.Now())
		}
	}
	back := time.Now()
	for pl.fallback.Load() && time.Since(back) < waitTimeout {
		tasks.Pause(ctx, time.Now().Add(time.Millisecond))
	}
	if took := time.Since(back); took > time.Duration(longPollWait) {
		t.Errorf("the fallback ended after %v, want less than %v", took, time.Duration(longPollWait))
	}
}

// TestWholeListsAreCompressed checks the size of the response with a whole list of many endpoints;
// changes are short.
func TestWholeListsAreCompressed(t *testing.T) {
	p := startPeer(t, "p")
	var objects []mirror.Object
	for i := range 3000 {
		spec := fmt.Sprintf(`{"service":"s","address":"10.6.64.%d:8580","zone":"zone-a","version":"v1","capacity":24,"state":"ready","sequence":%d}`, i%250, i)
		objects = append(objects, mirror.Object{Name: fmt.Sprintf("i-%010x", 7919*i), Revision: epoch.Revision(i + 1), Spec: json.RawMessage(spec)})
	}
	p.mirror.Replace("k", objects, 3000, time.Now(), time.Time{})
	p.mirror.Replace("config", nil, 1, time.Now(), time.Time{})
	var traffic Traffic
	p.srv.Config.Handler.(*Server).Traffic = &traffic
	pl := newTestPuller(p)
	if !pl.pull(context.Background(), p.Peer, false) || pl.Mirror.Revision("k") != 3000 {
		t.Fatalf("revision: got %d, want 3000", pl.Mirror.Revision("k"))
	}
	if got, _ := pl.Mirror.Since("k", -1); len(got.Changes) != 3000 || string(got.Changes[0].Spec) == "" {
		t.Errorf("objects: got %d, want 3000 with their specifications", len(got.Changes))
	}
	if got, most := traffic.PullResponses.Load(), int64(60_000); got > most {
		t.Errorf("bytes of the response: got %d, want at most %d, 20 per object", got, most)
	}
}

// TestStartingPeerIsRetriedAtOnce covers a peer that is starting as well and has one kind a few
// milliseconds before the others: it does not count as stale if its response lacks FreshnessKind,
// and may be pulled from again at once.
func TestStartingPeerIsRetriedAtOnce(t *testing.T) {
	p := startPeer(t, "p")
	pl := newTestPuller(p)
	at := time.Now()
	p.mirror.Replace("k", []mirror.Object{{Name: "a", Revision: 5, Spec: json.RawMessage(`{}`)}}, 5, at, time.Time{})
	if pl.pull(context.Background(), p.Peer, true) {
		t.Fatal("pull from a peer without FreshnessKind: got a fresh peer, want none")
	}
	if _, ok := pl.Fleet.PickPeer(time.Now().Add(2*time.Duration(startPollInterval)), 0, false); !ok {
		t.Error("next peer after 2 startPollIntervals: got none, want the starting one")
	}
}

// TestRouterThatLacksAKindGoesOnPulling checks that a router which lacks a kind pulls it from its
// peers, also if it is a reader and got FreshnessKind early.
func TestRouterThatLacksAKindGoesOnPulling(t *testing.T) {
	p := startPeer(t, "p")
	putRevision(p.mirror, 5, time.Now())
	pl := newTestPuller(p)
	pl.Fleet.Put(Peer{Name: "self"})
	pl.Mirror.Replace("config", nil, 5, time.Now(), time.Time{})
	if !pl.Fleet.ReadsStore(time.Now()) {
		t.Fatal("one of two routers: got no reader, want one")
	}
	pl.SetPeersKnown()
	// Routers are added until two precede this one, so that it is no primary reader.
	for i := 0; pl.Fleet.IsPrimaryReader() && i < 64; i++ {
		pl.Fleet.Put(Peer{Name: fmt.Sprint("shunned", i)})
		pl.Fleet.RecordStale(fmt.Sprint("shunned", i), time.Now().Add(time.Hour))
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = pl.Run(ctx) }()
	deadline := time.Now().Add(minStartReadDelay)
	for pl.Mirror.Revision("k") < 0 && time.Now().Before(deadline) {
		<-time.After(time.Millisecond)
	}
	if got := pl.Mirror.Revision("k"); got != 5 {
		t.Errorf("revision of the missing kind: got %d, want 5 before the start delay", got)
	}
}

// minStartReadDelay is less than the start delay of any starting router, after which it reads the
// store itself.
const minStartReadDelay = 700 * time.Millisecond

// TestUnreachablePeerIsSkippedSoon covers a VM without power, which neither accepts nor refuses
// connections. A starting router must not wait for it until the kernel retries after a second.
func TestUnreachablePeerIsSkippedSoon(t *testing.T) {
	pl := newTestPuller()
	unreachable := Peer{Name: "dark", Addr: addrWithFullBacklog(t), Token: "t"}
	began := time.Now()
	pl.pull(context.Background(), unreachable, true)
	if took := time.Since(began); took > 600*time.Millisecond {
		t.Errorf("pull: returned after %v, want within 600ms", took)
	}
}

// TestLateResponseIsApplied checks that the response of a peer is applied whose connection takes
// longer than connectTimeout, although the router has gone on to other peers.
func TestLateResponseIsApplied(t *testing.T) {
	p := startPeer(t, "p")
	putRevision(p.mirror, 5, time.Now())
	pl := newTestPuller(p)
	up := make(chan struct{})
	pl.HTTP = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		<-up
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}}}
	if pl.pull(context.Background(), p.Peer, false) {
		t.Fatal("pull without a connection: got a fresh peer, want none")
	}
	close(up)
	if len(pl.background) != 1 || !<-pl.background[0] {
		t.Fatal("background pull: got no fresh peer, want one")
	}
	if got := pl.Mirror.Revision("k"); got != 5 {
		t.Errorf("revision: got %d, want 5", got)
	}
}

// brokenOnReuse is a connection that fails each write after the first.
type brokenOnReuse struct {
	net.Conn
	wrote atomic.Int64
}

func (c *brokenOnReuse) Write(b []byte) (int, error) {
	if c.wrote.Add(1) > 1 {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// TestRequestIsRetriedOnANewConnection checks that the client retries a request on a new connection
// if the kept-alive one was closed.
func TestRequestIsRetriedOnANewConnection(t *testing.T) {
	p := startPeer(t, "p")
	putRevision(p.mirror, 5, time.Now())
	pl := newTestPuller(p)
	dialed := 0
	pl.HTTP = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialed++
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return &brokenOnReuse{Conn: c}, err
	}}}
	for i := range 2 {
		if !pl.pull(context.Background(), p.Peer, false) {
			t.Errorf("pull %d: got no fresh peer, want one", i+1)
		}
	}
	if dialed != 2 {
		t.Errorf("connections: got %d, want 2", dialed)
	}
}

// addrWithFullBacklog returns the address of a listener whose backlog is full, so that it neither
// accepts nor refuses connections.
func addrWithFullBacklog(t *testing.T) netip.AddrPort {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*syscall.SockaddrInet4).Port))
	for range 8 {
		c, err := net.DialTimeout("tcp", addr.String(), 50*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the backlog did not fill up with 8 connections")
	return netip.AddrPort{}
}

// A peer whose copy is of an earlier epoch of the store counts as stale however late it was proven, and nothing is
// taken from it, although its numbers are higher. A peer of an earlier release, whose responses name no epoch, is
// such a peer.
//
// Guards against changes that are taken back by a router that was cut off or frozen while the store came back, and
// against routers that call themselves fresh by its word.
func TestPeerInAnEarlierEpochIsStale(t *testing.T) {
	for _, peerEpoch := range []int64{0, 1} {
		p := startPeer(t, "peer")
		putRevision(p.mirror, epoch.At(peerEpoch, 90), time.Now())
		pl := newTestPuller(p)
		putRevision(pl.Mirror, epoch.At(2, 34), time.Now().Add(-time.Minute))
		if pl.pull(context.Background(), p.Peer, false) {
			t.Errorf("epoch %d: the peer counts as fresh", peerEpoch)
		}
		if got, want := pl.Mirror.Revision("k"), epoch.At(2, 34); got != want {
			t.Errorf("epoch %d: got revision %v, want %v", peerEpoch, got, want)
		}
	}
}

// A router with a copy of an earlier epoch gets all from a peer in a later one at once, although its own number is
// higher.
//
// Guards against a router that waits for a number that the store has gone back behind.
func TestPullFromALaterEpoch(t *testing.T) {
	p := startPeer(t, "peer")
	putRevision(p.mirror, epoch.At(2, 34), time.Now())
	pl := newTestPuller(p)
	putRevision(pl.Mirror, epoch.At(1, 90), time.Now())
	began := time.Now()
	if !pl.pull(context.Background(), p.Peer, true) || time.Since(began) > time.Duration(longPollWait) {
		t.Errorf("got a stale peer or a response after %v, want a fresh one that answers at once", time.Since(began))
	}
	if got, want := pl.Mirror.Revision("k"), epoch.At(2, 34); got != want {
		t.Errorf("revision: got %v, want %v", got, want)
	}
	d, _ := pl.Mirror.Since("k", epoch.None)
	if len(d.Changes) != 1 || d.Changes[0].Revision != epoch.At(2, 34) {
		t.Errorf("objects: got %+v, want one of the later epoch", d.Changes)
	}
}

// A request of an earlier release names no epochs and is answered as before, by changes since its number; it gets
// the numbers that it knows.
//
// Guards against a fleet that is being updated in which each pull of an earlier release gets whole lists at once.
func TestPullOfAnEarlierRelease(t *testing.T) {
	p := startPeer(t, "peer")
	putRevision(p.mirror, epoch.At(2, 34), time.Now())
	have := (&pullRequest{Have: map[string]int64{"k": 34}}).revisions(p.mirror)
	if d, _ := p.mirror.Since("k", have["k"]); d.Full || len(d.Changes) != 0 {
		t.Errorf("changes since the newest number: got %+v, want none", d)
	}
	have = (&pullRequest{Have: map[string]int64{"k": -1}}).revisions(p.mirror)
	d, _ := p.mirror.Since("k", have["k"])
	k := encodeDelta("k", d, 0, time.Now(), &compressionCache{}, false)
	if !d.Full || k.Number != 34 || len(k.Changes) != 1 || k.Changes[0].Revision != 34 {
		t.Errorf("first pull: got %+v, want the whole list as of number 34", k)
	}
}
