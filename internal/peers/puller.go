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
	"github.com/traildrift/traildrift/internal/upconn"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/poison"
)

// Puller keeps a mirror up to date by pulls from peers, and decides when this router reads the
// store itself. Create it with NewPuller; its exported fields are set before Run.
type Puller struct {
	Log    *zap.Logger
	Fleet  *Fleet
	Mirror *mirror.Mirror
	// Kinds are the kinds of objects to pull. Their changes are applied in this order.
	Kinds []string
	// FreshnessKind is the kind by the age of whose copy a peer counts as fresh: its copies are
	// renewed most often.
	FreshnessKind string
	// HTTP is the client for pulls.
	HTTP *http.Client
	// OnVerdicts is called with the verdicts in a response.
	OnVerdicts func(list []poison.Verdict)
	// OnUnreadable is called for each change in a response that could not be decoded; name may be empty.
	OnUnreadable func(kind, name string, err error)
	// Traffic counts the bytes of the requests.
	Traffic *Traffic
	// mu guards readStoreAt and fallbackSince. readStoreAt is when a starting router reads all from
	// the store itself if no peer has sent it by then; it only increases, up to readStoreBy.
	mu                       sync.Mutex
	readStoreAt, readStoreBy time.Time
	// fallbackSince is when fallback was last set; guarded by mu.
	fallbackSince time.Time
	// peersKnown is set once the store has returned registered routers, and never cleared.
	peersKnown atomic.Bool
	// pulledByStarting is set once a starting peer has pulled from this router, and so takes it for
	// a reader; it is never cleared.
	pulledByStarting atomic.Bool
	// fallback is set while this router has found no fresh peer and reads the store.
	fallback atomic.Bool
	// sweepSize is the number of peers to pull from at random before the store is read; see
	// pullNext and maxSweepSize.
	sweepSize int
	// background holds the results of pulls that continue after exchangeOrDefer has returned. Only
	// the goroutine of Run uses it.
	background []<-chan bool
}

const (
	// longPollWait is how long a peer holds a request while it has no changes.
	longPollWait = config.Span(500 * time.Millisecond)
	// responseTimeout bounds the time for a response beyond the time for which the request is held.
	responseTimeout = 400 * time.Millisecond
	// listResponseTimeout replaces responseTimeout in a router that starts: a whole list of 3,000
	// endpoints has tens of kilobytes, and a source sends it to dozens of routers at once.
	listResponseTimeout = 1500 * time.Millisecond
	// connectTimeout is how long a pull may wait for its connection before another peer is tried as
	// well. Connecting takes 3 ms between zones. A VM without power never answers, and the kernel
	// retries after a second, in which a starting router serves no requests.
	connectTimeout = 400 * time.Millisecond
	// staleAfter is the age up to which a peer's copy counts as fresh. That of a reader is at most
	// 1 s old, and a configuration has to be in force 2 s after it was accepted, also if the
	// readers have just lost the store.
	staleAfter = config.Span(1500 * time.Millisecond)
	// relayStaleAfter replaces staleAfter in a relay. It is shorter, so that a relay reads the
	// store itself before its followers find its copy stale, as all of them would then read the
	// store.
	relayStaleAfter = config.Span(1200 * time.Millisecond)
	// storeLostAfter is the age of the proof of FreshnessKind beyond which the store counts as
	// lost, and no other kind is read from it.
	storeLostAfter = 2500 * time.Millisecond
	// readerPollInterval is the interval at which a reader checks whether it should pull from peers
	// instead; retryPeersInterval is the interval at which a router in fallback tries its peers
	// again.
	readerPollInterval = config.Span(100 * time.Millisecond)
	retryPeersInterval = config.Span(time.Second)
	// startReadDelay is how long a starting router waits for its peers to send it everything before
	// it reads the store itself, and startReadJitter the range of the random time added to it, so
	// that of routers that start together only few read the store: its rate limit and its link have
	// to bear a start of 300 routers with 3,000 endpoints.
	startReadDelay  = config.Span(800 * time.Millisecond)
	startReadJitter = 700 * time.Millisecond
	// maxStartReadDelay bounds the wait for peers that answer but do not have everything yet: the
	// readers read 3,000 endpoints in pages of 50 within 0.5 s, or 4 s if the store is slow.
	maxStartReadDelay = config.Span(5 * time.Second)
	// startPollInterval is the interval at which a starting router checks whether all was read.
	startPollInterval = config.Span(10 * time.Millisecond)
	// maxSweepSize is the maximum number of random peers that a stale router pulls from in turn,
	// without a hold. The number is halved for each further sweep, and the router waits for its
	// sources in between: if all routers lost the store, each would otherwise pull from all.
	maxSweepSize = 8
	// takeoverWait is the time that the next router in rank needs to begin reading the store once
	// the readers have lost it: one storePollInterval and a call to the store.
	takeoverWait = config.Span(150 * time.Millisecond)
	// otherKindsDelay is how long a router in fallback reads FreshnessKind alone from the store.
	otherKindsDelay = time.Second
	// storePollInterval is the interval at which a router checks whether it should read the store.
	storePollInterval = config.Span(50 * time.Millisecond)
	// maxResponseBytes is the maximum length of a response, and of what is decompressed from it.
	maxResponseBytes = 16 << 20
	// maxResponseHeader is the maximum size of a response's header, in bytes.
	maxResponseHeader = 64 << 10
)

