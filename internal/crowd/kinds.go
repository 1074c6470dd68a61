// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package crowd

import (
	"fmt"
	"strings"
	"time"
)

// Head returns the head of a request without its last empty line; each of fields is a whole field without its line end.
func Head(method, target, host string, fields ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	return b.String()
}

// Short sends a head and a body of size bytes but for its last byte, and stays.
func Short(head func(c *Conn) string, size func(c *Conn) int) func(c *Conn) {
	return func(c *Conn) {
		n := size(c)
		if c.Send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head(c), n)) && c.sendZeros(n-1) {
			c.Drain()
		}
	}
}

// ShortInPieces is Short with pieces of a kilobyte.
func ShortInPieces(head func(c *Conn) string, size int) func(c *Conn) {
	return func(c *Conn) {
		if !c.Send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head(c), size)) {
			return
		}
		if c.SendSlowly(strings.Repeat("0", size-1), 1<<10, 100*time.Microsecond) {
			c.Drain()
		}
	}
}

// ShortInChunks sends a body in chunks of one byte, without the last chunk, and stays.
func ShortInChunks(head func(c *Conn) string, size int) func(c *Conn) {
	return func(c *Conn) {
		if c.Send(head(c)+"Transfer-Encoding: chunked\r\n\r\n") && c.Send(strings.Repeat("1\r\n0\r\n", size-1)) {
			c.Drain()
		}
	}
}

// Half sends half of a body, ends its side of the connection and comes again once the process has closed its own.
func Half(head func(c *Conn) string, size int) func(c *Conn) {
	return func(c *Conn) {
		if c.Send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head(c), size)) && c.sendZeros(size/2) {
			_ = c.CloseWrite()
			c.Drain()
		}
	}
}

// Over sends bodies far over any limit, with a length or, every other client, in chunks.
func Over(head func(c *Conn) string) func(c *Conn) {
	return func(c *Conn) {
		framing := "Content-Length: 1000000000000"
		if c.Client%2 == 1 {
			framing = "Transfer-Encoding: chunked"
		}
		if !c.Send(head(c) + framing + "\r\n\r\n") {
			return
		}
		c.sendEndlessly("1000\r\n" + zeros[:0x1000] + "\r\n")
	}
}

// Fields sends a head of size bytes that consists of very many short fields, with distinct names or one name, and ends
// it if whole says so.
func Fields(head func(c *Conn) string, size int, distinct, whole bool) func(c *Conn) {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		name := 0
		if distinct {
			name = i
		}
		fmt.Fprintf(&b, "A%03X:\r\n", name)
	}
	fields := b.String()
	return func(c *Conn) {
		text := head(c)
		// The last field is cut off where the size ends.
		text += fields[:max(size-len(text)-16, 0)] + ":\r\n"
		if whole {
			text += "\r\n"
		}
		if c.Send(text) {
			c.Drain()
		}
	}
}

// LongHead sends a head of many bytes in a field that does not end.
func LongHead(head func(c *Conn) string, size int) func(c *Conn) {
	return func(c *Conn) {
		if c.Send(head(c)+"X-Long: ") && c.sendZeros(size) {
			c.Drain()
		}
	}
}

// SlowHead sends a head with one byte each 100 ms.
func SlowHead(head func(c *Conn) string) func(c *Conn) {
	return func(c *Conn) { c.SendSlowly(head(c)+"X-Slow: "+zeros[:1<<10], 1, 100*time.Millisecond) }
}

// Silent opens a connection and sends nothing.
func Silent(c *Conn) { c.Drain() }

// Kept sends one request and keeps the connection open after the answer.
func Kept(head func(c *Conn) string) func(c *Conn) {
	return func(c *Conn) {
		if c.Send(head(c) + "\r\n") {
			c.Drain()
		}
	}
}

// Pipeline sends requests ahead without reading an answer.
func Pipeline(head func(c *Conn) string) func(c *Conn) {
	return func(c *Conn) {
		c.sendEndlessly(head(c) + "\r\n")
		c.Stay()
	}
}

// Unread sends a request and does not read the answer.
func Unread(head func(c *Conn) string) func(c *Conn) {
	return func(c *Conn) {
		_ = c.SetReadBuffer(4 << 10)
		if c.Send(head(c) + "\r\n") {
			c.Stay()
		}
	}
}

// InTurn sends a request after the other on connections of its own.
func InTurn(head func(c *Conn) string) func(c *Conn) {
	return func(c *Conn) {
		if c.Send(head(c) + "Connection: close\r\n\r\n") {
			c.Drain()
		}
	}
}

// Frame announces a frame of a link with an unsigned varint, sends a part of it and stays.
func Frame(size, sent int) func(c *Conn) {
	return func(c *Conn) {
		var b []byte
		for n := size; ; n >>= 7 {
			if n < 0x80 {
				b = append(b, byte(n))
				break
			}
			b = append(b, byte(n)|0x80)
		}
		if c.Send(string(b)) && c.sendZeros(sent) {
			c.Drain()
		}
	}
}

// sendEndlessly sends text again and again until the process closes the connection.
func (c *Conn) sendEndlessly(text string) {
	for sent := true; sent && !c.Ended(); {
		sent = c.Send(text)
	}
}

// zeros is one piece of the bodies of the crowd.
var zeros = strings.Repeat("0", 64<<10)

func (c *Conn) sendZeros(n int) bool {
	for n > 0 {
		piece := zeros[:min(n, len(zeros))]
		if !c.Send(piece) {
			return false
		}
		n -= len(piece)
	}
	return true
}
