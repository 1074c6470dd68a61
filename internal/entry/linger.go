// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"crypto/tls"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/traildrift/traildrift/internal/quota"
	"github.com/traildrift/traildrift/pkg/config"
)

const (
	// lingerTimeout bounds how long a connection whose request was refused unread stays
	// open for its caller to finish sending; net/http waits as long.
	lingerTimeout = config.Span(500 * time.Millisecond)
	// maxLingerBytes is the maximum number of bytes that are read and discarded on such a
	// connection.
	maxLingerBytes = 256 << 10
)

// lingerListener is a listener whose connections are of type lingerConn.
type lingerListener struct{ net.Listener }

// Accept returns the next connection, as a *lingerConn.
func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: c}, nil
}

// lingerConn is a connection whose Close may wait for the caller to finish sending. A close
// with unread bytes resets the connection. A caller that is still sending then gets an
// error and may lose the answer.
type lingerConn struct {
	net.Conn
	// lingers is set if the request was refused before it was read completely.
	lingers atomic.Bool
}

// setLinger makes Close of a caller's connection wait for the caller to finish sending.
func setLinger(c net.Conn) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if l, ok := c.(*lingerConn); ok {
		l.lingers.Store(true)
	}
}

// NetConn returns the connection beneath.
func (c *lingerConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection. If it lingers, Close first ends the sending side and
// discards up to maxLingerBytes for at most lingerTimeout.
func (c *lingerConn) Close() error {
	if q := quota.Of(c.Conn); q != nil && c.lingers.Load() {
		// What is discarded is not charged.
		t := q.TCPConn
		// An error here only ends the wait, as the connection is closed anyway.
		if t.CloseWrite() == nil && t.SetReadDeadline(lingerTimeout.After(time.Now())) == nil {
			_, _ = io.CopyN(io.Discard, t, maxLingerBytes)
		}
	}
	return c.Conn.Close()
}
