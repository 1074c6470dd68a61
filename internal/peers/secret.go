// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"crypto/subtle"
	"sync/atomic"
)

// Secret holds the token of this router, which its peers present in pull requests and datagrams.
// The zero value rejects all. It is safe for concurrent use.
type Secret struct{ text atomic.Pointer[string] }

// Set sets the token.
func (s *Secret) Set(token string) { s.text.Store(&token) }

// matches reports whether a peer presented the token.
func (s *Secret) matches(token string) bool {
	want := s.text.Load()
	return want != nil && *want != "" && subtle.ConstantTimeCompare([]byte(token), []byte(*want)) == 1
}

// matchesPrefix reports whether a datagram begins with the first tokenBytes bytes of the token.
func (s *Secret) matchesPrefix(b []byte) bool {
	want := s.text.Load()
	return want != nil && len(*want) >= tokenBytes && len(b) >= tokenBytes && subtle.ConstantTimeCompare(b[:tokenBytes], []byte((*want)[:tokenBytes])) == 1
}

// copyTo fills dst with the start of the token; it returns false if the token is shorter.
func (s *Secret) copyTo(dst []byte) bool {
	text := s.text.Load()
	return text != nil && copy(dst, *text) == len(dst)
}
