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
	ln     net.Listener
	target string
	mu     sync.Mutex
	// conns holds both sides of every relayed connection.
	conns map[net.Conn]struct{}
	// cut refuses new connections while the link is cut.
	cut bool
	// dropToVM loses what goes to the VM, dropFromVM what comes back.
	dropToVM, dropFromVM bool
}

// NewRelay relays connections of ln to an address.
func NewRelay(ln net.Listener, to string) *Relay {
	r := &Relay{ln: ln, target: to, conns: make(map[net.Conn]struct{})}
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

// directionWriter writes towards one side, unless that way is lost.
type directionWriter struct {
	r *Relay
	c net.Conn
	// drop is one of the relay's flags.
	drop *bool
}

// Write drops or writes p.
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

// CloseConns closes every connection; new ones are taken.
func (r *Relay) CloseConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Cut closes every connection and refuses new ones until Heal.
func (r *Relay) Cut() {
	r.mu.Lock()
	r.cut = true
	r.mu.Unlock()
	r.CloseConns()
}

// DropToVM loses what goes over the link to the VM until Heal.
func (r *Relay) DropToVM() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropToVM = true
}

// DropFromVM drops what comes back over the link until Heal.
func (r *Relay) DropFromVM() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropFromVM = true
}

// Heal lets connections through again.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
	r.dropToVM = false
	r.dropFromVM = false
}

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.Cut()
}
