// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"io"
	"net"
	"sync"
)

// Relay forwards TCP connections to the link port of a VM and injects link faults. Its
// methods may be called concurrently.
type Relay struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	// conns holds both sides of every forwarded connection.
	conns map[net.Conn]struct{}
	// cut says that new connections are closed at once.
	cut bool
	// dropToVM and dropFromVM say that data in that direction is discarded.
	dropToVM, dropFromVM bool
}

// NewRelay returns a relay that forwards the connections of ln to the address target, until
// Close.
func NewRelay(ln net.Listener, target string) *Relay {
	r := &Relay{ln: ln, target: target, conns: make(map[net.Conn]struct{})}
	go r.serve()
	return r
}

func (r *Relay) serve() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

func (r *Relay) forward(c net.Conn) {
	defer func() { _ = c.Close() }()
	up, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	if !r.addConns(c, up) {
		return
	}
	defer r.removeConns(c, up)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(&directionWriter{r, up, &r.dropToVM}, c)
		_ = up.Close()
	}()
	_, _ = io.Copy(&directionWriter{r, c, &r.dropFromVM}, up)
	_ = c.Close()
	<-done
}

// directionWriter writes to one side of a connection, or discards the data while the relay
// drops that direction.
type directionWriter struct {
	r *Relay
	c net.Conn
	// drop points to the relay's flag for this direction, guarded by the relay's mutex.
	drop *bool
}

// Write writes p, or discards it and reports success.
func (b *directionWriter) Write(p []byte) (int, error) {
	b.r.mu.Lock()
	lost := *b.drop
	b.r.mu.Unlock()
	if lost {
		return len(p), nil
	}
	return b.c.Write(p)
}

func (r *Relay) addConns(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		return false
	}
	for _, c := range conns {
		r.conns[c] = struct{}{}
	}
	return true
}

func (r *Relay) removeConns(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

// CloseConns closes every connection. New connections are accepted.
func (r *Relay) CloseConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Cut closes every connection, and closes new ones at once until Heal.
func (r *Relay) Cut() {
	r.mu.Lock()
	r.cut = true
	r.mu.Unlock()
	r.CloseConns()
}

// DropToVM discards the data sent to the VM until Heal. Connections stay open.
func (r *Relay) DropToVM() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropToVM = true
}

// DropFromVM discards the data sent by the VM until Heal. Connections stay open.
func (r *Relay) DropFromVM() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropFromVM = true
}

// Heal ends Cut, DropToVM and DropFromVM. The discarded data stays lost.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
	r.dropToVM = false
	r.dropFromVM = false
}

// Close stops listening and closes every connection.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.Cut()
}
