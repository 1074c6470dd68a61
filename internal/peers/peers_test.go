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
)

// patience bounds the waits of tests.
const patience = 20 * time.Second

// served is a peer with a mirror of its own.
type served struct {
	Peer
	mirror *mirror.Mirror
	srv    *httptest.Server
}

func serve(t *testing.T, name string) *served {
	m := mirror.New("config", "k")
	p := &served{mirror: m, Peer: Peer{Name: name, Token: "token-of-" + name + "-0123456789"}}
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

func asker(list ...*served) *Asker {
	f := NewFleet("self")
	for _, p := range list {
		f.Put(p.Peer)
	}
	return NewAsker(zap.NewNop(), f, mirror.New("config", "k"), "config", "config", "k")
}

func put(m *mirror.Mirror, revision int64, at time.Time) {
	for _, kind := range []string{"config", "k"} {
		m.Replace(kind, []mirror.Object{{Name: "a", Revision: revision, Spec: json.RawMessage(`{}`)}}, revision, at, time.Time{})
	}
}

func TestAskTakesChangesAndTheirAge(t *testing.T) {
	p := serve(t, "p")
	a := asker(p)
	proven := time.Now().Add(-time.Second)
	put(p.mirror, 5, proven)
	if !a.ask(context.Background(), p.Peer, true) {
		t.Fatal("ask: got false, want true")
	}
	if got := a.Mirror.Revision("k"); got != 5 {
		t.Errorf("revision: got %d, want 5", got)
	}
	got := a.Mirror.ConfirmedAt("config")
	if got.After(proven.Add(time.Millisecond)) || got.Before(proven.Add(-patience)) {
		t.Errorf("proven at: got %v, want at most %v", got, proven)
	}
}

func TestAskHearsOfAChangeWhileHeld(t *testing.T) {
	p := serve(t, "p")
	a := asker(p)
	put(p.mirror, 5, time.Now())
	a.ask(context.Background(), p.Peer, true)
	got := make(chan bool)
	go func() { got <- a.ask(context.Background(), p.Peer, true) }()
	put(p.mirror, 6, time.Now())
	if !<-got || a.Mirror.Revision("k") != 6 {
		t.Errorf("revision: got %d, want 6", a.Mirror.Revision("k"))
	}
}

func TestWrongTokenGetsNothing(t *testing.T) {
	p := serve(t, "p")
	put(p.mirror, 5, time.Now())
	a := asker(p)
	thief := p.Peer
	thief.Token = "guessed"
	if a.ask(context.Background(), thief, true) || a.Mirror.Revision("k") != -1 {
		t.Error("an asker without the token got an answer")
	}
}

func TestIllInformedPeerIsLeft(t *testing.T) {
	p := serve(t, "p")
	put(p.mirror, 5, time.Now().Add(-time.Minute))
	a := asker(p)
	if a.ask(context.Background(), p.Peer, true) {
		t.Error("ask: got true of a peer that heard nothing for a minute")
	}
	if _, ok := a.Fleet.Next(time.Now(), 0, true); ok {
		t.Error("the peer is asked again at once")
	}
	if got := a.Mirror.Revision("k"); got != 5 {
		t.Errorf("revision: got %d, want 5: what it knows is taken all the same", got)
	}
}

// Removed objects that only lapsed stay usable for as long at the asker.
func TestLapsesArePassedOn(t *testing.T) {
	p := serve(t, "p")
	a := asker(p)
	put(p.mirror, 5, time.Now())
	a.ask(context.Background(), p.Peer, true)
	lapsesAt := time.Now().Add(time.Hour)
	p.mirror.Replace("k", nil, 6, time.Now(), lapsesAt)
	var got mirror.Change
	a.Mirror.OnChange = func(_ string, c mirror.Change) { got = c }
	a.ask(context.Background(), p.Peer, true)
	if !got.Removed || got.LapsesAt.Before(lapsesAt.Add(-patience)) || got.LapsesAt.After(lapsesAt.Add(patience)) {
		t.Errorf("change: got %+v, want gone, lapsing at about %v", got, lapsesAt)
	}
}

func TestFirstTwoAskTheStore(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	now := time.Now()
	count := func(shunned string) (n int) {
		for _, self := range names {
			f := NewFleet(self)
			for _, name := range names {
				f.Put(Peer{Name: name})
			}
			if shunned != "" && self != shunned {
				f.Shun(shunned, now)
			}
			if self != shunned && f.Asker(now) {
				n++
			}
		}
		return n
	}
	if got := count(""); got != askersLeast {
		t.Errorf("routers that ask the store: got %d, want %d", got, askersLeast)
	}
	for _, name := range names {
		if got := count(name); got != askersLeast {
			t.Errorf("with %s silent: got %d, want %d", name, got, askersLeast)
		}
	}
}

// A router that stops has no registration any more and is up for seconds.
func TestLeavingRouterLeavesTheStore(t *testing.T) {
	f := NewFleet("self")
	now := time.Now()
	f.Put(Peer{Name: "self"})
	f.Put(Peer{Name: "a"})
	f.Leave()
	f.Remove("self")
	if f.Asker(now) {
		t.Error("leaving, with another one there: got true, want the store left to it")
	}
	f.Shun("a", now)
	if !f.Asker(now) {
		t.Error("leaving, with none that answers: got false, want it to ask the store")
	}
}

func TestSilentPeerIsGoneLater(t *testing.T) {
	f := NewFleet("self")
	f.Put(Peer{Name: "a"})
	now := time.Now()
	f.Fail("a", now)
	if got := f.Gone(now.Add(goneAfter)); len(got) != 0 {
		t.Errorf("gone too soon: got %v", got)
	}
	if got := f.Gone(now.Add(goneAfter + time.Second)); len(got) != 1 {
		t.Errorf("gone: got %v, want a", got)
	}
	f.Heard("a")
	if got := f.Gone(now.Add(goneAfter + time.Second)); len(got) != 0 {
		t.Errorf("gone after it was heard: got %v", got)
	}
}

func TestNotesReachTheOthers(t *testing.T) {
	heard := make(chan Note, 10)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 3)
	var list []*Notes
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
		n, err := NewNotes(zap.NewNop(), f, addr, secretOf(all[i].Token), func(n Note) { heard <- n })
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
	want := Note{From: netip.MustParseAddr("127.0.0.1"), Endpoint: 77, Busy: 1500 * time.Millisecond, Failed: true, Prefix: 99}
	list[0].Send(want, everybody)
	for range 2 {
		select {
		case got := <-heard:
			if got != want {
				t.Errorf("note: got %+v, want %+v", got, want)
			}
		case <-time.After(patience):
			t.Fatal("a note was not heard")
		}
	}
	cancel()
	for range list {
		if err := <-ended; err != nil {
			t.Errorf("hearer: %v", err)
		}
	}
}

