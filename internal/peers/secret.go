// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"crypto/subtle"
	"sync/atomic"
)

// Secret is the token of this router, which its peers have to show. The zero value lets
// nobody in.
type Secret struct{ text atomic.Pointer[string] }

// Set changes the token.
func (s *Secret) Set(token string) { s.text.Store(&token) }

// matches reports whether a peer showed the token.
func (s *Secret) matches(token string) bool {
	want := s.text.Load()
	return want != nil && *want != "" && subtle.ConstantTimeCompare([]byte(token), []byte(*want)) == 1
}

// matchesPrefix reports whether a datagram matchesPrefix with the first bytes of the token.
func (s *Secret) matchesPrefix(b []byte) bool {
	want := s.text.Load()
	return want != nil && len(*want) >= tokenBytes && len(b) >= tokenBytes && subtle.ConstantTimeCompare(b[:tokenBytes], []byte((*want)[:tokenBytes])) == 1
}

// copyTo copies the first bytes of the token; false if there are fewer.
func (s *Secret) copyTo(dst []byte) bool {
	text := s.text.Load()
	return text != nil && copy(dst, *text) == len(dst)
}
