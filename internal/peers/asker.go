// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/mirror"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/poison"
)

// Asker keeps a mirror in step through peers, and says when the store has to be
// asked. Its fields are set before Run.
type Asker struct {
	Log    *zap.Logger
	Fleet  *Fleet
	Mirror *mirror.Mirror
	// Kinds are asked for; their changes are taken over in this order.
	Kinds []string
	// Watched is the kind whose age says how well a peer is informed: it is
	// asked for most often.
	Watched string
	HTTP    *http.Client
	// OnVerdicts is called for verdicts that came with an answer; set before Run.
	OnVerdicts func(list []poison.Verdict)
	// Traffic counts the questions; set before Run.
	Traffic *Traffic
	// mu guards readsAt, which is when a starting router reads all from the store itself,
	// if no peer told it until then; it only grows, up to readsBy.
	mu               sync.Mutex
	readsAt, readsBy time.Time
	// directAt is when direct was set last; mu guards it.
	directAt time.Time
	// introduced says that the store told of some peers; it never goes back.
	introduced atomic.Bool
	// wanted says that a starting peer takes this router for one of the first; it never
	// goes back.
	wanted atomic.Bool
	// direct says that no peer answered well, so that the store is asked.
	direct atomic.Bool
	// sweep is how many peers are asked before the store is; see askNext.
	sweep int
	// late holds the ends of the questions that go on though nobody waits for them; the
	// goroutine that asks owns it.
	late []<-chan bool
}

const (
	// askWait is how long a question is held by a peer that knows nothing new.
	askWait = config.Span(500 * time.Millisecond)
	// askWithin bounds a question beyond that.
	askWithin = 400 * time.Millisecond
	// listWithin does so for a starting router: a whole list of 3,000 endpoints
	// has tens of kilobytes, and an asker sends it to dozens at once.
	listWithin = 1500 * time.Millisecond
	// connectWithin is how long the connection to a peer is waited for before another one is
	// asked as well. It takes 3 ms between zones; a VM without power never answers, and the
	// kernel tries again after a second, in which a starting router serves nobody.
	connectWithin = 400 * time.Millisecond
	// agedAfter is how old a peer's copy may be for it to count as well
	// informed: a peer that asks the store has one of at most 1 s, and a
	// configuration has to be in force 2 s after it was accepted, also where
	// those that ask were just cut off.
	agedAfter = config.Span(1500 * time.Millisecond)
	// relayAgedAfter takes its place at a relay, which has to ask the store itself before those
	// that ask it find it ill informed: all of them would turn to the store.
	relayAgedAfter = config.Span(1200 * time.Millisecond)
	// unheardAfter is how old the proof of the watched kind may be for the
	// others to be asked for as well.
	unheardAfter = 2500 * time.Millisecond
	// idle is how often a router that asks the store looks whether it should
	// ask peers instead, and directAgain how often one that found no peer tries
	// again.
	idle        = config.Span(100 * time.Millisecond)
	directAgain = config.Span(time.Second)
	// readsAfter is how long a starting router waits for peers to tell it all before it
	// reads it from the store itself, and readsSpread the time over which routers that
	// start together do so: few read the store, so that its rate and its link bear a start
	// of 300 routers before 3,000 endpoints.
	readsAfter  = config.Span(800 * time.Millisecond)
	readsSpread = 700 * time.Millisecond
	// readsWithin is how long it waits for peers that answer but do not know all yet: the
	// first ones read 3,000 endpoints in pages of 50 in 0.5 s, or 4 s from a slow store.
	readsWithin = config.Span(5 * time.Second)
	// startPoll is how often it looks whether all was read.
	startPoll = config.Span(10 * time.Millisecond)
	// sweepMost is how many peers an ill informed router asks at once for what they know.
	// It asks half as many the next time, and waits at the first ones in between: where
	// all routers lost the store, all would ask all.
	sweepMost = 8
	// takeOver is how long the next in rank may take to ask the store once the first ones
	// have lost it: a look at the turn and a call.
	takeOver = config.Span(150 * time.Millisecond)
	// othersAfter is how long a router asks the store for the watched kind alone.
	othersAfter = time.Second
	// turnPoll is how often a follower looks whether it is its turn.
	turnPoll = config.Span(50 * time.Millisecond)
	// answerMost bounds an answer, in bytes.
	answerMost = 16 << 20
)