// NewPuller returns a Puller for the mirror m and the given kinds, of which freshnessKind is one. A
// starting router waits for its peers from this call on.
func NewPuller(log *zap.Logger, f *Fleet, m *mirror.Mirror, freshnessKind string, kinds ...string) *Puller {
	now := time.Now()
	pl := &Puller{
		Log: log, Fleet: f, Mirror: m, Kinds: kinds, FreshnessKind: freshnessKind, Traffic: &Traffic{}, OnVerdicts: func([]poison.Verdict) {}, OnUnreadable: func(string, string, error) {}, sweepSize: maxSweepSize,
		readStoreAt: startReadDelay.After(now).Add(rand.N(startReadJitter)), readStoreBy: maxStartReadDelay.After(now),
	}
	pl.HTTP = &http.Client{Transport: upconn.Transport{Transport: &http.Transport{DialContext: upconn.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeader}}}
	return pl
}

// Run pulls from peers until ctx is done, except while this router is a reader whose copy is fresh,
// and at a start until it knows peers, or while it reads the store for them. It returns nil.
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
		fresh := now.Sub(pl.Mirror.ConfirmedAt(pl.FreshnessKind)) <= time.Duration(pl.staleAge(now))
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

// isDone reports whether a background pull has ended.
func isDone(done <-chan bool) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// pullNext pulls from this router's sources. If they are stale it gives the next router in rank
// takeoverWait to take over from them, then pulls from some random peers. If these are stale too it
// sets fallback and waits for its sources to recover.
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

// tryNextPeer calls pull for the next peer (see Fleet.PickPeer) and reports whether the peer was
// fresh.
func (pl *Puller) tryNextPeer(ctx context.Context, draw uint64, all bool, pull func(p Peer) bool) bool {
	p, ok := pl.Fleet.PickPeer(time.Now(), draw, all)
	if !ok || ctx.Err() != nil || !pull(p) {
		return false
	}
	pl.recordFresh(p.Name)
	return true
}

// awaitStoreRecovery waits, for at most retryPeersInterval and the pull in progress, until one of
// this router's sources is fresh again.
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

// recordFresh records that a peer was fresh, and ends the fallback.
func (pl *Puller) recordFresh(peer string) {
	pl.sweepSize = maxSweepSize
	if pl.setFallback(false) {
		pl.Log.Info("peers: Changes are pulled from a peer again, not read from the store.", zap.String("peer", peer), zap.Int("routers", pl.Fleet.Len()))
	}
}

// pull pulls from one peer and reports whether the peer was fresh. hold lets the peer hold the
// request until it has a change. A stale router must not set it, as it would wait for one stale
// peer after the other.
func (pl *Puller) pull(ctx context.Context, p Peer, hold bool) bool {
	sent := time.Now()
	until := sent
	if hold {
		until = longPollWait.After(sent)
	}
	return pl.exchangeOrDefer(ctx, p, pullRequest{WaitMs: until.Sub(sent).Milliseconds(), FromRelay: hold && pl.Fleet.IsRelay(sent)}, sent)
}

