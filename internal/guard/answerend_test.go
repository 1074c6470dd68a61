// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/stream"
)

// cutService answers each connection with the first bytes of an answer and closes it. Once ended is set, its port is
// closed with the answer, as by the end of the process.
func cutService(t *testing.T, answer string, ends bool) netip.AddrPort {
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
				if ends {
					_ = ln.Close()
				}
				_, _ = c.Write([]byte(answer))
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

func runService(t *testing.T, addr netip.AddrPort) (string, *fault.Error) {
	b := stream.New(1 << 20)
	work := wire.Work{Call: wire.Call{Method: http.MethodGet, Path: "/titles/17", Deadline: time.Now().Add(10 * time.Second)}}
	_, err := NewEndpoint(KindService, addr).Run(t.Context(), wire.RunKey{RunID: "r"}, &work, b)
	return string(b.Bytes()), err
}

// An answer of a service that ends before its announced end is cut, wherever that is; one without an announced end is
// cut if the service has ended with it.
//
// Guards against cut answers that the entry passes on with a length of its own.
func TestCutAnswersOfServicesAreNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	for _, c := range []struct {
		name, head, body string
		// ends says that the service ends with its answer.
		ends, announced bool
	}{
		{"length", head + "Content-Length: 12\r\n\r\n", "answer to a.", false, true},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "7\r\nanswer \r\n5\r\nto a.\r\n0\r\n\r\n", false, true},
		{"unannounced", head + "Connection: close\r\n\r\n", "answer to a.", false, false},
		{"unannounced, ended", head + "Connection: close\r\n\r\n", "answer to a.", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			for n := 0; n <= len(c.body); n++ {
				body, err := runService(t, cutService(t, c.head+c.body[:n], c.ends))
				whole := n == len(c.body) || !c.announced
				if whole = whole && !c.ends; (err == nil) != whole {
					t.Errorf("%d bytes of %d: got %q, %v, want whole: %v", n, len(c.body), body, err, whole)
				}
			}
		})
	}
}

// A head that did not end is no answer, wherever it is cut, also where it had told the length of the body, and with a body
// in the same packet as the head of the next answer would be.
//
// Guards against cut heads that become answers with an empty body.
func TestCutHeadsAreNoAnswers(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nContent-Type: text/plain\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/plain\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\nContent-Length: 0\n\n",
	} {
		for _, kind := range []string{KindService, KindEngine} {
			for n := range len(head) {
				addr := cutService(t, head[:n], false)
				b := stream.New(1 << 20)
				work := wire.Work{Call: wire.Call{Method: http.MethodGet, Path: "/titles/17", Deadline: time.Now().Add(10 * time.Second)}}
				_, err := NewEndpoint(kind, addr).Run(t.Context(), wire.RunKey{RunID: "r"}, &work, b)
				if err == nil || len(b.Bytes()) > 0 {
					t.Errorf("%s: %q cut after %d bytes: got %q, %v, want an error", kind, head, n, b.Bytes(), err)
				}
			}
		}
	}
}
