// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package stream assembles one answer from chunks that may come late, doubled
// or out of order, and lets any number of readers follow it.
package stream

import (
	"context"
	"sync"

	"github.com/traildrift/traildrift/pkg/fault"
)

// maxPending is how many chunks beyond a gap are kept; more are dropped and
// must be sent again.
const maxPending = 64

// Buffer holds one growing answer. The zero value is not ready; use New.
type Buffer struct {
	mu sync.Mutex
	// data is the answer so far. It only grows, and only at its end.
	data []byte
	// attempt is the attempt whose chunks are taken. Once data is not empty
	// it never changes.
	attempt int
	// pending holds chunks beyond a gap by offset.
	pending map[int][]byte
	// head is set before the first byte of data.
	head Head
	// end is set once; after it nothing changes.
	end *End
	// changed is closed and replaced at each change.
	changed chan struct{}
	// begun is closed at the first chunk, which may be empty.
	begun   chan struct{}
	isBegun bool
	// limit is the greatest length of data, in bytes.
	limit int
}

// Head is what precedes the first byte of an answer.
type Head struct {
	// Status is the HTTP status of the endpoint.
	Status int `json:"status,omitempty"`
	// ContentType is the media type of the body.
	ContentType string `json:"contentType,omitempty"`
	// Model and Version name what serves the answer; empty for a service.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
}

// End says how an answer ended.
type End struct {
	// Err is nil for a whole answer.
	Err *fault.Error
}

// New returns an empty buffer that takes at most limit bytes.
func New(limit int) *Buffer {
	return &Buffer{changed: make(chan struct{}), begun: make(chan struct{}), limit: limit}
}

// Begin makes attempt the one whose chunks are taken. It reports false if
// bytes of another attempt were already taken or the answer has ended.
func (b *Buffer) Begin(attempt int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil || (len(b.data) > 0 && attempt != b.attempt) {
		return false
	}
	b.attempt = attempt
	b.pending = nil
	return true
}

// SetHead sets the head if no byte was taken yet.
func (b *Buffer) SetHead(attempt int, h Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt != b.attempt || b.end != nil || len(b.data) > 0 {
		return
	}
	b.head = h
	b.wake()
}

// Append takes a chunk of an attempt at a byte offset. Bytes taken before are
// dropped, chunks beyond a gap wait. It returns TooLarge when the answer
// outgrows the limit, and drops chunks of any other attempt.
func (b *Buffer) Append(attempt, offset int, p []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt != b.attempt || b.end != nil {
		return nil
	}
	if !b.isBegun {
		b.isBegun = true
		close(b.begun)
	}
	if offset > len(b.data) {
		b.hold(offset, p)
		return nil
	}
	if err := b.take(offset, p); err != nil {
		return err
	}
	for {
		next, ok := b.nextPending()
		if !ok {
			break
		}
		p := b.pending[next]
		delete(b.pending, next)
		if err := b.take(next, p); err != nil {
			return err
		}
	}
	b.wake()
	return nil
}

func (b *Buffer) hold(offset int, p []byte) {
	if len(p) <= len(b.pending[offset]) || (len(b.pending) >= maxPending && b.pending[offset] == nil) {
		return
	}
	if b.pending == nil {
		b.pending = make(map[int][]byte)
	}
	b.pending[offset] = append([]byte(nil), p...)
}

func (b *Buffer) nextPending() (int, bool) {
	for off := range b.pending {
		if off <= len(b.data) {
			return off, true
		}
	}
	return 0, false
}

func (b *Buffer) take(offset int, p []byte) error {
	skip := len(b.data) - offset
	if skip >= len(p) {
		return nil
	}
	if offset+len(p) > b.limit {
		return fault.TooLarge
	}
	b.data = append(b.data, p[skip:]...)
	return nil
}

// Finish ends the answer. Of several ends the first counts; Finish reports
// whether this was it. A whole end (err nil) that names another length than
// was taken becomes NotWhole.
func (b *Buffer) Finish(length int, err *fault.Error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return false
	}
	if err == nil && length != len(b.data) {
		err = fault.New(fault.NotWhole, fault.Ran, "The answer has %d of %d bytes.", len(b.data), length)
	}
	b.end = &End{Err: err}
	b.pending = nil
	b.wake()
	return true
}

// wake tells all readers of a change; b.mu is held.
func (b *Buffer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Begun is closed once a chunk was taken, which may be empty.
func (b *Buffer) Begun() <-chan struct{} { return b.begun }

// Release gives up the bytes of an ended answer. A reader that still wants some
// of them is told that the answer is not whole.
func (b *Buffer) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end == nil || len(b.data) == 0 {
		return
	}
	b.data = nil
	b.end = &End{Err: fault.New(fault.NotWhole, fault.Ran, "The answer is no longer kept.")}
	b.wake()
}

// Len returns how many bytes were taken so far.
func (b *Buffer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.data)
}

// Bytes returns what was taken so far; it must not be changed.
func (b *Buffer) Bytes() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data
}

// Ended returns the end, or nil while the answer still grows.
func (b *Buffer) Ended() *End {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end
}

// Next waits until there is more than offset, or the end, or ctx is done. The
// returned bytes must not be changed. A nil end means more may come.
func (b *Buffer) Next(ctx context.Context, offset int) (Head, []byte, *End, error) {
	for {
		b.mu.Lock()
		h, data, end, changed := b.head, b.data[min(offset, len(b.data)):], b.end, b.changed
		b.mu.Unlock()
		if len(data) > 0 || end != nil {
			return h, data, end, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return h, nil, nil, context.Cause(ctx)
		}
	}
}

// Whole waits for the end and returns the whole answer.
func (b *Buffer) Whole(ctx context.Context) (Head, []byte, *End, error) {
	offset := 0
	for {
		h, p, end, err := b.Next(ctx, offset)
		if err != nil {
			return h, nil, nil, err
		}
		offset += len(p)
		if end != nil {
			b.mu.Lock()
			defer b.mu.Unlock()
			return h, b.data, end, nil
		}
	}
}
