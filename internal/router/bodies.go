// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"errors"
	"io"
	"sync/atomic"
)

// errBodiesFull says that the bodies under way take all the memory that they may.
var errBodiesFull = errors.New("router: the bodies of other requests take the memory")

// bodies bounds the memory that the bodies of requests under way take together.
type bodies struct {
	// most is the bound in bytes; 0 for none.
	most int64
	// held is what is taken; it is never negative.
	held atomic.Int64
}

// bodiesShare is the part of the process's memory, in hundredths, that bodies may
// take: a body grows by doubling while it is read, and is sent from a copy.
const bodiesShare = 20

func newBodies(memoryMB int) *bodies { return &bodies{most: int64(memoryMB) << 20 * bodiesShare / 100} }

// free gives back what a body of n bytes took.
func (b *bodies) free(n int) { b.held.Add(-int64(n)) }

// reader returns a reader that takes room for what it reads, and fails with
// errBodiesFull where there is none. What it returned must be freed.
func (b *bodies) reader(r io.Reader) io.Reader { return &heldReader{b, r} }

type heldReader struct {
	b *bodies
	r io.Reader
}

// Read reads and takes room.
func (h *heldReader) Read(p []byte) (int, error) {
	n, err := h.r.Read(p)
	if held := h.b.held.Add(int64(n)); h.b.most > 0 && held > h.b.most {
		return n, errBodiesFull
	}
	return n, err
}
