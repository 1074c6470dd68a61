// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package quota

import (
	"bytes"
	"container/list"
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// ErrNoMemory means that the account has no memory for what a connection wants.
var ErrNoMemory = errors.New("quota: the memory for callers is used up by others")

const (
	// LineBytes is what a line of a head is charged beyond its bytes: the parsed field, and its copies in the request and
	// in an attempt.
	LineBytes = 400
	// ElementBytes is what an element of a list in a field is charged: a list of parts of a prompt is decoded.
	ElementBytes = 64
	// RequestBytes is what a request in service is charged: its goroutines, and its connection to an endpoint.
	RequestBytes = 32 << 10
)

// Conn is a connection of a caller. The server of the door calls Begin and End around each request, and Rest once it has
// written the answer to one after which the connection stays open; what it reads after that is taken for heads. Servers
// write the end of an answer after their handlers, so after End.
type Conn struct {
	*net.TCPConn
	door *Door
	// mu of the account guards the fields below.
	//
	// heldBytes is what the connection is charged; evicted says that this was taken from it.
	heldBytes int64
	evicted   bool
	stage     stage
	// since is when the connection last made progress, or its stage was set.
	since time.Time
	// element is the connection's element in the list of its stage; nil in the stage service.
	element *list.Element
	// closed says that the connection is closed, and not counted any more.
	closed bool
	// inRequest is set from Begin to End, ending from End until the answer is written: to Rest, CloseWrite or Close.
	inRequest, ending bool
	// bodyBytes and last are those of the last call of End.
	bodyBytes int64
	last      bool
	// readHead says that a part of a head was read since the last request. lineBegun says that its present line is not
	// empty, headEnded that an empty line was read.
	readHead, lineBegun, headEnded bool
	// afterHead is the number of bytes that were read after the head, lastCost what those of the last read would cost as
	// a head.
	afterHead, lastCost int64
	// aheadBytes is the charge for bytes beyond the end of the last request.
	aheadBytes int64
	// wantedBytes is the size of a step of progress of a body, doneBytes the part of the step that was read.
	wantedBytes, doneBytes int
	// writeBy is the deadline of writes that the server has set; zero for none.
	writeBy time.Time
}

// Read implements net.Conn. Bytes of a head are charged before they are returned; if they can't be, the connection ends.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.recordRead(p[:n]) {
		c.refuse()
		// Servers take an error of this type for the end of the connection, and send nothing more.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: ErrNoMemory}
	}
	return n, err
}

// recordRead charges what was read, and reports whether that was granted.
func (c *Conn) recordRead(p []byte) bool {
	a := c.door.a
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.inRequest || c.ending && !c.last {
		c.recordBody(p)
		return true
	}
	if c.stage == closing || c.ending {
		// The rest of a refused request is dropped.
		return true
	}
	if c.stage != head && !c.evicted {
		a.setStage(c, head)
	}
	c.readHead = true
	rest := c.scanHead(p)
	c.afterHead += int64(len(rest))
	c.lastCost = lineCost(rest)
	return a.grant(c, lineCost(p), forWaiting)
}

// lineEnd ends a line of a head, and separator an element of a list in a field.
var lineEnd, separator = []byte{'\n'}, []byte{','}

// lineCost returns the charge for bytes that may be those of a head.
func lineCost(p []byte) int64 {
	return 2*int64(len(p)) + int64(bytes.Count(p, lineEnd))*LineBytes + int64(bytes.Count(p, separator))*ElementBytes
}

// scanHead looks for the empty line at the end of a head, and returns what follows it.
func (c *Conn) scanHead(p []byte) (rest []byte) {
	for len(p) > 0 && !c.headEnded {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			c.lineBegun = c.lineBegun || len(p) > 1 || p[0] != '\r'
			return nil
		}
		c.headEnded = !c.lineBegun && (i == 0 || i == 1 && p[0] == '\r')
		c.lineBegun = false
		p = p[i+1:]
	}
	return p
}

// recordBody notes the progress of a body, and what may have been read beyond its end.
func (c *Conn) recordBody(p []byte) {
	c.afterHead += int64(len(p))
	c.lastCost = lineCost(p)
	c.doneBytes += len(p)
	if c.stage == body && c.doneBytes >= c.wantedBytes {
		c.doneBytes = 0
		c.door.a.setStage(c, body)
	}
}

