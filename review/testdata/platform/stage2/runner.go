// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Header fields of the platform.
const (
	headerID        = "X-Request-Id"
	headerDeadline  = "X-Deadline-Ms"
	headerTarget    = "X-Target-Instance"
	headerSignature = "X-Response-Signature"
	headerInstance  = "X-Instance-Id"
	headerNotRun    = "X-Not-Executed"
	headerLoad      = "X-Server-Load"
	headerLastEvent = "Last-Event-Id"
	headerModel     = "X-Model"
	headerTokens    = "X-Token-Usage"
	headerPrefix    = "X-Prompt-Prefix"
)

// runner is one life of a runner, as a process of its own. It answers requests below /stream/ with events, and others with
// a body in pieces; the caller says how in fields of its own.
type runner struct {
	id      string
	slots   int
	running atomic.Int64
}

// serveRunner serves as the runner with an ID at an address until the process is killed. It prints a line with the ID of
// each request that it begins to run.
func serveRunner(id, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r := &runner{id: id, slots: 64}
	go func() {
		// The end of standard input shows that the case has ended.
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	return http.Serve(ln, r)
}

// ServeHTTP answers one request.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set(headerLoad, fmt.Sprintf("%d,0,%d", r.running.Load(), r.slots))
	if q.URL.Path == healthPath {
		w.Header().Set(headerInstance, r.id)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	w.Header().Set(headerID, q.Header.Get(headerID))
	if q.Header.Get(headerTarget) != r.id {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.running.Add(1)
	defer r.running.Add(-1)
	fmt.Println(q.Header.Get(headerID))
	w.Header().Set(headerSignature, "5a2.07."+r.id)
	sendPieces(w, q)
}

const (
	healthPath = "/health"
	// headerPieces is the number of pieces of the answer, headerPauseMs the pause after each, and headerFraming says how its
	// end is told: chunks, or none where it ends with its connection.
	headerPieces  = "X-Review-Pieces"
	headerPauseMs = "X-Review-Pause-Ms"
	headerFraming = "X-Review-Framing"
)

// piece returns event n of an answer.
func piece(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// pieces returns the events from first to last of an answer.
func pieces(first, last int) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		b.WriteString(piece(n))
	}
	return b.String()
}

// sendPieces sends the events of an answer, after the one that the caller has.
func sendPieces(w http.ResponseWriter, q *http.Request) {
	number := func(name string) int {
		n, _ := strconv.Atoi(q.Header.Get(name))
		return n
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if q.Header.Get(headerFraming) == "none" {
		w.Header().Set("Transfer-Encoding", "identity")
		w.Header().Set("Connection", "close")
	}
	flush := http.NewResponseController(w)
	for n := number(headerLastEvent) + 1; n <= number(headerPieces); n++ {
		if _, err := io.WriteString(w, piece(n)); err != nil {
			return
		}
		if err := flush.Flush(); err != nil {
			return
		}
		select {
		case <-time.After(time.Duration(number(headerPauseMs)) * time.Millisecond):
		case <-q.Context().Done():
			return
		}
	}
}
