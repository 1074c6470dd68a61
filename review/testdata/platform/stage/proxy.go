// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package main

import (
	"net"
	"sync"
)

// proxy forwards connections to an address. Those that are open when silence is called go silent for good: what
// either side sends is dropped, and neither side's close reaches the other. New ones work.
type proxy struct {
	ln net.Listener
	to string
	mu sync.Mutex
	// open holds the open connections; the value says that the connection is silent.
	open map[*link]bool
}

// link is a connection of a client and the one that was opened to the server for it.
type link struct{ client, server net.Conn }

func newProxy(ip, to string) *proxy {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	p := &proxy{ln: ln, to: to, open: make(map[*link]bool)}
	go p.run()
	return p
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) run() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		s, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = c.Close()
			continue
		}
		l := &link{c, s}
		p.mu.Lock()
		p.open[l] = false
		p.mu.Unlock()
		go p.copy(l, c, s)
		go p.copy(l, s, c)
	}
}

// copy copies what from sends to the other side until either closes.
func (p *proxy) copy(l *link, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		silent := p.open[l]
		p.mu.Unlock()
		if silent {
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = l.client.Close()
			_ = l.server.Close()
			p.mu.Lock()
			delete(p.open, l)
			p.mu.Unlock()
			return
		}
	}
}

// silence makes the open connections silent and returns their number.
func (p *proxy) silence() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.open {
		p.open[l] = true
		n++
	}
	return n
}

// close ends the proxy and its connections.
func (p *proxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.open {
		_ = l.client.Close()
		_ = l.server.Close()
	}
}