// Of routers that start together the first ones read the store; the others wait for these,
// but not for ever, and after that leave the store to them.
func TestFirstRoutersReadTheStore(t *testing.T) {
	names := []string{"self"}
	for i := range 9 {
		names = append(names, fmt.Sprint("p", i))
	}
	first := 0
	for _, self := range names {
		f := NewFleet(self)
		for _, name := range names {
			f.Put(Peer{Name: name})
		}
		before := time.Now()
		a := NewAsker(zap.NewNop(), f, mirror.New("config", "k"), "config", "config", "k")
		now := time.Now() // It waits from some moment between these two on.
		a.Introduce()
		if f.First() {
			first++
			if !a.may("k", now) {
				t.Errorf("%s, one of the first: got false, want the store's turn", self)
			}
			continue
		}
		if a.may("k", before.Add(time.Duration(readsAfter)-1)) {
			t.Errorf("%s, not one of the first: got the store's turn, want the peers'", self)
		}
		if !a.may("k", now.Add(time.Duration(readsAfter)+readsSpread)) {
			t.Errorf("%s, told nothing by its peers: got false, want the store's turn", self)
		}
		put(a.Mirror, 5, now)
		if a.may("k", now.Add(time.Second)) {
			t.Errorf("%s, after its first read: got the store's turn, want the peers'", self)
		}
	}
	if first != askersLeast {
		t.Errorf("routers that read the store: got %d, want %d", first, askersLeast)
	}
}

