// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// link is a proxy in front of one runner. While it is cut, it passes on nothing, in neither direction, and takes no new
// connections; what was held up is passed on when the cut has healed, the ends of connections too.
type link struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	healed chan struct{}
}

func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, target: target, healed: make(chan struct{})}
	close(l.healed)
	go l.run()
	return l, nil
}

func (l *link) addr() string { return l.ln.Addr().String() }

// cut cuts the link until heal is called.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healed = make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.healed)
}

// wait returns once the link is not cut.
func (l *link) wait() {
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	<-healed
}

func (l *link) run() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		l.wait()
		go l.serve(c.(*net.TCPConn))
	}
}

func (l *link) serve(c *net.TCPConn) {
	u, err := net.Dial("tcp", l.target)
	if err != nil {
		// A dead port resets.
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.pass(u.(*net.TCPConn), c) })
	both.Go(func() { l.pass(c, u.(*net.TCPConn)) })
	both.Wait()
	_ = c.Close()
	_ = u.Close()
}

// pass passes on what comes from one side, and how it ends: with a reset, or with the end of the stream.
func (l *link) pass(to, from *net.TCPConn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		l.wait()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		default:
			if errors.Is(err, syscall.ECONNRESET) {
				_ = to.SetLinger(0)
			}
			_ = to.Close()
			return
		}
	}
}
