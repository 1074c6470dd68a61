// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package store

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// dialTimeout bounds the opening of a connection.
const dialTimeout = 2 * time.Second

// connSet knows every open connection, so that waiting calls can be ended.
type connSet struct {
	mu     sync.Mutex
	open   map[net.Conn]struct{}
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
		return nil, net.ErrClosed
	}
	k := &trackedConn{Conn: conn, set: c}
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

// trackedConn takes itself off its owner's list when it is closed.
type trackedConn struct {
	net.Conn
	set *connSet
}

// Close closes the connection.
func (k *trackedConn) Close() error {
	k.set.mu.Lock()
	delete(k.set.open, k)
	k.set.mu.Unlock()
	return k.Conn.Close()
}
