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

// Puller keeps a mirror in step through peers, and says when the store has to be
// asked. Its fields are set before Run.
type Puller struct {
	Log    *zap.Logger
	Fleet  *Fleet
	Mirror *mirror.Mirror
	// Kinds are asked for; their changes are taken over in this order.
	Kinds []string
	// FreshnessKind is the kind whose age says how well a peer is informed: it is
	// asked for most often.
	FreshnessKind string
	HTTP          *http.Client
	// OnVerdicts is called for verdicts that came with an answer; set before Run.
	OnVerdicts func(list []poison.Verdict)
	// Traffic counts the questions; set before Run.
	Traffic *Traffic
	// mu guards readsAt, which is when a starting router reads all from the store itself,
	// if no peer told it until then; it only grows, up to readsBy.
	mu                       sync.Mutex
	readStoreAt, readStoreBy time.Time
	// fallbackSince is when direct was set last; mu guards it.
	fallbackSince time.Time
	// peersKnown says that the store told of some peers; it never goes back.
	peersKnown atomic.Bool
	// pulledByStarting says that a starting peer takes this router for one of the first; it never
	// goes back.
	pulledByStarting atomic.Bool
	// fallback says that no peer answered well, so that the store is asked.
	fallback atomic.Bool
	// sweepSize is how many peers are asked before the store is; see askNext.
	sweepSize int
	// background holds the ends of the questions that go on though nobody waits for them; the
	// goroutine that asks owns it.
	background []<-chan bool
}

const (
	// longPollWait is how long a question is held by a peer that knows nothing new.
	longPollWait = config.Span(500 * time.Millisecond)
	// answerTimeout bounds a question beyond that.
	answerTimeout = 400 * time.Millisecond
	// listAnswerTimeout does so for a starting router: a whole list of 3,000 endpoints
	// has tens of kilobytes, and an asker sends it to dozens at once.
	listAnswerTimeout = 1500 * time.Millisecond
	// connectTimeout is how long the connection to a peer is waited for before another one is
	// asked as well. It takes 3 ms between zones; a VM without power never answers, and the
	// kernel tries again after a second, in which a starting router serves nobody.
	connectTimeout = 400 * time.Millisecond
	// staleAfter is how old a peer's copy may be for it to count as well
	// informed: a peer that asks the store has one of at most 1 s, and a
	// configuration has to be in force 2 s after it was accepted, also where
	// those that ask were just cut off.
	staleAfter = config.Span(1500 * time.Millisecond)
	// relayStaleAfter takes its place at a relay, which has to ask the store itself before those
	// that ask it find it ill informed: all of them would turn to the store.
	relayStaleAfter = config.Span(1200 * time.Millisecond)
	// storeLostAfter is how old the proof of the watched kind may be for the
	// others to be asked for as well.
	storeLostAfter = 2500 * time.Millisecond
	// readerPollInterval is how often a router that asks the store looks whether it should
	// ask peers instead, and directAgain how often one that found no peer tries
	// again.
	readerPollInterval = config.Span(100 * time.Millisecond)
	retryPeersInterval = config.Span(time.Second)
	// startReadDelay is how long a starting router waits for peers to tell it all before it
	// reads it from the store itself, and readsSpread the time over which routers that
	// start together do so: few read the store, so that its rate and its link bear a start
	// of 300 routers before 3,000 endpoints.
	startReadDelay  = config.Span(800 * time.Millisecond)
	startReadJitter = 700 * time.Millisecond
	// maxStartReadDelay is how long it waits for peers that answer but do not know all yet: the
	// first ones read 3,000 endpoints in pages of 50 in 0.5 s, or 4 s from a slow store.
	maxStartReadDelay = config.Span(5 * time.Second)
	// startPollInterval is how often it looks whether all was read.
	startPollInterval = config.Span(10 * time.Millisecond)
	// maxSweepSize is how many peers an ill informed router asks at once for what they know.
	// It asks half as many the next time, and waits at the first ones in between: where
	// all routers lost the store, all would ask all.
	maxSweepSize = 8
	// takeoverWait is how long the next in rank may take to ask the store once the first ones
	// have lost it: a look at the turn and a call.
	takeoverWait = config.Span(150 * time.Millisecond)
	// otherKindsDelay is how long a router asks the store for the watched kind alone.
	otherKindsDelay = time.Second
	// storePollInterval is how often a follower looks whether it is its turn.
	storePollInterval = config.Span(50 * time.Millisecond)
	// maxResponseBytes bounds an answer, in bytes.
	maxResponseBytes = 16 << 20
)

// NewPuller returns an asker that has found no peer yet.
func NewPuller(log *zap.Logger, f *Fleet, m *mirror.Mirror, freshnessKind string, kinds ...string) *Puller {
	now := time.Now()
	pl := &Puller{
		Log: log, Fleet: f, Mirror: m, Kinds: kinds, FreshnessKind: freshnessKind, Traffic: &Traffic{}, OnVerdicts: func([]poison.Verdict) {}, sweepSize: maxSweepSize,
		readStoreAt: startReadDelay.After(now).Add(rand.N(startReadJitter)), readStoreBy: maxStartReadDelay.After(now),
	}
	pl.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
	return pl
}