// Write implements net.Conn. A caller that takes nothing of an answer gives way, and is left after the
// time that Door.SetWriteTimeout sets.
func (c *Conn) Write(p []byte) (int, error) {
	a := c.door.a
	a.mu.Lock()
	before := c.stage
	if before == service || c.ending && before == answer {
		a.setStage(c, answer)
	}
	_ = c.TCPConn.SetWriteDeadline(earlier(c.writeBy, time.Now().Add(c.door.writeTimeout)))
	a.mu.Unlock()
	n, err := c.TCPConn.Write(p)
	a.mu.Lock()
	if before == service && c.stage == answer {
		a.setStage(c, service)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.evicted && c.writeBy.IsZero() {
		a.report(c.door, TimedOutAnswer, c.heldBytes)
	}
	a.mu.Unlock()
	return n, err
}

// earlier returns the earlier of two times, of which a may be zero for none.
func earlier(a, b time.Time) time.Time {
	if !a.IsZero() && a.Before(b) {
		return a
	}
	return b
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.door.a.mu.Lock()
	defer c.door.a.mu.Unlock()
	c.writeBy = t
	return c.TCPConn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Begin says that the head of a request was read.
func (c *Conn) Begin() {
	a := c.door.a
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.ending {
		// The next request was read with the last one, and the server has not rested between them.
		c.rest()
	}
	c.inRequest = true
	if !c.evicted {
		a.setStage(c, service)
	}
}

// BeginService begins the service of a request that was read whole, and charges it RequestBytes. The error is ErrNoMemory.
func (c *Conn) BeginService() error { return c.charge(RequestBytes, forService) }

// Grant charges n bytes of a body or an answer to the connection, until the end of the request. The error is ErrNoMemory.
func (c *Conn) Grant(n int) error { return c.charge(int64(n), forBody) }

func (c *Conn) charge(n int64, u use) error {
	c.door.a.mu.Lock()
	defer c.door.a.mu.Unlock()
	if !c.door.a.grant(c, n, u) {
		return ErrNoMemory
	}
	return nil
}

// hasRead reports whether n bytes after the head were read with it.
func (c *Conn) hasRead(n int64) bool {
	c.door.a.mu.Lock()
	defer c.door.a.mu.Unlock()
	return c.afterHead >= n
}

// Return gives back n bytes that Grant has charged.
func (c *Conn) Return(n int) {
	a := c.door.a
	a.mu.Lock()
	defer a.mu.Unlock()
	if !c.evicted {
		c.heldBytes -= int64(n)
		a.usedBytes -= int64(n)
	}
}

// End ends the service of a request, whose body has bodyBytes as it was sent, or -1 if that is not known, and gives back
// what it held. last says that the connection is closed after the answer. Until the answer is written, the connection gives
// way only as one whose caller takes nothing of its answer.
func (c *Conn) End(bodyBytes int64, last bool) {
	a := c.door.a
	a.mu.Lock()
	defer a.mu.Unlock()
	c.inRequest = false
	c.door.endedAt = a.Now()
	c.ending, c.bodyBytes, c.last = true, bodyBytes, last
	if !c.evicted || last && !c.closed {
		a.setStage(c, answer)
	}
	if c.evicted {
		return
	}
	a.usedBytes += ConnBytes - c.heldBytes
	c.heldBytes = ConnBytes
}

// Rest says that the answer to the last request is written, and that the connection stays open for another.
func (c *Conn) Rest() {
	a := c.door.a
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.ending {
		c.rest()
	}
}

// rest ends the answer to a request. mu of the account must be held.
func (c *Conn) rest() {
	c.ending = false
	if c.evicted {
		return
	}
	// What was read ahead stays charged until the server reads again.
	if c.readHead {
		c.aheadBytes = 0
		if c.bodyBytes < 0 || c.afterHead > c.bodyBytes {
			c.aheadBytes = c.lastCost
		}
	}
	c.readHead, c.headEnded, c.lineBegun, c.afterHead, c.lastCost = false, false, false, 0, 0
	a := c.door.a
	a.setStage(c, idle)
	if c.aheadBytes > 0 && !a.grant(c, c.aheadBytes, forWaiting) {
		a.evict(c, true)
	}
}

// CloseWrite ends the writing side of the connection, after the answer to its last request: it gives way first.
func (c *Conn) CloseWrite() error {
	a := c.door.a
	a.mu.Lock()
	if c.ending && !c.closed {
		a.setStage(c, closing)
	}
	a.mu.Unlock()
	return c.TCPConn.CloseWrite()
}

// GivesWay reports whether the connection is to be closed after the present request, as others find no room.
func (c *Conn) GivesWay() bool {
	a := c.door.a
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.door.conns >= c.door.maxConns && a.Now().Before(c.door.pressedAt.Add(pressTime))
}

// Keep says that the connection is that of a process which is known: it does not give way any more, and is not charged.
func (c *Conn) Keep() {
	a := c.door.a
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.evicted {
		return
	}
	c.inRequest = true
	a.setStage(c, service)
	a.usedBytes -= c.heldBytes
	c.heldBytes = 0
}

// refuse answers a connection whose head can't be read for want of memory.
func (c *Conn) refuse() {
	if c.door.refusal == nil {
		return
	}
	writeNow(c.TCPConn, c.door.refusal)
	_ = c.TCPConn.CloseWrite()
}

// writeNow writes as much of text as the send buffer has room for.
func writeNow(c *net.TCPConn, text []byte) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Write(func(fd uintptr) bool {
		_, _ = unix.SendmsgN(int(fd), text, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
		return true
	})
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	a := c.door.a
	a.mu.Lock()
	a.discharge(c, true)
	a.mu.Unlock()
	return c.TCPConn.Close()
}

// OnState calls Rest for connections that have become idle; for http.Server.ConnState.
func OnState(c net.Conn, s http.ConnState) {
	if q := Of(c); q != nil && s == http.StateIdle {
		q.Rest()
	}
}

// OnFastState is OnState for fasthttp.Server.ConnState.
func OnFastState(c net.Conn, s fasthttp.ConnState) {
	if q := Of(c); q != nil && s == fasthttp.StateIdle {
		q.Rest()
	}
}

// connKey is the context key of a connection.
type connKey struct{}

// WithConn returns a context that carries the connection, for http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, Of(c))
}

// FromContext returns the connection that the context carries; nil if there is none.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Of returns the connection of a door beneath c, which may be a TLS connection; nil if there is none.
func Of(c net.Conn) *Conn {
	for {
		switch v := c.(type) {
		case *Conn:
			return v
		case interface{ NetConn() net.Conn }:
			c = v.NetConn()
		default:
			return nil
		}
	}
}
