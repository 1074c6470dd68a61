// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package quota

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// serveDoor serves requests on a door until the test ends. end must call Conn.End.
func serveDoor(t *testing.T, d *Door, last bool, end func(c *Conn)) {
	srv := &http.Server{ConnContext: WithConn, ConnState: OnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		c := FromContext(q.Context())
		c.Begin()
		if last {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, "answer")
		end(c)
	})}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = srv.Serve(d)
	}()
	t.Cleanup(func() {
		_ = srv.Close()
		<-ended
	})
}

// listen opens a door of an account on loopback.
func listen(t *testing.T, a *Account, maxConns int) *Door {
	d, err := a.Listen("127.0.0.1:0", Options{Name: "callers", MaxConns: maxConns})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// get sends a request on a client's connection and returns the answer.
func get(c *http.Client, d *Door) (string, error) {
	resp, err := c.Get("http://" + d.Addr().String() + "/")
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// A request that ends while others hold all memory but that which is left free has its answer, and its connection is kept.
//
// Guards against answers that are lost as their connections give way between the end of the handler and the write of what
// it has answered.
func TestAnswerIsWrittenWithoutMemory(t *testing.T) {
	a := NewAccount("callers", 1<<20)
	d := listen(t, a, 10)
	other := acceptOne(t, a)
	hold := func(n int64) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.usedBytes += n
		other.heldBytes += n
	}
	serveDoor(t, d, false, func(c *Conn) {
		hold(a.maxBytes)
		c.End(0, false)
	})
	c := &http.Client{Transport: new(http.Transport)}
	defer c.CloseIdleConnections()
	for range 3 {
		if text, err := get(c, d); err != nil || text != "answer" {
			t.Errorf("answer: got %q, %v, want it whole", text, err)
		}
		hold(-a.maxBytes)
	}
	if got := d.Conns(); got != 1 {
		t.Errorf("connections: got %d, want the one that is kept", got)
	}
}

// The last answer of a connection is written before the connection gives way to new ones.
//
// Guards against answers that are lost when many connections come, as a connection that is about to be closed gives way at
// once.
func TestLastAnswerIsWrittenBeforeTheConnectionGivesWay(t *testing.T) {
	const maxConns = 1000
	a := NewAccount("callers", 0)
	d := listen(t, a, maxConns)
	d.conns = maxConns - 1
	serveDoor(t, d, true, func(q *Conn) {
		q.End(0, true)
		if c, err := net.Dial("tcp", d.Addr().String()); err == nil {
			defer func() { _ = c.Close() }()
		}
		// The door looks for room for the new connection meanwhile.
		<-time.After(5 * acceptPause)
	})
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if text, err := get(c, d); err != nil || text != "answer" {
		t.Errorf("answer: got %q, %v, want it whole", text, err)
	}
}

// A caller that does not take the last bytes of its answer gives way to new connections.
//
// Guards against connections that never give way, as their answers are never written whole.
func TestUnreadEndOfAnswerGivesWay(t *testing.T) {
	h := newHouse(t, 0, 1)
	c, _ := h.open()
	c.Begin()
	c.End(0, false)
	h.now = h.now.Add(2 * minRoomTime)
	h.open()
	h.check("evictedAnswer", 1)
	h.now = h.now.Add(2 * minRoomTime)
	other, _ := h.open()
	other.Begin()
	other.End(0, false)
	other.Rest()
	h.now = h.now.Add(2 * minRoomTime)
	h.open()
	h.check("evictedIdle", 2)
}