// Each starting router knows other peers: one that is taken for one of the first reads the
// store at once, so that none waits for one that waits for a third.
func TestRouterThatIsAskedReadsTheStore(t *testing.T) {
	asked := serve(t, "p")
	a := asker()
	a.Fleet.Put(Peer{Name: "self"})
	for i := range 9 {
		a.Fleet.Put(Peer{Name: fmt.Sprint("before-", i), Ability: 800})
	}
	a.Introduce()
	if a.may("k", time.Now()) {
		t.Fatal("not one of the first: got the store's turn, want the peers'")
	}
	asked.srv.Config.Handler.(*Server).OnStarting = a.Want
	starting := asker(asked)
	starting.ask(context.Background(), asked.Peer, false)
	if !a.may("k", time.Now()) {
		t.Error("asked by a starting router: got false, want the store's turn")
	}
	b := asker()
	asked.srv.Config.Handler.(*Server).OnStarting = b.Want
	put(starting.Mirror, 5, time.Now())
	starting.ask(context.Background(), asked.Peer, false)
	if b.wanted.Load() {
		t.Error("asked by a router that knows all: got wanted, want not")
	}
}

// A router that knows no peers yet leaves the store alone until it was registered, or that
// takes too long: then it tries one kind.
func TestRouterThatIsNotIntroducedTriesOneKind(t *testing.T) {
	a := asker()
	now := time.Now()
	if a.may("config", now) || a.may("k", now) {
		t.Error("just started: got the store's turn, want it to register first")
	}
	late := now.Add(time.Duration(readsAfter) + readsSpread)
	if !a.may("config", late) || a.may("k", late) {
		t.Errorf("not registered in time: got %v for the watched kind and %v for another, want true and false", a.may("config", late), a.may("k", late))
	}
	a.Fleet.Put(Peer{Name: "self"})
	a.Introduce()
	if !a.may("k", now) {
		t.Error("registered, alone: got false, want the store's turn")
	}
}

// zoned is a fleet of 240 routers in six zones, of which 36 are able, and a router of zone a.
func zoned() *Fleet {
	f := NewFleet("a-9")
	for i := range 240 {
		zone, ability := string("abcdef"[i%6]), 144
		if i%40 < 6 {
			ability = 800
		}
		f.Put(Peer{Name: fmt.Sprint(zone, "-", i), Zone: zone, Ability: ability})
	}
	f.Put(Peer{Name: "a-9", Zone: "a", Ability: 144})
	return f
}

// The few that read the store are the most able ones of each availability zone in turn.
func TestRanksAreSpreadOverZones(t *testing.T) {
	zones, able := make(map[string]bool), 0
	for _, p := range zoned().ranked()[:6] {
		zones[p.Zone] = true
		able += p.Ability
	}
	if len(zones) != 6 || able != 6*800 {
		t.Errorf("first six: got zones %v and an ability of %d together, want six zones and %d", zones, able, 6*800)
	}
}

// Routers ask the one of their own zone while it answers.
func TestTheOwnZoneIsAsked(t *testing.T) {
	f := zoned()
	for draw := range uint64(20) {
		if p, ok := f.Next(time.Now(), draw, false); !ok || p.Zone != "a" {
			t.Fatalf("draw %d: got %v, want one of the own zone", draw, p)
		}
	}
	for _, p := range f.ranked()[:6] {
		if p.Zone == "a" {
			f.Shun(p.Name, time.Now())
		}
	}
	if p, ok := f.Next(time.Now(), 1, false); !ok || p.Name == "" {
		t.Errorf("without the own zone's: got %v, want another", p)
	}
}

