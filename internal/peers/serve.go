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
	packs  packs
	// Watched is the kind whose age says how well this router is informed.
	Watched string
	// OnStarting is called where a peer that knows nothing yet asks this router; set before
	// the first question.
	OnStarting func()
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
	// heldMost bounds the questions that are held at a time; a fleet of the
	// users' size has 370 routers, of which most ask other ones.
	heldMost = 512
	// waitMost bounds how long a question is held.
	waitMost = 2 * time.Second
	// questionMost bounds a question, in bytes.
	questionMost = 4 << 10
)

// NewServer returns a server that answers those who show the token.
func NewServer(log *zap.Logger, m *mirror.Mirror, watched string, secret *Secret) *Server {
	return &Server{Log: log, Mirror: m, Watched: watched, Secret: secret, OnStarting: func() {}, Age: func(at, now time.Time) time.Duration { return now.Sub(at) }, Verdicts: func() []poison.Verdict { return nil }, Traffic: &Traffic{}, slots: make(chan struct{}, heldMost)}
}

// ServeHTTP answers one question.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if shown, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); !ok || !s.Secret.is(shown) {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	if r.URL.Path != path {
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
	var q question
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, questionMost)).Decode(&q); err != nil {
		s.Log.Warn("peers: A question could not be read.", zap.String("from", r.RemoteAddr), zap.Error(err))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if q.starting() {
		s.OnStarting()
	}
	asked := time.Now()
	s.hold(r.Context(), &q, asked)
	now := time.Now()
	a := answer{Kinds: make(map[string]kindAnswer), HeldMs: now.Sub(asked).Milliseconds()}
	for kind, revision := range q.Have {
		if d, ok := s.Mirror.Since(kind, revision); ok {
			a.Kinds[kind] = encode(kind, d, s.Age(d.ConfirmedAt, now), now, &s.packs, q.Packs)
		}
	}
	if q.starting() {
		a.Verdicts = s.verdicts(now)
	}
	w.Header().Set("Content-Type", "application/json")
	if err := a.write(countingWriter{w, &s.Traffic.Answers}); err != nil {
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
func (s *Server) hold(ctx context.Context, q *question, asked time.Time) {
	until := asked.Add(min(time.Duration(q.WaitMs)*time.Millisecond, waitMost))
	if q.Proof {
		s.Mirror.AwaitConfirmation(ctx, s.Watched, asked.Add(-time.Duration(agedAfter)), until)
		return
	}
	proven, most := s.Mirror.ConfirmedAt(s.Watched), agedAfter
	if q.Follows {
		most = relayAgedAfter
	}
	if aged := most.After(proven); aged.Before(until) {
		until = aged
	}
	if q.Follows {
		s.Mirror.AwaitChangeOrConfirmation(ctx, q.Have, s.Watched, proven, until)
		return
	}
	s.Mirror.AwaitChange(ctx, q.Have, until)
}
