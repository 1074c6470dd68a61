// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/mirror"
)

// Server answers peers from a mirror.
type Server struct {
	Log    *zap.Logger
	Mirror *mirror.Mirror
	Token  string
	packs  packs
	// Watched is the kind whose age says how well this router is informed.
	Watched string
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
func NewServer(log *zap.Logger, m *mirror.Mirror, watched, token string) *Server {
	return &Server{Log: log, Mirror: m, Watched: watched, Token: token, Traffic: &Traffic{}, slots: make(chan struct{}, heldMost)}
}

// ServeHTTP answers one question.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte("Bearer "+s.Token)) != 1 {
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
	asked := time.Now()
	wait := min(time.Duration(q.WaitMs)*time.Millisecond, waitMost)
	until := asked.Add(wait)
	if aged := agedAfter.After(s.Mirror.Proven(s.Watched)); aged.Before(until) {
		// An asker should learn at once that this copy is old.
		until = aged
	}
	s.Mirror.Await(r.Context(), q.Have, until)
	now := time.Now()
	a := answer{Kinds: make(map[string]kindAnswer), HeldMs: now.Sub(asked).Milliseconds()}
	for kind, revision := range q.Have {
		if d, ok := s.Mirror.Since(kind, revision); ok {
			a.Kinds[kind] = encode(kind, d, now, &s.packs)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(countingWriter{w, &s.Traffic.Answers}).Encode(a); err != nil {
		s.Log.Debug("peers: A peer left before its answer.", zap.Error(err))
	}
}
