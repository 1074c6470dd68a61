// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package store

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// dialWithin bounds the opening of a connection.
const dialWithin = 2 * time.Second

// conns knows every open connection, so that waiting calls can be ended.
type conns struct {
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

func newConns() *conns { return &conns{open: make(map[net.Conn]struct{})} }

func (c *conns) dial(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialWithin)
	if err != nil {
		return nil, errors.Mark(err, ErrUnavailable)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	k := &knownConn{Conn: conn, owner: c}
	c.open[k] = struct{}{}
	return k, nil
}

func (c *conns) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.open {
		_ = conn.(*knownConn).Conn.Close()
	}
	clear(c.open)
}

// knownConn takes itself off its owner's list when it is closed.
type knownConn struct {
	net.Conn
	owner *conns
}

// Close closes the connection.
func (k *knownConn) Close() error {
	k.owner.mu.Lock()
	delete(k.owner.open, k)
	k.owner.mu.Unlock()
	return k.Conn.Close()
}
