// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/stream"
)

// earlyEndpoint is an endpoint that reads the head of each request, answers with text, and resets the connection after
// pause without reading the body.
func earlyEndpoint(t *testing.T, text string, pause time.Duration) netip.AddrPort {
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
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write([]byte(text))
				<-time.After(pause)
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		<-served
	})
	return netip.MustParseAddrPort(ln.Addr().String())
}

// Guards against a part of an answer without an announced end that is told whole, as its endpoint reset the connection
// while the request was written.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for _, kind := range []string{KindService, KindEngine} {
		for _, size := range []int{40, 300 << 10} {
			for _, pause := range []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond} {
				t.Run(fmt.Sprint(kind, size, pause), func(t *testing.T) {
					addr := earlyEndpoint(t, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", size), pause)
					for range 4 {
						b := stream.New(1 << 20)
						work := wire.Work{Call: wire.Call{Method: http.MethodPost, Path: "/titles/17", Body: make([]byte, 8<<20), Deadline: time.Now().Add(20 * time.Second)}}
						if _, err := NewEndpoint(kind, addr).Run(t.Context(), wire.RunKey{RunID: "r"}, &work, b); err == nil {
							t.Errorf("run: got a whole answer of %d bytes, want an error", b.Len())
						}
					}
				})
			}
		}
	}
}