// In a large fleet neither the routers that ask the store nor the notes grow with
// it for each router.
func TestLargeFleet(t *testing.T) {
	f := NewFleet("r-0")
	for i := range 370 {
		f.Put(Peer{Name: fmt.Sprint("r-", i)})
	}
	asked := make(map[string]bool)
	for draw := range uint64(1000) {
		p, _ := f.Next(time.Now(), draw, false)
		asked[p.Name] = true
	}
	if got, want := len(asked), 370/askedBy; got != want {
		t.Errorf("routers that are asked: got %d, want %d", got, want)
	}
	told := make(map[string]bool)
	for range 200 {
		n := 0
		f.each(everybody, func(p Peer) { n++; told[p.Name] = true })
		if n != toldMost {
			t.Fatalf("routers that hear a note: got %d, want %d", n, toldMost)
		}
	}
	if got, want := len(told), 369; got != want {
		t.Errorf("routers that hear some note: got %d, want %d", got, want)
	}
}

// How busy an endpoint is concerns the routers of its availability zone.
func TestNotesGoToAZone(t *testing.T) {
	f := NewFleet("r-0")
	for i := range 9 {
		f.Put(Peer{Name: fmt.Sprint("r-", i), Zone: []string{"a", "b", ""}[i%3]})
	}
	tell := func(to Audience) string {
		var told []string
		f.each(to, func(p Peer) { told = append(told, p.Name) })
		slices.Sort(told)
		return fmt.Sprint(told)
	}
	if got, want := tell(Audience{Zone: "b"}), "[r-1 r-2 r-4 r-5 r-7 r-8]"; got != want {
		t.Errorf("routers of b, and of no zone that is known: got %s, want %s", got, want)
	}
	if got, want := tell(Audience{Zone: "b", Others: true}), "[r-1 r-2 r-3 r-4 r-5 r-6 r-7 r-8]"; got != want {
		t.Errorf("those and the others: got %s, want %s", got, want)
	}
	large := zoned()
	zone := 0
	large.each(Audience{Zone: "b", Others: true}, func(p Peer) {
		if p.Zone == "b" {
			zone++
		}
	})
	if zone != toldMost {
		t.Errorf("routers of b that hear of what is new there, of 40: got %d, want %d", zone, toldMost)
	}
}

// While the store is not heard of, one kind alone is asked for.
func TestOneKindTriesADeadStore(t *testing.T) {
	a := asker()
	a.Introduce()
	put(a.Mirror, 5, time.Now().Add(-unheardAfter-time.Second))
	ctx, cancel := context.WithCancel(context.Background())
	if !a.Turn(ctx, "config") {
		t.Error("watched kind: got false, want the store's turn")
	}
	time.AfterFunc(5*time.Duration(turnPoll), cancel)
	if a.Turn(ctx, "k") {
		t.Error("another kind: got the store's turn, want none before the store is heard of")
	}
	put(a.Mirror, 6, time.Now())
	if !a.Turn(context.Background(), "k") {
		t.Error("another kind after the store was heard of: got false, want its turn")
	}
}

// TestUninformedRouterFindsTheInformedPeerAtOnce has both routers that ask the store
// cut off from it: those that asked them must not wait at one uninformed peer after
// the other.
func TestUninformedRouterFindsTheInformedPeerAtOnce(t *testing.T) {
	var list []*served
	for i := range 8 {
		p := serve(t, fmt.Sprint("p", i))
		put(p.mirror, 5, time.Now().Add(-time.Minute))
		list = append(list, p)
	}
	put(list[5].mirror, 9, time.Now())
	a := asker(list...)
	a.Fleet.Put(Peer{Name: "self"})
	a.Introduce()
	put(a.Mirror, 5, time.Now().Add(-time.Minute))
	ctx := running(t, a)
	began := time.Now()
	for a.Mirror.Revision("config") < 9 && time.Since(began) < patience {
		tasks.Pause(ctx, time.Now().Add(time.Millisecond))
	}
	if took := time.Since(began); took > time.Duration(askWait) {
		t.Errorf("the change was known after %v, want less than one held question (%v)", took, time.Duration(askWait))
	}
}