// Run asks peers until ctx is done: always if the store is not asked, and when
// the store leaves this router without word.
func (pl *Puller) Run(ctx context.Context) error {
	selfHash := xxhash.Sum64String(pl.Fleet.self)
	defer func() {
		for _, done := range pl.background {
			<-done
		}
	}()
	for ctx.Err() == nil {
		now := time.Now()
		pl.background = slices.DeleteFunc(pl.background, isDone)
		fresh := now.Sub(pl.Mirror.Proven(pl.FreshnessKind)) <= time.Duration(pl.staleAge(now))
		switch {
		case !pl.hasAllKinds() && (!pl.peersKnown.Load() || pl.isStartReader()):
			tasks.Pause(ctx, startPollInterval.After(now))
		case pl.hasAllKinds() && pl.Fleet.ReadsStore(now) && fresh:
			tasks.Pause(ctx, readerPollInterval.After(now))
		default:
			pl.pullNext(ctx, selfHash, fresh)
		}
	}
	return nil
}

// isDone reports whether a question has isDone.
func isDone(done <-chan bool) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// pullNext asks the first peers. If they are ill informed it waits at the next in rank, which
// take over from them, then asks some others at once, turns to the store, and waits at the
// first ones for word that it is back.
func (pl *Puller) pullNext(ctx context.Context, selfHash uint64, fresh bool) {
	hold := fresh || !pl.hasAllKinds()
	for range pl.Fleet.PullAttempts(time.Now()) {
		if pl.tryNextPeer(ctx, selfHash, false, func(p Peer) bool { return pl.pull(ctx, p, hold) }) {
			return
		}
		hold = false
	}
	if pl.tryNextPeer(ctx, selfHash, false, func(p Peer) bool { return pl.pullFresh(ctx, p, takeoverWait) }) {
		return
	}
	for range pl.sweepSize {
		if pl.tryNextPeer(ctx, rand.Uint64(), true, func(p Peer) bool { return pl.pull(ctx, p, false) }) {
			return
		}
	}
	pl.sweepSize = max(pl.sweepSize/2, 1)
	pl.setFallback(true)
	pl.awaitStoreRecovery(ctx, selfHash)
}

// tryNextPeer asks the next peer and reports whether it answered well.
func (pl *Puller) tryNextPeer(ctx context.Context, draw uint64, all bool, pull func(p Peer) bool) bool {
	p, ok := pl.Fleet.PickPeer(time.Now(), draw, all)
	if !ok || ctx.Err() != nil || !pull(p) {
		return false
	}
	pl.recordFresh(p.Name)
	return true
}

// awaitStoreRecovery waits at one of the first routers for word that the store is back.
func (pl *Puller) awaitStoreRecovery(ctx context.Context, selfHash uint64) {
	until := retryPeersInterval.After(time.Now())
	for time.Now().Before(until) && ctx.Err() == nil {
		if p, ok := pl.Fleet.PickPrimary(selfHash); ok && pl.pullFresh(ctx, p, longPollWait) {
			pl.recordFresh(p.Name)
			return
		}
		tasks.Pause(ctx, readerPollInterval.After(time.Now()))
	}
}

// recordFresh notes that a peer answered well.
func (pl *Puller) recordFresh(peer string) {
	pl.sweepSize = maxSweepSize
	if pl.setFallback(false) {
		pl.Log.Info("peers: A peer is asked instead of the store.", zap.String("peer", peer), zap.Int("routers", pl.Fleet.Len()))
	}
}

// pull asks one peer and reports whether it was well informed. The peer may hold the
// question until it knows something new, unless this router is ill informed itself:
// then it should not wait at one ill informed peer after the other.
func (pl *Puller) pull(ctx context.Context, p Peer, hold bool) bool {
	sent := time.Now()
	until := sent
	if hold {
		until = longPollWait.After(sent)
	}
	return pl.exchangeOrDefer(ctx, p, pullRequest{WaitMs: until.Sub(sent).Milliseconds(), FromRelay: hold && pl.Fleet.IsRelay(sent)}, sent)
}

// exchangeOrDefer is exchange, but that it returns false once no connection has come up for
// connectWithin. The question goes on then, and its answer is taken over when it comes: a bound
// on the connection would lose the answers of peers whose links are full.
func (pl *Puller) exchangeOrDefer(ctx context.Context, p Peer, q pullRequest, sent time.Time) bool {
	// The client takes another connection for the same question where a kept one has gone.
	connected := make(chan struct{}, 1)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		select {
		case connected <- struct{}{}:
		default:
		}
	}}
	done := make(chan bool, 1)
	go func() { done <- pl.exchange(httptrace.WithClientTrace(ctx, trace), p, q, sent) }()
	timer := time.NewTimer(connectTimeout)
	defer timer.Stop()
	select {
	case ok := <-done:
		return ok
	case <-connected:
		return <-done
	case <-timer.C:
		pl.Fleet.BackOff(p.Name, time.Now().Add(listAnswerTimeout))
		pl.background = append(pl.background, done)
		return false
	}
}

