// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/mirror"
	"github.com/traildrift/traildrift/pkg/epoch"
	"github.com/traildrift/traildrift/pkg/poison"
)

// Server answers the pulls of peers from a mirror. Create it with NewServer; its exported fields
// are set before the first request.
type Server struct {
	Log    *zap.Logger
	Mirror *mirror.Mirror
	Secret *Secret
	cache  compressionCache
	// FreshnessKind is the kind by the age of whose copy this router counts as fresh.
	FreshnessKind string
	// OnStartingPeer is called when a peer that has no objects yet sends a request.
	OnStartingPeer func()
	// Verdicts returns the verdicts to send to such a peer along with the objects.
	Verdicts func() []poison.Verdict
	// Age returns the age at now of a copy that was the newest at the time at.
	Age func(at, now time.Time) time.Duration
	// Traffic counts the bytes of the responses.
	Traffic *Traffic
	// slots limits the requests in progress to maxHeld.
	slots chan struct{}
}

const (
	// maxHeld is the maximum number of requests in progress; further ones are rejected with status
	// 429. A fleet of 370 routers is expected, most of which pull from others.
	maxHeld = 512
	// maxHold is the maximum time for which a request is held.
	maxHold = 2 * time.Second
	// maxRequestBytes is the maximum length of a request body.
	maxRequestBytes = 4 << 10
)

// NewServer returns a server that answers the requests that present the token in secret.
func NewServer(log *zap.Logger, m *mirror.Mirror, freshnessKind string, secret *Secret) *Server {
	return &Server{Log: log, Mirror: m, FreshnessKind: freshnessKind, Secret: secret, OnStartingPeer: func() {}, Age: func(at, now time.Time) time.Duration { return now.Sub(at) }, Verdicts: func() []poison.Verdict { return nil }, Traffic: &Traffic{}, slots: make(chan struct{}, maxHeld)}
}

// ServeHTTP answers one pull request. It rejects one without the token with status 401, one of
// another path with 404, one beyond maxHeld with 429 and one that is not valid with 400.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if shown, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); !ok || !s.Secret.matches(shown) {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	if r.URL.Path != pullPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	var req pullRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
		s.Log.Warn("peers: A pull request could not be decoded.", zap.String("from", r.RemoteAddr), zap.Error(err))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if req.hasNothing() {
		s.OnStartingPeer()
	}
	receivedAt, have := time.Now(), req.revisions(s.Mirror)
	s.hold(r.Context(), &req, have, receivedAt)
	now := time.Now()
	resp := pullResponse{Kinds: make(map[string]kindChanges), HeldMs: now.Sub(receivedAt).Milliseconds(), Availability: encodePeriod(s.Mirror.Availability(), now, s.Age)}
	for kind, revision := range have {
		if d, ok := s.Mirror.Since(kind, revision); ok {
			resp.Kinds[kind] = encodeDelta(kind, d, s.Age(d.ConfirmedAt, now), now, &s.cache, req.AcceptsCompressed)
		}
	}
	if req.hasNothing() {
		requests, parts := splitVerdicts(s.Verdicts())
		resp.Verdicts, resp.PartVerdicts = s.encode(requests, now, false), s.encode(parts, now, true)
	}
	w.Header().Set("Content-Type", "application/json")
	if err := resp.encode(countingWriter{w, &s.Traffic.PullResponses}); err != nil {
		s.Log.Debug("peers: A pull response could not be written.", zap.Error(err))
	}
}

// encode returns encoded verdicts for a peer that starts, but those that cannot be encoded.
func (s *Server) encode(list []poison.Verdict, now time.Time, withParts bool) []byte {
	text, err := encodeVerdicts(nil, list, now, withParts)
	if err != nil {
		s.Log.Error("peers: Verdicts could not be encoded.", logs.Err(err))
	}
	return text
}

// hold blocks until this router's copy has changes for the peer, but at most for the time that the
// peer allows, and maxHold. It returns at once when the copy becomes stale, so that the peer tries
// another one. If the peer waits for a fresh copy, hold returns when this one is; if the peer is a
// relay, also when the copy was proven anew.
func (s *Server) hold(ctx context.Context, req *pullRequest, have map[string]epoch.Revision, receivedAt time.Time) {
	until := receivedAt.Add(min(time.Duration(req.WaitMs)*time.Millisecond, maxHold))
	if req.AwaitFresh {
		s.Mirror.AwaitConfirmation(ctx, s.FreshnessKind, receivedAt.Add(-time.Duration(staleAfter)), until)
		return
	}
	proven, maxAge := s.Mirror.ConfirmedAt(s.FreshnessKind), staleAfter
	if req.FromRelay {
		maxAge = relayStaleAfter
	}
	if aged := maxAge.After(proven); aged.Before(until) {
		until = aged
	}
	if req.FromRelay {
		s.Mirror.AwaitChangeOrConfirmation(ctx, have, s.FreshnessKind, proven, until)
		return
	}
	s.Mirror.AwaitChange(ctx, have, until)
}
