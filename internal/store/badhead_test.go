// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package store

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/broken"
)

// answering serves connections: each request on them gets text, then the connection ends.
func answering(t *testing.T, text string) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, q.Body)
				_, _ = io.WriteString(c, text)
			}
			_ = c.Close()
		}
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		<-served
	})
	return netip.MustParseAddrPort(ln.Addr().String())
}

// Guards against a write that is acknowledged, and a read that counts, by an answer that is none, such as one with status
// 000.
func TestBrokenHeadsAreNoAnswers(t *testing.T) {
	for _, a := range broken.Answers() {
		addr := answering(t, a.Text(VersionHeader+": 7\r\n"))
		c := New(addr)
		if version, err := c.Put(t.Context(), "k", "n", 0, []byte("v")); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("%s, write: got version %d, %v, want %v", a.Name, version, err, ErrOutcomeUnknown)
		}
		if o, err := c.Get(t.Context(), "k", "n"); !errors.Is(err, ErrUnavailable) {
			t.Errorf("%s, read: got %+v, %v, want %v", a.Name, o, err, ErrUnavailable)
		}
		if list, err := NewVMs(addr).List(t.Context()); !errors.Is(err, ErrUnavailable) {
			t.Errorf("%s, VM list: got %v, %v, want %v", a.Name, list, err, ErrUnavailable)
		}
		c.Close()
	}
}
