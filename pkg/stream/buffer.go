// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package stream reassembles an answer from chunks that may arrive late,
// duplicated or out of order, and lets any number of readers follow it.
package stream

import (
	"context"
	"sync"

	"github.com/traildrift/traildrift/pkg/fault"
)

// maxPendingChunks is the maximum number of chunks that are held beyond a gap.
// Further ones are dropped and must be sent again.
const maxPendingChunks = 64

// Buffer holds the bytes of one answer while they arrive. It is safe for
// concurrent use. It must be created with New.
type Buffer struct {
	mu sync.Mutex
	// data is the contiguous start of the answer. Until Release, bytes are
	// only appended.
	data []byte
	// attempt is the attempt whose chunks are accepted. It does not change
	// once data is not empty.
	attempt int
	// pending holds chunks beyond a gap, by byte offset.
	pending map[int][]byte
	// head is set before the first byte of data.
	head Head
	// end is nil until Finish. After that only Release changes it.
	end *End
	// changed is closed and replaced at each change.
	changed chan struct{}
	// firstChunk is closed at the first chunk, which may be empty;
	// gotFirstChunk reports whether it is closed.
	firstChunk    chan struct{}
	gotFirstChunk bool
	// maxBytes is the maximum length of data, in bytes.
	maxBytes int
}

// Head describes an answer; it precedes the first byte.
type Head struct {
	// Status is the HTTP status of the endpoint's response.
	Status int `json:"status,omitempty"`
	// ContentType is the media type of the body.
	ContentType string `json:"contentType,omitempty"`
	// Model and Version name the model version that serves the answer; both
	// are empty for a service.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
}

// End describes how an answer ended.
type End struct {
	// Err is nil for a complete answer.
	Err *fault.Error
}

// New returns an empty buffer that accepts at most limit bytes.
func New(limit int) *Buffer {
	return &Buffer{changed: make(chan struct{}), firstChunk: make(chan struct{}), maxBytes: limit}
}

// SelectAttempt selects the attempt whose chunks are accepted, and drops pending
// chunks. In a new buffer attempt 0 is selected. It returns false and changes
// nothing if the buffer holds bytes of another attempt or the answer has ended.
func (b *Buffer) SelectAttempt(attempt int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil || (len(b.data) > 0 && attempt != b.attempt) {
		return false
	}
	b.attempt = attempt
	b.pending = nil
	return true
}

// SetHead sets the head. It does nothing for another attempt than the selected
// one, once the buffer holds a byte, or once the answer has ended.
func (b *Buffer) SetHead(attempt int, h Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt != b.attempt || b.end != nil || len(b.data) > 0 {
		return
	}
	b.head = h
	b.wake()
}

// Append adds a chunk of an attempt at a byte offset. Bytes that the buffer
// already holds are skipped, and chunks beyond a gap are held until it is
// filled. Chunks of another attempt than the selected one, and those after the
// end, are dropped without an error. It returns fault.TooLarge if the answer
// exceeds the limit.
func (b *Buffer) Append(attempt, offset int, p []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt != b.attempt || b.end != nil {
		return nil
	}
	if !b.gotFirstChunk {
		b.gotFirstChunk = true
		close(b.firstChunk)
	}
	if offset > len(b.data) {
		b.storePending(offset, p)
		return nil
	}
	if err := b.appendChunk(offset, p); err != nil {
		return err
	}
	for {
		next, ok := b.nextPending()
		if !ok {
			break
		}
		p := b.pending[next]
		delete(b.pending, next)
		if err := b.appendChunk(next, p); err != nil {
			// Readers get the bytes before the chunk that is too large.
			b.wake()
			return err
		}
	}
	b.wake()
	return nil
}

// storePending stores a copy of a chunk beyond a gap; of two chunks at one offset it
// keeps the longer.
func (b *Buffer) storePending(offset int, p []byte) {
	if len(p) <= len(b.pending[offset]) || (len(b.pending) >= maxPendingChunks && b.pending[offset] == nil) {
		return
	}
	if b.pending == nil {
		b.pending = make(map[int][]byte)
	}
	b.pending[offset] = append([]byte(nil), p...)
}

// nextPending returns the offset of a pending chunk that no gap precedes.
func (b *Buffer) nextPending() (int, bool) {
	for off := range b.pending {
		if off <= len(b.data) {
			return off, true
		}
	}
	return 0, false
}

// appendChunk appends the part of a chunk that data does not hold yet; offset is at
// most len(data).
func (b *Buffer) appendChunk(offset int, p []byte) error {
	skip := len(b.data) - offset
	if skip >= len(p) {
		return nil
	}
	if offset+len(p) > b.maxBytes {
		return fault.TooLarge
	}
	b.data = append(b.data, p[skip:]...)
	return nil
}

// Finish ends the answer, with a nil err for a complete one of length bytes.
// Only the first call takes effect and returns true. If err is nil and the
// buffer does not hold length bytes, the answer ends with NotWhole.
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

// wake wakes all waiting readers; b.mu is held.
func (b *Buffer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// FirstChunk returns a channel that is closed once a chunk of the selected attempt
// has arrived. The chunk may be empty or lie beyond a gap.
func (b *Buffer) FirstChunk() <-chan struct{} { return b.firstChunk }

// Release frees the bytes of an ended answer. From then on Next returns an end
// with the error NotWhole. It does nothing before the end or for an empty answer.
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

// Len returns the number of contiguous bytes received so far.
func (b *Buffer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.data)
}

// Bytes returns the contiguous bytes received so far. The caller must not
// modify them.
func (b *Buffer) Bytes() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data
}

// Ended returns the end, or nil if the answer has not ended.
func (b *Buffer) Ended() *End {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end
}

// Next waits until the buffer holds bytes beyond offset or the answer has
// ended, and returns the head, these bytes, and the end or nil if more may
// follow. It returns the cause of ctx as an error if ctx is done first. The
// caller must not modify the bytes.
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

// ReadAll waits for the end of the answer and returns the head, all bytes and the
// end. It returns the cause of ctx as an error if ctx is done first. The caller
// must not modify the bytes.
func (b *Buffer) ReadAll(ctx context.Context) (Head, []byte, *End, error) {
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
