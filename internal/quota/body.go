// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package quota

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge means that a body is longer than allowed.
var ErrTooLarge = errors.New("quota: the body is too large")

// Body describes a body to read.
type Body struct {
	// Length is the announced length in bytes; negative if there is none.
	Length int64
	// MaxBytes is the maximum length; over 0.
	MaxBytes int
	// Copies is how many times the body is in memory while its request is served; at least 1.
	Copies int
}

const (
	// firstBodyBytes is the size of the first buffer for a body of unknown length.
	firstBodyBytes = 4 << 10
	// bodySteps is the number of parts of a body of which one has to come in stallTime, while others want the memory, and
	// minBodyStep the size of the smallest of these parts, in bytes.
	bodySteps   = 64
	minBodyStep = 1 << 10
)

// ReadBody reads a body. Each buffer is charged before it is allocated, and an announced body as a whole before the first
// byte is read. The error is ErrNoMemory if that was refused or the connection gave way, and ErrTooLarge beyond MaxBytes.
func (c *Conn) ReadBody(r io.Reader, b Body) ([]byte, error) {
	buf, err := c.readBody(r, b)
	if c.endBody() {
		return nil, ErrNoMemory
	}
	return buf, err
}

func (c *Conn) readBody(r io.Reader, b Body) ([]byte, error) {
	if b.Length < 0 {
		return c.readUnannounced(r, b)
	}
	if b.Length > int64(b.MaxBytes) {
		return nil, ErrTooLarge
	}
	length := int(b.Length)
	u := forBody
	if c.hasRead(b.Length) {
		// Nobody waits for the rest.
		u = forService
	}
	if err := c.charge(int64(length*b.Copies), u); err != nil {
		return nil, err
	}
	c.beginBody(max(length/bodySteps, min(minBodyStep, length)))
	buf := make([]byte, length)
	_, err := io.ReadFull(r, buf)
	return buf, err
}

// readUnannounced reads a body of unknown length.
func (c *Conn) readUnannounced(r io.Reader, b Body) ([]byte, error) {
	c.beginBody(minBodyStep)
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			size, before := min(max(2*cap(buf), firstBodyBytes), b.MaxBytes+1), cap(buf)
			if err := c.Grant(size * b.Copies); err != nil {
				return nil, err
			}
			buf = append(make([]byte, 0, size), buf...)
			c.Return(before * b.Copies)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case len(buf) > b.MaxBytes:
			return nil, ErrTooLarge
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return nil, err
		}
	}
}

// beginBody begins the reading of a body. While less than step bytes of it come in stallTime, the connection may give way.
func (c *Conn) beginBody(step int) {
	a := c.door.a
	a.mu.Lock()
	defer a.mu.Unlock()
	c.wantedBytes, c.doneBytes = step, 0
	if !c.evicted {
		a.setStage(c, body)
	}
}

// endBody ends the reading of a body, and reports whether the connection gave way meanwhile.
func (c *Conn) endBody() (evicted bool) {
	a := c.door.a
	a.mu.Lock()
	defer a.mu.Unlock()
	if !c.evicted {
		a.setStage(c, service)
	}
	return c.evicted
}
