// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package store

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/upconn"
)

// dialTimeout bounds the opening of a connection.
const dialTimeout = 2 * time.Second

// connSet holds all open connections of a client, so that Close can end waiting calls.
type connSet struct {
	mu sync.Mutex
	// open holds connections of type *trackedConn.
	open map[net.Conn]struct{}
	// closed is set by closeAll and never reset. Connections dialed afterwards are closed at once.
	closed bool
}

func newConnSet() *connSet { return &connSet{open: make(map[net.Conn]struct{})} }

func (c *connSet) dial(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, errors.Mark(err, ErrUnavailable)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, errors.Mark(net.ErrClosed, ErrUnavailable)
	}
	k := &trackedConn{Conn: upconn.NewSequential(conn), set: c}
	c.open[k] = struct{}{}
	return k, nil
}

func (c *connSet) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.open {
		_ = conn.(*trackedConn).Conn.Close()
	}
	clear(c.open)
}

// trackedConn is a connection that removes itself from its set when it is closed.
type trackedConn struct {
	net.Conn
	set *connSet
}

// Close closes the connection and removes it from its set.
func (k *trackedConn) Close() error {
	k.set.mu.Lock()
	delete(k.set.open, k)
	k.set.mu.Unlock()
	return k.Conn.Close()
}