// running runs an asker until the test ends, and checks how it ends.
func running(t *testing.T, a *Asker) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("asker: %v", err)
		}
	})
	return ctx
}

// A peer whose copy grows too old answers at once, so that it is left.
func TestHeldQuestionEndsWhenTheCopyIsOld(t *testing.T) {
	p := serve(t, "p")
	a := asker(p)
	put(p.mirror, 5, time.Now().Add(-time.Duration(agedAfter)+50*time.Millisecond))
	put(a.Mirror, 5, time.Now())
	began := time.Now()
	a.ask(context.Background(), p.Peer, true)
	if took := time.Since(began); took > time.Duration(askWait)/2 {
		t.Errorf("answer after %v, want about 50 ms", took)
	}
}

// All routers lost the store: each asks few others, and waits at the first ones for word that
// it is back.
func TestRoutersThatLostTheStoreWaitForWord(t *testing.T) {
	var list []*served
	for i := range 12 {
		p := serve(t, fmt.Sprint("p", i))
		put(p.mirror, 5, time.Now().Add(-time.Minute))
		list = append(list, p)
	}
	a := asker(list...)
	a.Fleet.Put(Peer{Name: "self"})
	a.Introduce()
	put(a.Mirror, 5, time.Now().Add(-time.Minute))
	ctx := running(t, a)
	for deadline := time.Now().Add(patience); !a.direct.Load() && time.Now().Before(deadline); {
		tasks.Pause(ctx, time.Now().Add(time.Millisecond))
	}
	leader, _ := a.Fleet.Leader(xxhash.Sum64String("self"))
	for _, p := range list {
		if p.Name == leader.Name {
			put(p.mirror, 5, time.Now())
		}
	}
	back := time.Now()
	for a.direct.Load() && time.Since(back) < patience {
		tasks.Pause(ctx, time.Now().Add(time.Millisecond))
	}
	if took := time.Since(back); took > time.Duration(askWait) {
		t.Errorf("word that the store is back came after %v, want under %v", took, time.Duration(askWait))
	}
}

// Whole lists are long where there are many endpoints; changes are not.
func TestWholeListsAreCompressed(t *testing.T) {
	p := serve(t, "p")
	var objects []mirror.Object
	for i := range 3000 {
		spec := fmt.Sprintf(`{"service":"s","address":"10.6.64.%d:8580","zone":"zone-a","version":"v1","capacity":24,"state":"ready","sequence":%d}`, i%250, i)
		objects = append(objects, mirror.Object{Name: fmt.Sprintf("i-%010x", 7919*i), Revision: int64(i + 1), Spec: json.RawMessage(spec)})
	}
	p.mirror.Replace("k", objects, 3000, time.Now(), time.Time{})
	p.mirror.Replace("config", nil, 1, time.Now(), time.Time{})
	var traffic Traffic
	p.srv.Config.Handler.(*Server).Traffic = &traffic
	a := asker(p)
	if !a.ask(context.Background(), p.Peer, false) || a.Mirror.Revision("k") != 3000 {
		t.Fatalf("revision: got %d, want 3000", a.Mirror.Revision("k"))
	}
	if got, _ := a.Mirror.Since("k", -1); len(got.Changes) != 3000 || string(got.Changes[0].Spec) == "" {
		t.Errorf("objects: got %d, want 3000 with what they specify", len(got.Changes))
	}
	if got, most := traffic.Answers.Load(), int64(60_000); got > most {
		t.Errorf("bytes of the answer: got %d, want at most %d, 20 an object", got, most)
	}
}