// exchangeOrDefer is exchange, but returns false if there is no connection after connectTimeout.
// The pull then continues in the background, and its response is applied when it arrives: a timeout
// of the connection would lose the responses of peers with saturated links.
func (pl *Puller) exchangeOrDefer(ctx context.Context, p Peer, q pullRequest, sent time.Time) bool {
	// GotConn may be called twice: the client retries the request on another connection if a
	// kept-alive one was closed.
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
		pl.Fleet.BackOff(p.Name, time.Now().Add(listResponseTimeout))
		pl.background = append(pl.background, done)
		return false
	}
}

// pullFresh pulls from a peer that may be stale and should answer as soon as it is fresh, or after
// wait. It reports whether the peer is fresh.
func (pl *Puller) pullFresh(ctx context.Context, p Peer, wait config.Span) bool {
	sent := time.Now()
	return pl.exchange(ctx, p, pullRequest{WaitMs: wait.After(sent).Sub(sent).Milliseconds(), AwaitFresh: true}, sent)
}

// exchange sends a request to one peer, applies the response, and reports whether the peer was
// fresh.
func (pl *Puller) exchange(ctx context.Context, p Peer, q pullRequest, sent time.Time) bool {
	got, err := pl.post(ctx, p, &q, sent)
	if err != nil {
		if ctx.Err() == nil {
			// Idle connections to other peers may have gone silent too.
			pl.HTTP.CloseIdleConnections()
			pl.Fleet.RecordNoAnswer(p.Name, time.Now())
			pl.Log.Info("peers: A pull from a peer failed.", zap.String("peer", p.Name), zap.Stringer("addr", p.Addr), logs.Err(err))
		}
		return false
	}
	pl.extendStartDelay(time.Now())
	return pl.apply(p, got, sent)
}

// apply applies a peer's response to a request that was sent at the time sent, and reports whether
// the peer was fresh.
func (pl *Puller) apply(p Peer, got *pullResponse, sent time.Time) bool {
	now := time.Now()
	list, err := decodeVerdicts(got.Verdicts, now, false)
	parts, partsErr := decodeVerdicts(got.PartVerdicts, now, true)
	if err := errors.Join(err, partsErr); err != nil {
		pl.Log.Warn("peers: Verdicts could not be decoded.", zap.String("peer", p.Name), logs.Err(err))
	}
	// Verdicts come before endpoints, so that no endpoint is sent a quarantined request.
	pl.OnVerdicts(append(list, parts...))
	// The peer answered no earlier than HeldMs after the request was sent.
	answered := sent.Add(time.Duration(got.HeldMs) * time.Millisecond)
	pl.recordAvailability(got, answered, now)
	for _, kind := range pl.Kinds {
		if k, ok := got.Kinds[kind]; ok && !pl.applyKind(p, kind, &k, answered, now) {
			pl.Fleet.RecordStale(p.Name, now)
			return false
		}
	}
	pl.Fleet.RecordAnswer(p.Name)
	w, ok := got.Kinds[pl.FreshnessKind]
	if !ok && !pl.hasAllKinds() {
		// The peer is starting as well and has read another kind first.
		pl.Fleet.BackOff(p.Name, startPollInterval.After(now))
		return false
	}
	if ok && w.Epoch < pl.Mirror.Epoch() {
		// However late this copy was proven to be the newest, the store has lost that history since. The peer
		// may be listing the kinds anew.
		pl.Fleet.BackOff(p.Name, readerPollInterval.After(now))
		return false
	}
	if !ok || time.Duration(w.AgeMs)*time.Millisecond > time.Duration(pl.staleAge(now)) {
		pl.Fleet.RecordStale(p.Name, now)
		return false
	}
	return true
}

