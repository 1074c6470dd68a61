// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"
)

// endlessEngine answers the first request on each connection with head and then text again and again, until its other side
// closes the connection.
func endlessEngine(t *testing.T, head, text string) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	block := []byte(strings.Repeat(text, 1+(32<<10)/len(text)))
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err := c.Write([]byte(head))
		for err == nil {
			_, err = c.Write(block)
		}
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			serve(c)
		}
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		<-served
	})
	return netip.MustParseAddrPort(ln.Addr().String())
}

// allocated returns the number of bytes that the process has allocated so far.
func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// A probe ends in time whatever the engine sends, and keeps little of an answer without end.
//
// Guards against a guard that collects such an answer until its VM runs out of memory.
func TestEndlessShortAnswers(t *testing.T) {
	const maxAllocated, maxTime = 4 << 20, 5 * time.Second
	for _, c := range []struct{ name, head, text string }{
		{"noise", "", "\x00\xff noise "},
		{"head", "HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789abcdef\r\n"},
		{"headLine", "HTTP/1.1 200 OK\r\nX-Filler: ", "0123456789abcdef"},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef"},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		{"statedLength", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "0123456789abcdef"},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := NewEndpoint(KindEngine, endlessEngine(t, c.head, c.text))
			before, began := allocated(), time.Now()
			versions, err := e.Probe(t.Context())
			if took := time.Since(began); took > maxTime {
				t.Errorf("probe: got its end after %v, want it within %v", took, maxTime)
			}
			if err != nil || len(versions) > 0 {
				t.Errorf("probe: got versions %v, %v, want none and no error", versions, err)
			}
			if got := allocated() - before; got > maxAllocated {
				t.Errorf("memory allocated: got %d bytes, want %d at most", got, maxAllocated)
			}
		})
	}
}