// While all routers start, a peer knows one kind a few milliseconds before the others. An
// answer without the watched kind makes it no ill informed one: it is asked again at once.
func TestPeerThatStartsTooIsAskedAgainAtOnce(t *testing.T) {
	p := serve(t, "p")
	a := asker(p)
	at := time.Now()
	p.mirror.Replace("k", []mirror.Object{{Name: "a", Revision: 5, Spec: json.RawMessage(`{}`)}}, 5, at, time.Time{})
	if a.ask(context.Background(), p.Peer, true) {
		t.Fatal("ask of a peer that has not read the watched kind: got true, want false")
	}
	if _, ok := a.Fleet.Next(time.Now().Add(2*time.Duration(startPoll)), 0, false); !ok {
		t.Error("next peer, a moment later: got none, want the one that starts too")
	}
}

// A router that lacks a kind asks its peers for that, also where it is one of the first and
// the kind by which it is well informed came early.
func TestRouterThatLacksAKindGoesOnAsking(t *testing.T) {
	p := serve(t, "p")
	put(p.mirror, 5, time.Now())
	a := asker(p)
	a.Fleet.Put(Peer{Name: "self"})
	a.Mirror.Replace("config", nil, 5, time.Now(), time.Time{})
	if !a.Fleet.Asker(time.Now()) {
		t.Fatal("one of two routers: got no asker, want one")
	}
	a.Introduce()
	// Two others come before it, so that it does not read the store for others.
	for i := 0; a.Fleet.First() && i < 64; i++ {
		a.Fleet.Put(Peer{Name: fmt.Sprint("shunned", i)})
		a.Fleet.Shun(fmt.Sprint("shunned", i), time.Now().Add(time.Hour))
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = a.Run(ctx) }()
	deadline := time.Now().Add(readsAfterLeast)
	for a.Mirror.Revision("k") < 0 && time.Now().Before(deadline) {
		<-time.After(time.Millisecond)
	}
	if got := a.Mirror.Revision("k"); got != 5 {
		t.Errorf("revision of the kind that was missing: got %d, want 5 before the store is read", got)
	}
}

// readsAfterLeast is the least time after which a starting router reads the store itself.
const readsAfterLeast = 700 * time.Millisecond

// A VM without power takes no connection and refuses none. That a starting router meets one
// may not cost the second after which the kernel tries again.
func TestPeerWithoutPowerIsLeftSoon(t *testing.T) {
	a := asker()
	dark := Peer{Name: "dark", Addr: deaf(t), Token: "t"}
	began := time.Now()
	a.ask(context.Background(), dark, true)
	if took := time.Since(began); took > 600*time.Millisecond {
		t.Errorf("ask: got an answer after %v, want one within 600ms", took)
	}
}

// A peer whose connection comes up late has not asked in vain: its answer is taken over though
// others were asked meanwhile.
func TestLateAnswerIsTakenOver(t *testing.T) {
	p := serve(t, "p")
	put(p.mirror, 5, time.Now())
	a := asker(p)
	up := make(chan struct{})
	a.HTTP = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		<-up
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}}}
	if a.ask(context.Background(), p.Peer, false) {
		t.Fatal("ask without a connection: got true, want false")
	}
	close(up)
	if len(a.late) != 1 || !<-a.late[0] {
		t.Fatal("the late question: got no good answer, want one")
	}
	if got := a.Mirror.Revision("k"); got != 5 {
		t.Errorf("revision: got %d, want 5", got)
	}
}

// brokenOnReuse is a connection that takes nothing more after its first request.
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

// A kept connection that has gone makes the client take another one for the same question.
func TestQuestionTakesAnotherConnection(t *testing.T) {
	p := serve(t, "p")
	put(p.mirror, 5, time.Now())
	a := asker(p)
	dialed := 0
	a.HTTP = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialed++
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return &brokenOnReuse{Conn: c}, err
	}}}
	for i := range 2 {
		if !a.ask(context.Background(), p.Peer, false) {
			t.Errorf("question %d: got no good answer, want one", i+1)
		}
	}
	if dialed != 2 {
		t.Errorf("connections: got %d, want 2", dialed)
	}
}

// deaf returns an address whose queue of connections is full.
func deaf(t *testing.T) netip.AddrPort {
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
	t.Fatal("the queue of connections does not fill")
	return netip.AddrPort{}
}
