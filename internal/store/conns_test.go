// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package store

import (
	"net"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestWriteAfterClose writes through a closed client. The write certainly had no effect, so that its
// error must be ErrUnavailable. Guards against a write whose outcome counts as unknown although
// nothing was sent.
func TestWriteAfterClose(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	c := New(ln.Addr().(*net.TCPAddr).AddrPort())
	c.Close()
	_, got := c.Put(t.Context(), "k", "n", 0, []byte("v"))
	if !errors.Is(got, ErrUnavailable) || errors.Is(got, ErrOutcomeUnknown) {
		t.Errorf("got %v, want %v", got, ErrUnavailable)
	}
}