// applyKind applies the changes of a kind in a response that was made between answered and now. It reports false if they
// could not be decoded.
func (pl *Puller) applyKind(p Peer, kind string, k *kindChanges, answered, now time.Time) bool {
	changes, bad, err := k.decode(now)
	for _, b := range bad {
		pl.OnUnreadable(kind, "", errors.Wrapf(b.Err, "peers: a change told by %s: %.60q", p.Name, b.Text))
	}
	if err != nil {
		pl.Log.Warn("peers: The changes in a pull response could not be decoded.", zap.String("peer", p.Name), zap.String("kind", kind), logs.Err(err))
		return false
	}
	at := answered.Add(-time.Duration(k.AgeMs) * time.Millisecond)
	if k.Whole {
		pl.Log.Info("peers: All of a kind was told.", zap.String("kind", kind), zap.String("peer", p.Name), zap.Stringer("revision", k.revision()), zap.Int("objects", len(changes)))
		pl.Mirror.Replace(kind, objects(changes), k.revision(), at, pl.Mirror.LapsesAt(now))
	} else {
		pl.logLapses(p, kind, changes, now)
		pl.Mirror.Apply(kind, changes, k.revision(), at)
	}
	return true
}

// recordAvailability records when the store answered according to a response that was made between answered and now.
// Earlier releases tell only when their copy was confirmed.
func (pl *Puller) recordAvailability(got *pullResponse, answered, now time.Time) {
	if got.Availability != nil {
		pl.Mirror.RecordAvailability(got.Availability.decode(answered, now), now)
	} else if k, ok := got.Kinds[pl.FreshnessKind]; ok {
		at := answered.Add(-time.Duration(k.AgeMs) * time.Millisecond)
		pl.Mirror.RecordAvailability(mirror.Period{From: at, To: at}, now)
	}
}

// logLapses logs that removals in a peer's response take effect later, if any does.
func (pl *Puller) logLapses(p Peer, kind string, changes []mirror.Change, now time.Time) {
	removals, lapsesAt := 0, time.Time{}
	for _, c := range changes {
		if c.Removed && c.LapsesAt.After(now) {
			removals, lapsesAt = removals+1, c.LapsesAt
		}
	}
	if removals > 0 {
		pl.Log.Info("peers: A peer has told removals that take effect later.", zap.String("peer", p.Name), zap.String("kind", kind),
			zap.Int("removals", removals), zap.Time("lapsesAt", lapsesAt))
	}
}

// staleAge returns the age up to which a peer's copy, or this router's own, counts as fresh.
func (pl *Puller) staleAge(now time.Time) config.Span {
	if pl.Fleet.IsRelay(now) {
		return relayStaleAfter
	}
	return staleAfter
}

// timeout returns the time for a response beyond the time for which the request is held. It is
// longer for a whole list, which a router gets that starts or has copies of an earlier epoch.
func (pl *Puller) timeout() time.Duration {
	if pl.hasAllKinds() && pl.Mirror.IsCurrent(pl.Kinds...) {
		return responseTimeout
	}
	return listResponseTimeout
}

func objects(changes []mirror.Change) []mirror.Object {
	list := make([]mirror.Object, 0, len(changes))
	for _, c := range changes {
		list = append(list, c.Object)
	}
	return list
}

// post sends a request to one peer and returns the response. It sets the fields Have and
// AcceptsCompressed of q.
func (pl *Puller) post(ctx context.Context, p Peer, q *pullRequest, sent time.Time) (*pullResponse, error) {
	q.Have, q.Epochs, q.AcceptsCompressed = make(map[string]int64), make(map[string]int64), true
	for _, k := range pl.Kinds {
		revision := pl.Mirror.Revision(k)
		q.Have[k], q.Epochs[k] = revision.Number(), revision.Epoch()
	}
	text, err := json.Marshal(q)
	if err != nil {
		return nil, errors.Wrap(err, "peers: encode pull request")
	}
	ctx, cancel := context.WithDeadline(ctx, sent.Add(time.Duration(q.WaitMs)*time.Millisecond+pl.timeout()))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Addr.String()+pullPath, bytes.NewReader(text))
	if err != nil {
		return nil, errors.Wrap(err, "peers: create pull request")
	}
	req.Header.Set("Authorization", "Bearer "+p.Token)
	pl.Traffic.PullRequests.Add(int64(len(text)))
	resp, err := pl.HTTP.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "peers: send pull request")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("peers: pull request rejected with status %d", resp.StatusCode)
	}
	return decodeResponse(io.LimitReader(resp.Body, maxResponseBytes))
}
