// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"io"
	"net"
	"sync"
)

// Relay stands before a VM's link so that tests can cut it.
type Relay struct {
	ln net.Listener
	to string
	mu sync.Mutex
	// conns holds both sides of every relayed connection.
	conns map[net.Conn]struct{}
	// closed refuses new connections while the link is cut.
	closed bool
	// swallow drops what comes back, so that answers are lost on the way.
	swallow bool
}

// NewRelay relays connections of ln to an address.
func NewRelay(ln net.Listener, to string) *Relay {
	r := &Relay{ln: ln, to: to, conns: make(map[net.Conn]struct{})}
	go r.serve()
	return r
}

func (r *Relay) serve() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.relay(c)
	}
}

func (r *Relay) relay(c net.Conn) {
	defer func() { _ = c.Close() }()
	up, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	if !r.enter(c, up) {
		return
	}
	defer r.leave(c, up)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(up, c)
		_ = up.Close()
	}()
	_, _ = io.Copy(&backWriter{r, c}, up)
	_ = c.Close()
	<-done
}

// backWriter writes towards the caller, unless answers are swallowed.
type backWriter struct {
	r *Relay
	c net.Conn
}

// Write drops or writes p.
func (b *backWriter) Write(p []byte) (int, error) {
	b.r.mu.Lock()
	swallow := b.r.swallow
	b.r.mu.Unlock()
	if swallow {
		return len(p), nil
	}
	return b.c.Write(p)
}

func (r *Relay) enter(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	for _, c := range conns {
		r.conns[c] = struct{}{}
	}
	return true
}

func (r *Relay) leave(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

// Break closes every connection; new ones are taken.
func (r *Relay) Break() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Cut closes every connection and refuses new ones until Heal.
func (r *Relay) Cut() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Break()
}

// Swallow drops what comes back over the link until Heal.
func (r *Relay) Swallow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.swallow = true
}

// Heal lets connections through again.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = false
	r.swallow = false
}

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.Cut()
}
