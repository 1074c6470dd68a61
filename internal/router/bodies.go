// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"errors"
	"io"
	"sync/atomic"
)

// errBodyBudgetFull means that the bodies of the current requests exceed the body budget.
var errBodyBudgetFull = errors.New("router: the memory for request bodies is used up by other requests")

// bodyBudget bounds the memory that the bodies of all current requests use together.
type bodyBudget struct {
	// maxBytes is the bound; 0 for none.
	maxBytes int64
	// usedBytes is the sum of the bytes read and not released. It is never negative.
	usedBytes atomic.Int64
}

// bodyMemoryPercent is the percentage of the memory of the process that bodies may use. The buffer of
// a body doubles as it grows while the body is read, and the body is sent from a copy.
const bodyMemoryPercent = 20

func newBodyBudget(memoryMB int) *bodyBudget {
	return &bodyBudget{maxBytes: int64(memoryMB) << 20 * bodyMemoryPercent / 100}
}

// release returns the n bytes of a body to the budget.
func (b *bodyBudget) release(n int) { b.usedBytes.Add(-int64(n)) }

// reader returns a reader that charges the bytes it reads to the budget, and fails with
// errBodyBudgetFull once the budget is exceeded. The caller must release all bytes that were read,
// also after an error.
func (b *bodyBudget) reader(r io.Reader) io.Reader { return &budgetReader{b, r} }

type budgetReader struct {
	b *bodyBudget
	r io.Reader
}

// Read reads from r and charges the bytes to the budget.
func (h *budgetReader) Read(p []byte) (int, error) {
	n, err := h.r.Read(p)
	if used := h.b.usedBytes.Add(int64(n)); h.b.maxBytes > 0 && used > h.b.maxBytes {
		return n, errBodyBudgetFull
	}
	return n, err
}
