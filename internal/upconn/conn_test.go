// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package upconn

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// pair returns both sides of a connection.
func pair(t testing.TB) (c *Conn, server *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	raw, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = raw.Close()
		_ = other.Close()
	})
	deadline := time.Now().Add(20 * time.Second)
	_, _ = raw.SetDeadline(deadline), other.SetDeadline(deadline)
	return New(raw), other.(*net.TCPConn)
}

// body is a body that the buffers of a connection don't hold.
var body = []byte(strings.Repeat("u", 16<<20))

// writeUntilError writes again and again in a goroutine. It returns a channel that gets the first error.
func writeUntilError(c *Conn) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for {
			if _, err := c.Write(body); err != nil {
				ended <- err
				return
			}
		}
	}()
	return ended
}

// The end of a connection is told as the other side made it, whichever of the two calls took its error.
//
// Guards against a read that returns io.EOF after a reset, as a write beside it took the error, and against a FIN that is
// taken for a reset.
func TestEndIsToldBesideWrites(t *testing.T) {
	const plays = 40
	for _, e := range []struct {
		name string
		end  func(server *net.TCPConn)
		want error
	}{
		{"reset", func(server *net.TCPConn) {
			_ = server.SetLinger(0)
			_ = server.Close()
		}, syscall.ECONNRESET},
		{"reset later", func(server *net.TCPConn) {
			<-time.After(5 * time.Millisecond)
			_ = server.SetLinger(0)
			_ = server.Close()
		}, syscall.ECONNRESET},
		{"closed with unread bytes", func(server *net.TCPConn) {
			// Without unread bytes the kernel sends a FIN.
			_, _ = server.Read(make([]byte, 1))
			_ = server.Close()
		}, syscall.ECONNRESET},
		{"fin, reads on", func(server *net.TCPConn) {
			_ = server.CloseWrite()
			_, _ = io.CopyN(io.Discard, server, 8<<20)
		}, io.EOF},
		{"fin, then reset", func(server *net.TCPConn) {
			_ = server.CloseWrite()
			<-time.After(5 * time.Millisecond)
			_ = server.SetLinger(0)
			_ = server.Close()
		}, io.EOF},
	} {
		t.Run(e.name, func(t *testing.T) {
			for range plays {
				c, server := pair(t)
				written := writeUntilError(c)
				const part = "HTTP/1.1 200 OK\r\n\r\npart"
				if _, err := io.WriteString(server, part); err != nil {
					t.Fatal(err)
				}
				p := make([]byte, len(part))
				n, err := io.ReadFull(c, p)
				if err != nil {
					t.Fatalf("part: got %q, %v", p[:n], err)
				}
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					e.end(server)
				}()
				n, err = c.Read(p)
				_ = c.Close()
				<-ended
				if writeErr := <-written; n != 0 || !errors.Is(err, e.want) {
					t.Errorf("end: got %d bytes, %v, beside a write that returned %v, want %v", n, err, writeErr, e.want)
				}
			}
		})
	}
}

// Guards against a read that returns before a write that has taken the error of a reset, and so tells a sound end.
func TestReadWaitsForWriteThatTookTheError(t *testing.T) {
	c, server := pair(t)
	_ = server.SetLinger(0)
	_ = server.Close()
	c.writing.Lock()
	var errno syscall.Errno
	for errno == 0 {
		_, err := c.Conn.Write([]byte("u"))
		errors.As(err, &errno)
	}
	if errno != syscall.ECONNRESET {
		t.Fatalf("write: got %v, want %v", errno, syscall.ECONNRESET)
	}
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	select {
	case err := <-read:
		t.Errorf("read: got %v before the write has returned", err)
	case <-time.After(50 * time.Millisecond):
	}
	c.lost = errno
	c.writing.Unlock()
	if err := <-read; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read: got %v, want %v", err, syscall.ECONNRESET)
	}
}

// BenchmarkUpload writes a body of 1 MiB through a Conn, and through a connection alone.
func BenchmarkUpload(b *testing.B) {
	for _, wrapped := range []bool{false, true} {
		b.Run(map[bool]string{false: "alone", true: "wrapped"}[wrapped], func(b *testing.B) {
			c, server := pair(b)
			_, _ = c.SetDeadline(time.Time{}), server.SetDeadline(time.Time{})
			go func() { _, _ = io.Copy(io.Discard, server) }()
			w := io.Writer(c)
			if !wrapped {
				w = c.tcp
			}
			b.SetBytes(1 << 20)
			for b.Loop() {
				if _, err := w.Write(body[:1<<20]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
