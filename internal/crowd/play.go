// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package crowd

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Conn is the connection of one client. Its methods return once the crowd has ended.
type Conn struct {
	*net.TCPConn
	ctx context.Context
	// Client is the number of the client, Visit that of its connection; both start at 0.
	Client, Visit int
}

// Ended reports whether the crowd has ended.
func (c *Conn) Ended() bool { return c.ctx.Err() != nil }

// Send writes text and reports whether all of it was taken.
func (c *Conn) Send(text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// SendSlowly writes text in pieces of n bytes with a pause after each, and reports whether all of it was taken.
func (c *Conn) SendSlowly(text string, n int, pause time.Duration) bool {
	for len(text) > 0 {
		n = min(n, len(text))
		if !c.Send(text[:n]) {
			return false
		}
		text = text[n:]
		c.Pause(pause)
	}
	return true
}

// Pause waits for a time, or until the crowd has ended.
func (c *Conn) Pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
	}
}

// Stay keeps the connection open, without reading from it, until the crowd has ended.
func (c *Conn) Stay() { <-c.ctx.Done() }

// Drain reads and drops what arrives until the process closes the connection.
func (c *Conn) Drain() { _, _ = io.Copy(io.Discard, c) }

// Crowd is a number of clients that open connections until it is ended.
type Crowd struct {
	cancel  context.CancelFunc
	clients sync.WaitGroup
}

// again is how long a client waits before it opens its next connection.
const again = 20 * time.Millisecond

// Play starts n clients, each of which opens a connection to addr, calls behave with it, closes it and begins anew.
func Play(addr netip.AddrPort, n int, behave func(c *Conn)) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Crowd{cancel: cancel}
	for i := range n {
		p.clients.Go(func() {
			for visit := 0; ctx.Err() == nil; visit++ {
				visitOnce(ctx, addr, i, visit, behave)
			}
		})
	}
	return p
}

func visitOnce(ctx context.Context, addr netip.AddrPort, client, visit int, behave func(c *Conn)) {
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", addr.String())
	if err == nil {
		c := &Conn{raw.(*net.TCPConn), ctx, client, visit}
		unblock := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Now()) })
		behave(c)
		unblock()
		_ = c.Close()
	}
	t := time.NewTimer(again)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// End closes all connections of the crowd and returns once its clients have ended.
func (p *Crowd) End() {
	p.cancel()
	p.clients.Wait()
}