// pullFresh asks a peer that may be ill informed to answer as soon as it is not, and reports
// whether it is well informed.
func (pl *Puller) pullFresh(ctx context.Context, p Peer, wait config.Span) bool {
	sent := time.Now()
	return pl.exchange(ctx, p, pullRequest{WaitMs: wait.After(sent).Sub(sent).Milliseconds(), AwaitFresh: true}, sent)
}

// exchange asks one peer, takes over its answer, and reports whether it was well informed.
func (pl *Puller) exchange(ctx context.Context, p Peer, q pullRequest, sent time.Time) bool {
	got, err := pl.post(ctx, p, &q, sent)
	if err != nil {
		if ctx.Err() == nil {
			pl.Fleet.RecordNoAnswer(p.Name, time.Now())
			pl.Log.Info("peers: A peer gave no answer.", zap.String("peer", p.Name), zap.Stringer("addr", p.Addr), logs.Err(err))
		}
		return false
	}
	pl.extendStartDelay(time.Now())
	return pl.apply(p, got, sent)
}

// apply takes over a peer's answer to a question that was sent then, and reports whether the
// peer was well informed.
func (pl *Puller) apply(p Peer, got *pullResponse, sent time.Time) bool {
	now := time.Now()
	if list, err := decodeVerdicts(got.Verdicts, now); err != nil {
		pl.Log.Warn("peers: Verdicts could not be decoded.", zap.String("peer", p.Name), logs.Err(err))
	} else {
		// Before the endpoints, so that none gets what it should not.
		pl.OnVerdicts(list)
	}
	for _, kind := range pl.Kinds {
		k, ok := got.Kinds[kind]
		if !ok {
			continue
		}
		changes, err := k.decode(now)
		if err != nil {
			pl.Log.Warn("peers: An answer could not be read.", zap.String("peer", p.Name), zap.String("kind", kind), logs.Err(err))
			pl.Fleet.RecordStale(p.Name, now)
			return false
		}
		// The peer answered no earlier than it had held the question since it
		// was sent.
		at := sent.Add(time.Duration(got.HeldMs-k.AgeMs) * time.Millisecond)
		if k.Whole {
			pl.Log.Info("peers: All of a kind was told.", zap.String("kind", kind), zap.String("peer", p.Name), zap.Int64("revision", k.Revision), zap.Int("objects", len(changes)))
			pl.Mirror.List(kind, objects(changes), k.Revision, at, time.Time{})
		} else {
			pl.Mirror.Apply(kind, changes, k.Revision, at)
		}
	}
	pl.Fleet.RecordAnswer(p.Name)
	w, ok := got.Kinds[pl.FreshnessKind]
	if !ok && !pl.hasAllKinds() {
		// It starts as well, and has read another kind first.
		pl.Fleet.BackOff(p.Name, startPollInterval.After(now))
		return false
	}
	if !ok || time.Duration(w.AgeMs)*time.Millisecond > time.Duration(pl.staleAge(now)) {
		pl.Fleet.RecordStale(p.Name, now)
		return false
	}
	return true
}

// staleAge returns how old a peer's copy may be for it to count as well informed.
func (pl *Puller) staleAge(now time.Time) config.Span {
	if pl.Fleet.IsRelay(now) {
		return relayStaleAfter
	}
	return staleAfter
}

// timeout bounds a question beyond the time that it is held: a whole list takes longer.
func (pl *Puller) timeout() time.Duration {
	if pl.hasAllKinds() {
		return answerTimeout
	}
	return listAnswerTimeout
}

func objects(changes []mirror.Change) []mirror.Object {
	list := make([]mirror.Object, 0, len(changes))
	for _, c := range changes {
		list = append(list, c.Object)
	}
	return list
}

// post asks one peer.
func (pl *Puller) post(ctx context.Context, p Peer, q *pullRequest, sent time.Time) (*pullResponse, error) {
	q.Have, q.AcceptsCompressed = make(map[string]int64), true
	for _, k := range pl.Kinds {
		q.Have[k] = pl.Mirror.Revision(k)
	}
	text, err := json.Marshal(q)
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	ctx, cancel := context.WithDeadline(ctx, sent.Add(time.Duration(q.WaitMs)*time.Millisecond+pl.timeout()))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Addr.String()+pullPath, bytes.NewReader(text))
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	req.Header.Set("Authorization", "Bearer "+p.Token)
	pl.Traffic.PullRequests.Add(int64(len(text)))
	resp, err := pl.HTTP.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("peers: status %d", resp.StatusCode)
	}
	return decodeResponse(io.LimitReader(resp.Body, maxResponseBytes))
}
