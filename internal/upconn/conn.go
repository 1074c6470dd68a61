// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package upconn wraps the connections on which this process sends requests of HTTP/1 and reads the answers. A broken
// answer ends with an error of Read, whichever client reads it.
package upconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a connection to a server. One goroutine reads from it at a time; others may write meanwhile.
//
// The kernel tells a pending error of a socket, such as a reset, once. If a write takes it, the read after it returns
// io.EOF, as after the other side's FIN. Read returns the error of that write instead.
type Conn struct {
	// Conn is tcp without its ReadFrom, which would write past Write.
	net.Conn
	tcp *net.TCPConn
	// writing is held during each write.
	writing sync.Mutex
	// lost is the error that ended the connection before a FIN came, as a write reported it; zero if none did. Guarded by
	// writing, it is never reset.
	lost syscall.Errno
}

// New returns a Conn over c, a TCP connection.
func New(c net.Conn) *Conn { return &Conn{Conn: c, tcp: c.(*net.TCPConn)} }

// SetLinger is that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	// After the other side's FIN the kernel reports EPIPE.
	if errno := syscall.Errno(0); errors.As(err, &errno) && errno != syscall.EPIPE && c.lost == 0 {
		c.lost = errno
	}
	return n, err
}

// Read reads from the connection. It returns io.EOF only if the other side has sent a FIN.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endOfReads()
	}
	return n, err
}

// endOfReads returns the error for a read that returned io.EOF.
func (c *Conn) endOfReads() error {
	if !c.isClosed() {
		return io.EOF
	}
	// A write that has taken the error may not have returned yet. On a closed socket no write blocks.
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.lost == 0 {
		return io.EOF
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", c.lost)}
}

// isClosed reports whether the socket is closed, as after a reset. After a FIN alone it is not. TCP_INFO leaves a pending
// error as it is.
func (c *Conn) isClosed() bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	if err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == unix.BPF_TCP_CLOSE
	}); err != nil {
		return true
	}
	return closed
}
