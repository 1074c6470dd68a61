// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package quota

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Door is a listener whose connections are on an account. Create it with Listen.
type Door struct {
	net.Listener
	a    *Account
	name string
	// maxConns bounds conns, the number of open connections. mu of the account guards it and the two times: when a request
	// last ended, and when a connection last found no room.
	maxConns, conns    int
	endedAt, pressedAt time.Time
	// writeTimeout bounds the time of one write.
	writeTimeout time.Duration
	// refusal is sent to connections that are refused before they are handed to a server, and to those that give way with
	// a part of a head; nil for nothing.
	refusal []byte
	// closed is closed with the listener.
	closed    context.Context
	setClosed context.CancelFunc
}

// Options describe a door.
type Options struct {
	// Name is the name in events.
	Name string
	// MaxConns is the maximum number of open connections; over 0.
	MaxConns int
	// Refusal is the HTTP response to a connection that is refused unread; nil to close it without one.
	Refusal []byte
}

const (
	// ConnBytes is what an open connection is charged, in bytes: its goroutine, the buffers of the server, and unread
	// bytes.
	ConnBytes = 16 << 10
	// receiveBufferBytes is the size of the receive buffer of a caller's connection. It holds as much as a sender has under
	// way in its first round trip.
	receiveBufferBytes = 16 << 10
	// sendBufferBytes is the size of the send buffer of a caller's connection, which holds what it has not read of its
	// answers.
	sendBufferBytes = 64 << 10
	// backlog is the number of connections that may wait to be accepted.
	backlog = 512
	// defaultWriteTimeout is the default of Door.SetWriteTimeout.
	defaultWriteTimeout = 15 * time.Second
	// acceptPause is the time before a listener tries again after an error that passes.
	acceptPause = 10 * time.Millisecond
)

// Listen opens a listener at an address, such as 10.0.0.1:7000. Its error is that of net.Listen.
func (a *Account) Listen(addr string, o Options) (*Door, error) {
	lc := net.ListenConfig{Control: Buffers(receiveBufferBytes, sendBufferBytes)}
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	setBacklog(ln.(*net.TCPListener))
	d := &Door{Listener: ln, a: a, name: o.Name, maxConns: o.MaxConns, writeTimeout: defaultWriteTimeout, refusal: o.Refusal}
	d.closed, d.setClosed = context.WithCancel(context.Background())
	return d, nil
}

// setBacklog bounds the connections that wait to be accepted, as these hold unread bytes that nobody is charged for.
func setBacklog(ln *net.TCPListener) {
	raw, err := ln.SyscallConn()
	if err != nil {
		return
	}
	// Without it the queue has the length that the system sets.
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), backlog) })
}

// Buffers returns a function for net.ListenConfig.Control and net.Dialer.Control that sets the sizes of the receive buffer
// and of the send buffer, in bytes. The kernel doubles them, and takes about half for its own data.
func Buffers(receive, send int) func(network, addr string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Without these unread bytes take more memory, and all else works.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receive)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, send)
		})
	}
}

// Close closes the listener; its connections stay open.
func (d *Door) Close() error {
	d.setClosed()
	return d.Listener.Close()
}

// Accept returns the next connection that has room. It refuses connections for which none gives way, and goes on after
// errors that pass, such as a lack of descriptors.
func (d *Door) Accept() (net.Conn, error) {
	for {
		raw, err := d.Listener.Accept()
		if err != nil {
			if d.closed.Err() != nil || !passes(err) {
				return nil, err
			}
			d.awaitDescriptors()
			continue
		}
		if c := d.admit(raw.(*net.TCPConn)); c != nil {
			return c, nil
		}
	}
}

// passes reports whether an error of Accept is one after which others may follow.
func passes(err error) bool {
	for _, e := range []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED, unix.EINTR, unix.EPERM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// awaitDescriptors closes the connection that gives way first, if there is one, and waits for acceptPause.
func (d *Door) awaitDescriptors() {
	d.a.mu.Lock()
	d.a.makeRoom(d)
	d.a.mu.Unlock()
	d.pause(acceptPause)
}

// pause waits for a time, or until the listener is closed.
func (d *Door) pause(t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.closed.Done():
	}
}

// roomTime returns how long a connection of the door must have gone without progress before it gives way to new ones.
func (d *Door) roomTime() time.Duration {
	return min(max(time.Duration(d.maxConns)*time.Second/admitsPerSecond, minRoomTime), stallTime)
}

// admit returns a connection on the account, or nil if it was refused. Connections that are about to give way are waited
// for: those that come meanwhile wait in the queue of the listener, in the order in which they come.
func (d *Door) admit(raw *net.TCPConn) *Conn {
	c := &Conn{TCPConn: raw, door: d, stage: service}
	for {
		admitted, at := d.tryAdmit(c)
		switch {
		case admitted:
			return c
		case at.IsZero() || d.closed.Err() != nil:
			if d.refusal != nil {
				writeNow(raw, d.refusal)
			}
			_ = raw.Close()
			return nil
		}
		d.pause(min(at.Sub(d.a.Now()), acceptPause))
	}
}

// tryAdmit takes a connection on the account and reports whether it did. If not, it returns when to try again: the zero
// time if there is no use.
func (d *Door) tryAdmit(c *Conn) (admitted bool, at time.Time) {
	a := d.a
	a.mu.Lock()
	defer a.mu.Unlock()
	for d.conns >= d.maxConns || !a.fits(c, ConnBytes, forWaiting) {
		closed, at := a.makeRoom(d)
		if closed {
			continue
		}
		now := a.Now()
		d.pressedAt = now
		if at.IsZero() && now.Before(d.endedAt.Add(d.roomTime())) {
			// Requests end, and their connections give way.
			at = now.Add(acceptPause)
		}
		if at.IsZero() {
			a.report(d, RefusedConnection, 0)
		}
		return false, at
	}
	d.conns++
	a.usedBytes += ConnBytes
	c.heldBytes = ConnBytes
	a.setStage(c, idle)
	return true, at
}

// SetWriteTimeout sets how long a caller may take nothing of an answer; 15 s if it is not called.
func (d *Door) SetWriteTimeout(t time.Duration) {
	d.a.mu.Lock()
	defer d.a.mu.Unlock()
	d.writeTimeout = t
}

// Conns returns the number of open connections.
func (d *Door) Conns() int {
	d.a.mu.Lock()
	defer d.a.mu.Unlock()
	return d.conns
}
