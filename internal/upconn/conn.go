// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package upconn wraps the connections on which this process sends requests of HTTP/1 and reads the answers. A broken
// answer ends with an error of Read, whichever client reads it.
package upconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a connection to a server. One goroutine reads from it at a time; others may write meanwhile.
//
// The kernel tells a pending error of a socket, such as a reset, once. If a write takes it, the read after it returns
// io.EOF, as after the other side's FIN. Read returns the error of that write instead.
//
// Read returns a HeadError in place of the rest of a head that breaks a rule of HTTP/1.
type Conn struct {
	// Conn is tcp without its ReadFrom, which would write past Write.
	net.Conn
	tcp *net.TCPConn
	// writing is held during each write.
	writing sync.Mutex
	// lost is the error that ended the connection before a FIN came, as a write reported it; zero if none did. Guarded by
	// writing, it is never reset.
	lost syscall.Errno
	// sequential says that a request is written only once the answer before it was read. It does not change.
	sequential bool
	// begins says that the next byte after the present answer begins another one.
	begins atomic.Bool
	// head is the state of the head that is read. Only the reader uses it.
	head head
	// broken is the rule that a head has broken; nil if none did. It is never reset.
	broken atomic.Pointer[HeadError]
}

// New returns a Conn over c, a TCP connection. Its user calls ExpectAnswer before each request but the first.
func New(c net.Conn) *Conn { return &Conn{Conn: c, tcp: c.(*net.TCPConn)} }

// NewSequential returns a Conn over c, a TCP connection, for a client that writes a request only once it has read the
// answer to the one before it, and reads no answer before its request is written.
func NewSequential(c net.Conn) *Conn {
	s := New(c)
	s.sequential = true
	return s
}

// dialTimeout is the timeout of DialSequential.
const dialTimeout = 3 * time.Second

// DialSequential opens a connection for a client as described at NewSequential, such as that of fasthttp.
func DialSequential(addr string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return NewSequential(c), nil
}

// Transport is an http.Transport whose DialContext returns a *Conn, such as DialContext. It returns the HeadError of
// a broken head, which http.Transport replaces with an error of its own parser.
type Transport struct{ *http.Transport }

// DialContext opens a connection for a Transport.
func DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return New(c), nil
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(q *http.Request) (*http.Response, error) {
	var c *Conn
	trace := httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c = info.Conn.(*Conn)
		c.ExpectAnswer()
	}}
	resp, err := t.Transport.RoundTrip(q.WithContext(httptrace.WithClientTrace(q.Context(), &trace)))
	if err != nil && c != nil && c.Broken() != nil {
		err = c.Broken()
	}
	return resp, err
}

// Broken returns the HeadError of the connection; nil if there is none. It may be called at any time.
func (c *Conn) Broken() error {
	if e := c.broken.Load(); e != nil {
		return *e
	}
	return nil
}

// ExpectAnswer says that the present answer was read to its end, and that another one follows.
func (c *Conn) ExpectAnswer() { c.begins.Store(true) }

// SetLinger is that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.sequential {
		c.ExpectAnswer()
	}
	n, err := c.Conn.Write(p)
	// After the other side's FIN the kernel reports EPIPE.
	if errno := syscall.Errno(0); errors.As(err, &errno) && errno != syscall.EPIPE && c.lost == 0 {
		c.lost = errno
	}
	return n, err
}

// Read reads from the connection. It returns io.EOF only if the other side has sent a FIN.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.Broken(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endOfReads()
	}
	if n == 0 {
		return 0, err
	}
	if c.begins.Swap(false) && c.head.state == inBody {
		c.head = head{}
	}
	sound, rule := c.head.check(p[:n])
	if rule == "" {
		return n, err
	}
	c.broken.Store(&rule)
	if sound == 0 {
		return 0, rule
	}
	// Some clients take an error of the first read for the end of the connection.
	return sound, nil
}

// endOfReads returns the error for a read that returned io.EOF.
func (c *Conn) endOfReads() error {
	if !c.isClosed() {
		return io.EOF
	}
	// A write that has taken the error may not have returned yet. On a closed socket no write blocks.
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.lost == 0 {
		return io.EOF
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", c.lost)}
}

// isClosed reports whether the socket is closed, as after a reset. After a FIN alone it is not. TCP_INFO leaves a pending
// error as it is.
func (c *Conn) isClosed() bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	if err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == unix.BPF_TCP_CLOSE
	}); err != nil {
		return true
	}
	return closed
}