// NewAsker returns an asker that has found no peer yet.
func NewAsker(log *zap.Logger, f *Fleet, m *mirror.Mirror, watched string, kinds ...string) *Asker {
	now := time.Now()
	a := &Asker{
		Log: log, Fleet: f, Mirror: m, Kinds: kinds, Watched: watched, Traffic: &Traffic{}, OnVerdicts: func([]poison.Verdict) {}, sweep: sweepMost,
		readsAt: readsAfter.After(now).Add(rand.N(readsSpread)), readsBy: readsWithin.After(now),
	}
	a.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
	return a
}

// Run asks peers until ctx is done: always if the store is not asked, and when
// the store leaves this router without word.
func (a *Asker) Run(ctx context.Context) error {
	primary := xxhash.Sum64String(a.Fleet.self)
	defer func() {
		for _, done := range a.late {
			<-done
		}
	}()
	for ctx.Err() == nil {
		now := time.Now()
		a.late = slices.DeleteFunc(a.late, ended)
		informed := now.Sub(a.Mirror.ConfirmedAt(a.Watched)) <= time.Duration(a.agedAfter(now))
		switch {
		case !a.listed() && (!a.introduced.Load() || a.reads()):
			tasks.Pause(ctx, startPoll.After(now))
		case a.listed() && a.Fleet.Asker(now) && informed:
			tasks.Pause(ctx, idle.After(now))
		default:
			a.askNext(ctx, primary, informed)
		}
	}
	return nil
}

// ended reports whether a question has ended.
func ended(done <-chan bool) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// askNext asks the first peers. If they are ill informed it waits at the next in rank, which
// take over from them, then asks some others at once, turns to the store, and waits at the
// first ones for word that it is back.
func (a *Asker) askNext(ctx context.Context, primary uint64, informed bool) {
	hold := informed || !a.listed()
	for range a.Fleet.Tries(time.Now()) {
		if a.try(ctx, primary, false, func(p Peer) bool { return a.ask(ctx, p, hold) }) {
			return
		}
		hold = false
	}
	if a.try(ctx, primary, false, func(p Peer) bool { return a.await(ctx, p, takeOver) }) {
		return
	}
	for range a.sweep {
		if a.try(ctx, rand.Uint64(), true, func(p Peer) bool { return a.ask(ctx, p, false) }) {
			return
		}
	}
	a.sweep = max(a.sweep/2, 1)
	a.set(true)
	a.awaitWord(ctx, primary)
}

// try asks the next peer and reports whether it answered well.
func (a *Asker) try(ctx context.Context, draw uint64, all bool, ask func(p Peer) bool) bool {
	p, ok := a.Fleet.Next(time.Now(), draw, all)
	if !ok || ctx.Err() != nil || !ask(p) {
		return false
	}
	a.informed(p.Name)
	return true
}

// awaitWord waits at one of the first routers for word that the store is back.
func (a *Asker) awaitWord(ctx context.Context, primary uint64) {
	until := directAgain.After(time.Now())
	for time.Now().Before(until) && ctx.Err() == nil {
		if p, ok := a.Fleet.Leader(primary); ok && a.await(ctx, p, askWait) {
			a.informed(p.Name)
			return
		}
		tasks.Pause(ctx, idle.After(time.Now()))
	}
}

// informed notes that a peer answered well.
func (a *Asker) informed(peer string) {
	a.sweep = sweepMost
	if a.set(false) {
		a.Log.Info("peers: A peer is asked instead of the store.", zap.String("peer", peer), zap.Int("routers", a.Fleet.Len()))
	}
}

// ask asks one peer and reports whether it was well informed. The peer may hold the
// question until it knows something new, unless this router is ill informed itself:
// then it should not wait at one ill informed peer after the other.
func (a *Asker) ask(ctx context.Context, p Peer, hold bool) bool {
	sent := time.Now()
	until := sent
	if hold {
		until = askWait.After(sent)
	}
	return a.connected(ctx, p, question{WaitMs: until.Sub(sent).Milliseconds(), Follows: hold && a.Fleet.Relay(sent)}, sent)
}

// connected is exchange, but that it returns false once no connection has come up for
// connectWithin. The question goes on then, and its answer is taken over when it comes: a bound
// on the connection would lose the answers of peers whose links are full.
func (a *Asker) connected(ctx context.Context, p Peer, q question, sent time.Time) bool {
	// The client takes another connection for the same question where a kept one has gone.
	up := make(chan struct{}, 1)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		select {
		case up <- struct{}{}:
		default:
		}
	}}
	done := make(chan bool, 1)
	go func() { done <- a.exchange(httptrace.WithClientTrace(ctx, trace), p, q, sent) }()
	late := time.NewTimer(connectWithin)
	defer late.Stop()
	select {
	case ok := <-done:
		return ok
	case <-up:
		return <-done
	case <-late.C:
		a.Fleet.Skip(p.Name, time.Now().Add(listWithin))
		a.late = append(a.late, done)
		return false
	}
}

