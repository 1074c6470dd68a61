// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"crypto/tls"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/traildrift/traildrift/pkg/config"
)

const (
	// lingerTimeout bounds how long a connection whose request was refused unread is
	// kept for its caller to finish; net/http waits as long.
	lingerTimeout = config.Span(500 * time.Millisecond)
	// maxLingerBytes bounds what is read of it, in bytes.
	maxLingerBytes = 256 << 10
)

// lingerListener is a listener whose connections may linger.
type lingerListener struct{ net.Listener }

// Accept waits for the next connection.
func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: c}, nil
}

// lingerConn is a connection whose close may wait for the caller. Closing with
// unread bytes resets a connection, which breaks a caller that is still sending and
// may lose it the answer.
type lingerConn struct {
	net.Conn
	// lingers is set once the request was refused before it was read.
	lingers atomic.Bool
}

// setLinger makes the close of a caller's connection wait for the caller.
func setLinger(c net.Conn) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if l, ok := c.(*lingerConn); ok {
		l.lingers.Store(true)
	}
}

// Close closes the connection, after what the caller still sends where it lingers.
func (c *lingerConn) Close() error {
	if t, ok := c.Conn.(*net.TCPConn); ok && c.lingers.Load() {
		// The connection is at its end: what fails here ends the wait.
		if t.CloseWrite() == nil && t.SetReadDeadline(lingerTimeout.After(time.Now())) == nil {
			_, _ = io.CopyN(io.Discard, t, maxLingerBytes)
		}
	}
	return c.Conn.Close()
}
