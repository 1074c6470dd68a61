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
	"github.com/traildrift/traildrift/pkg/poison"
)

// Server answers peers from a mirror.
type Server struct {
	Log    *zap.Logger
	Mirror *mirror.Mirror
	Secret *Secret
	cache  compressionCache
	// FreshnessKind is the kind whose age says how well this router is informed.
	FreshnessKind string
	// OnStartingPeer is called where a peer that knows nothing yet asks this router; set before
	// the first question.
	OnStartingPeer func()
	// Verdicts returns what a peer that starts should know besides the stored objects; set
	// before the first question.
	Verdicts func() []poison.Verdict
	// Age returns how old what was true at a time is now; set before the first question.
	Age func(at, now time.Time) time.Duration
	// Traffic counts the answers; set before the first question.
	Traffic *Traffic
	// slots bounds the questions that are held.
	slots chan struct{}
}

const (
	// maxHeld bounds the questions that are held at a time; a fleet of the
	// users' size has 370 routers, of which most ask other ones.
	maxHeld = 512
	// maxHold bounds how long a question is held.
	maxHold = 2 * time.Second
	// maxRequestBytes bounds a question, in bytes.
	maxRequestBytes = 4 << 10
)

// NewServer returns a server that answers those who show the token.
func NewServer(log *zap.Logger, m *mirror.Mirror, freshnessKind string, secret *Secret) *Server {
	return &Server{Log: log, Mirror: m, FreshnessKind: freshnessKind, Secret: secret, OnStartingPeer: func() {}, Age: func(at, now time.Time) time.Duration { return now.Sub(at) }, Verdicts: func() []poison.Verdict { return nil }, Traffic: &Traffic{}, slots: make(chan struct{}, maxHeld)}
}

// ServeHTTP answers one question.
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
		s.Log.Warn("peers: A question could not be read.", zap.String("from", r.RemoteAddr), zap.Error(err))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if req.hasNothing() {
		s.OnStartingPeer()
	}
	receivedAt := time.Now()
	s.hold(r.Context(), &req, receivedAt)
	now := time.Now()
	resp := pullResponse{Kinds: make(map[string]kindChanges), HeldMs: now.Sub(receivedAt).Milliseconds()}
	for kind, revision := range req.Have {
		if d, ok := s.Mirror.Since(kind, revision); ok {
			resp.Kinds[kind] = encodeDelta(kind, d, s.Age(d.ProvenAt, now), now, &s.cache, req.AcceptsCompressed)
		}
	}
	if req.hasNothing() {
		resp.Verdicts = s.verdicts(now)
	}
	w.Header().Set("Content-Type", "application/json")
	if err := resp.encode(countingWriter{w, &s.Traffic.PullResponses}); err != nil {
		s.Log.Debug("peers: A peer left before its answer.", zap.Error(err))
	}
}

// verdicts returns the verdicts that a peer which starts should know, encoded.
func (s *Server) verdicts(now time.Time) []byte {
	text, err := encodeVerdicts(nil, s.Verdicts(), now)
	if err != nil {
		s.Log.Error("peers: Verdicts could not be encoded.", logs.Err(err))
		return nil
	}
	return text
}

// hold returns when this copy knows more than the asker, or at the time that the question
// may be held for. Where the copy grows too old, an asker learns that at once, unless it
// waits for word that the store is back.
func (s *Server) hold(ctx context.Context, req *pullRequest, receivedAt time.Time) {
	until := receivedAt.Add(min(time.Duration(req.WaitMs)*time.Millisecond, maxHold))
	if req.AwaitFresh {
		s.Mirror.AwaitProof(ctx, s.FreshnessKind, receivedAt.Add(-time.Duration(staleAfter)), until)
		return
	}
	proven, maxAge := s.Mirror.Proven(s.FreshnessKind), staleAfter
	if req.FromRelay {
		maxAge = relayStaleAfter
	}
	if aged := maxAge.After(proven); aged.Before(until) {
		until = aged
	}
	if req.FromRelay {
		s.Mirror.AwaitNews(ctx, req.Have, s.FreshnessKind, proven, until)
		return
	}
	s.Mirror.Await(ctx, req.Have, until)
}
