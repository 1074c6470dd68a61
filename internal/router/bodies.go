// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"errors"
	"io"
	"sync/atomic"
)

// errBodyBudgetFull says that the bodies under way take all the memory that they may.
var errBodyBudgetFull = errors.New("router: the bodies of other requests take the memory")

// bodyBudget bounds the memory that the bodyBudget of requests under way take together.
type bodyBudget struct {
	// maxBytes is the bound in bytes; 0 for none.
	maxBytes int64
	// usedBytes is what is taken; it is never negative.
	usedBytes atomic.Int64
}

// bodyMemoryPercent is the part of the process's memory, in hundredths, that bodies may
// take: a body grows by doubling while it is read, and is sent from a copy.
const bodyMemoryPercent = 20

func newBodyBudget(memoryMB int) *bodyBudget {
	return &bodyBudget{maxBytes: int64(memoryMB) << 20 * bodyMemoryPercent / 100}
}

// release gives back what a body of n bytes took.
func (b *bodyBudget) release(n int) { b.usedBytes.Add(-int64(n)) }

// reader returns a reader that takes room for what it reads, and fails with
// errBodiesFull where there is none. What it returned must be freed.
func (b *bodyBudget) reader(r io.Reader) io.Reader { return &budgetReader{b, r} }

type budgetReader struct {
	b *bodyBudget
	r io.Reader
}

// Read reads and takes room.
func (h *budgetReader) Read(p []byte) (int, error) {
	n, err := h.r.Read(p)
	if held := h.b.usedBytes.Add(int64(n)); h.b.maxBytes > 0 && held > h.b.maxBytes {
		return n, errBodyBudgetFull
	}
	return n, err
}
