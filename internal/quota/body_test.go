// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package quota

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
)

// acceptOne returns a connection on an account, and a function that ends it.
func acceptOne(t *testing.T, a *Account) *Conn {
	d, err := a.Listen("127.0.0.1:0", Options{Name: "callers", MaxConns: 4})
	if err != nil {
		t.Fatal(err)
	}
	out, err := net.Dial("tcp", d.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := d.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = out.Close()
		_ = c.Close()
		_ = d.Close()
	})
	return Of(c)
}

// Guards against bodies of all current requests that together take more than the memory for them.
func TestBodiesAreBounded(t *testing.T) {
	const mb = 1 << 20
	a := NewAccount("callers", 8*mb)
	before := a.UsedBytes()
	for _, row := range []struct {
		length int64
		size   int
	}{{3 * mb, 3 * mb}, {-1, mb * 3 / 2}} {
		first, second := acceptOne(t, a), acceptOne(t, a)
		read := func(c *Conn, n int) (int, error) {
			c.Begin()
			body, err := c.ReadBody(strings.NewReader(strings.Repeat("x", n)), Body{Length: row.length, MaxBytes: 3 * mb, Copies: 1})
			return len(body), err
		}
		if n, err := read(first, row.size); n != row.size || err != nil {
			t.Errorf("first body: got %d bytes, %v; want all and no error", n, err)
		}
		if _, err := read(second, row.size); !errors.Is(err, ErrNoMemory) {
			t.Errorf("body beyond the bound: got %v, want %v", err, ErrNoMemory)
		}
		second.End(0, false)
		first.End(0, false)
		second.Rest()
		first.Rest()
		if n, err := read(second, row.size); n != row.size || err != nil {
			t.Errorf("body after the other was given back: got %d bytes, %v; want all and no error", n, err)
		}
		_, _ = first.Close(), second.Close()
	}
	if got := a.UsedBytes(); got != before {
		t.Errorf("bytes used at the end: got %d, want %d", got, before)
	}
}

// Guards against a body that is cut short and taken for whole.
func TestShortBodyIsNotWhole(t *testing.T) {
	c := acceptOne(t, NewAccount("callers", 1<<20))
	if _, err := c.ReadBody(strings.NewReader("abc"), Body{Length: 4, MaxBytes: 4, Copies: 1}); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("body without its end: got %v, want %v", err, io.ErrUnexpectedEOF)
	}
}
