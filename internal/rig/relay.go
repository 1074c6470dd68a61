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
	// drop loses what goes to the VM, swallow what comes back.
	drop, swallow bool
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
		_, _ = io.Copy(&sideWriter{r, up, &r.drop}, c)
		_ = up.Close()
	}()
	_, _ = io.Copy(&sideWriter{r, c, &r.swallow}, up)
	_ = c.Close()
	<-done
}

// sideWriter writes towards one side, unless that way is lost.
type sideWriter struct {
	r *Relay
	c net.Conn
	// lost is one of the relay's flags.
	lost *bool
}

// Write drops or writes p.
func (b *sideWriter) Write(p []byte) (int, error) {
	b.r.mu.Lock()
	lost := *b.lost
	b.r.mu.Unlock()
	if lost {
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

// Drop loses what goes over the link to the VM until Heal.
func (r *Relay) Drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop = true
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
	r.drop = false
	r.swallow = false
}

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.Cut()
}