// await asks a peer that may be ill informed to answer as soon as it is not, and reports
// whether it is well informed.
func (a *Asker) await(ctx context.Context, p Peer, within config.Span) bool {
	sent := time.Now()
	return a.exchange(ctx, p, question{WaitMs: within.After(sent).Sub(sent).Milliseconds(), Proof: true}, sent)
}

// exchange asks one peer, takes over its answer, and reports whether it was well informed.
func (a *Asker) exchange(ctx context.Context, p Peer, q question, sent time.Time) bool {
	got, err := a.call(ctx, p, &q, sent)
	if err != nil {
		if ctx.Err() == nil {
			a.Fleet.Fail(p.Name, time.Now())
			a.Log.Info("peers: A peer gave no answer.", zap.String("peer", p.Name), zap.Stringer("addr", p.Addr), logs.Err(err))
		}
		return false
	}
	a.postpone(time.Now())
	return a.take(p, got, sent)
}

// take takes over a peer's answer to a question that was sent then, and reports whether the
// peer was well informed.
func (a *Asker) take(p Peer, got *answer, sent time.Time) bool {
	now := time.Now()
	if list, err := decodeVerdicts(got.Verdicts, now); err != nil {
		a.Log.Warn("peers: Verdicts could not be decoded.", zap.String("peer", p.Name), logs.Err(err))
	} else {
		// Before the endpoints, so that none gets what it should not.
		a.OnVerdicts(list)
	}
	for _, kind := range a.Kinds {
		k, ok := got.Kinds[kind]
		if !ok {
			continue
		}
		changes, err := k.decode(now)
		if err != nil {
			a.Log.Warn("peers: An answer could not be read.", zap.String("peer", p.Name), zap.String("kind", kind), logs.Err(err))
			a.Fleet.Shun(p.Name, now)
			return false
		}
		// The peer answered no earlier than it had held the question since it
		// was sent.
		at := sent.Add(time.Duration(got.HeldMs-k.AgeMs) * time.Millisecond)
		if k.Whole {
			a.Log.Info("peers: All of a kind was told.", zap.String("kind", kind), zap.String("peer", p.Name), zap.Int64("revision", k.Revision), zap.Int("objects", len(changes)))
			a.Mirror.Replace(kind, objects(changes), k.Revision, at, time.Time{})
		} else {
			a.Mirror.Apply(kind, changes, k.Revision, at)
		}
	}
	a.Fleet.Heard(p.Name)
	w, ok := got.Kinds[a.Watched]
	if !ok && !a.listed() {
		// It starts as well, and has read another kind first.
		a.Fleet.Skip(p.Name, startPoll.After(now))
		return false
	}
	if !ok || time.Duration(w.AgeMs)*time.Millisecond > time.Duration(a.agedAfter(now)) {
		a.Fleet.Shun(p.Name, now)
		return false
	}
	return true
}

// agedAfter returns how old a peer's copy may be for it to count as well informed.
func (a *Asker) agedAfter(now time.Time) config.Span {
	if a.Fleet.Relay(now) {
		return relayAgedAfter
	}
	return agedAfter
}

// within bounds a question beyond the time that it is held: a whole list takes longer.
func (a *Asker) within() time.Duration {
	if a.listed() {
		return askWithin
	}
	return listWithin
}

func objects(changes []mirror.Change) []mirror.Object {
	list := make([]mirror.Object, 0, len(changes))
	for _, c := range changes {
		list = append(list, c.Object)
	}
	return list
}

// call asks one peer.
func (a *Asker) call(ctx context.Context, p Peer, q *question, sent time.Time) (*answer, error) {
	q.Have, q.Packs = make(map[string]int64), true
	for _, k := range a.Kinds {
		q.Have[k] = a.Mirror.Revision(k)
	}
	text, err := json.Marshal(q)
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	ctx, cancel := context.WithDeadline(ctx, sent.Add(time.Duration(q.WaitMs)*time.Millisecond+a.within()))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Addr.String()+path, bytes.NewReader(text))
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	req.Header.Set("Authorization", "Bearer "+p.Token)
	a.Traffic.Questions.Add(int64(len(text)))
	resp, err := a.HTTP.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("peers: status %d", resp.StatusCode)
	}
	return readAnswer(io.LimitReader(resp.Body, answerMost))
}
