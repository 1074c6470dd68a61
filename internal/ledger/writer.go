// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package ledger writes records to the platform in batches, each exactly once:
// a batch is an object with a name of its own, written only if it does not
// exist, so that a repeated write is harmless.
package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/config"
)

// Kinds of the ledgers' objects.
const (
	KindBills = "bills"
	KindTrail = "trail"
)

const (
	// batchMost bounds the records of one object.
	batchMost = 400
	// bytesMost bounds the size of one object; it lies under the platform's
	// limit.
	bytesMost = store.MaxValueBytes * 9 / 10
	// waitAfterError is how long a failed write waits before it is repeated.
	waitAfterError = config.Span(time.Second)
	// putWithin bounds one write.
	putWithin = 5 * time.Second
)

// Options shape a Writer.
type Options[T any] struct {
	Kind string
	// Prefix names the process's objects; it holds the incarnation.
	Prefix string
	// Most bounds the records that are held.
	Most int
	// Every is how long records are gathered before they are written.
	Every config.Span
	// Encode returns a batch as a JSON array; json.Marshal if it is nil.
	Encode func([]T) ([]byte, error)
	// OnWritten hears of every batch that the platform has confirmed; it may
	// be nil.
	OnWritten func([]T)
}

// Writer gathers records of one kind and writes them in batches.
type Writer[T any] struct {
	log   *zap.Logger
	store *store.Client
	opts  Options[T]
	mu    sync.Mutex
	// held is what is not confirmed yet, oldest first; never longer than
	// opts.Most.
	held []T
	// seq numbers the next batch.
	seq int
	// lost counts records that were dropped because held was full.
	lost int64
	// wake is signalled when a batch is full or a flush is wanted.
	wake chan struct{}
}

// New returns a writer of objects kind/prefix-number.
func New[T any](log *zap.Logger, c *store.Client, o Options[T]) *Writer[T] {
	if o.Encode == nil {
		o.Encode = func(batch []T) ([]byte, error) { return json.Marshal(batch) }
	}
	return &Writer[T]{log: log, store: c, opts: o, wake: make(chan struct{}, 1)}
}

// Add takes a record; it reports false, and counts it as lost, when the buffer
// is full.
func (w *Writer[T]) Add(r T) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.held) >= w.opts.Most {
		w.lost++
		return false
	}
	w.held = append(w.held, r)
	if len(w.held)%batchMost == 0 {
		w.poke()
	}
	return true
}

func (w *Writer[T]) poke() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Held returns how many records are not confirmed and how many were lost.
func (w *Writer[T]) Held() (held int, lost int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.held), w.lost
}

// Find returns the first held record that match accepts.
func (w *Writer[T]) Find(match func(T) bool) (T, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.held {
		if match(r) {
			return r, true
		}
	}
	var none T
	return none, false
}

// Run writes batches until ctx is done.
func (w *Writer[T]) Run(ctx context.Context) error {
	for {
		tick := time.NewTimer(time.Until(w.opts.Every.After(time.Now())))
		select {
		case <-ctx.Done():
			tick.Stop()
			return nil
		case <-tick.C:
		case <-w.wake:
			tick.Stop()
		}
		for w.writeOne(ctx) {
			if ctx.Err() != nil {
				return nil
			}
		}
	}
}

// Flush writes all that is held, or returns the error of ctx.
func (w *Writer[T]) Flush(ctx context.Context) error {
	for {
		held, _ := w.Held()
		if held == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "ledger: %d records of %s are not written", held, w.opts.Kind)
		}
		if !w.writeOne(ctx) {
			tasks.Pause(ctx, waitAfterError.After(time.Now()))
		}
	}
}

// writeOne writes the oldest batch and reports whether it was confirmed.
func (w *Writer[T]) writeOne(ctx context.Context) bool {
	w.mu.Lock()
	batch := w.held[:min(len(w.held), batchMost)]
	name := fmt.Sprintf("%s-%08d", w.opts.Prefix, w.seq)
	w.mu.Unlock()
	if len(batch) == 0 {
		return false
	}
	batch, body, err := w.encode(batch)
	if err != nil {
		w.log.Error("ledger: A batch does not encode.", logs.Err(err))
		return false
	}
	put, cancel := context.WithTimeout(ctx, putWithin)
	defer cancel()
	_, err = w.store.Put(put, w.opts.Kind, name, 0, body)
	if errors.Is(err, store.ErrConflict) {
		return w.settle(put, name)
	}
	if err != nil {
		w.log.Warn("ledger: A batch could not be written.", zap.String("name", name), logs.Err(err))
		return false
	}
	w.confirmed(len(batch))
	return true
}

// encode returns the batch, cut in halves until it fits an object.
func (w *Writer[T]) encode(batch []T) ([]T, []byte, error) {
	for {
		body, err := w.opts.Encode(batch)
		if err != nil || len(body) <= bytesMost || len(batch) == 1 {
			return batch, body, err
		}
		batch = batch[:len(batch)/2]
	}
}

// settle reads back an object whose earlier write took effect though its
// answer was lost. The batch may have grown since: what the object holds is
// confirmed.
func (w *Writer[T]) settle(ctx context.Context, name string) bool {
	o, err := w.store.Get(ctx, w.opts.Kind, name)
	if err != nil {
		return false
	}
	var written []T
	if err := json.Unmarshal(o.Value, &written); err != nil {
		return false
	}
	w.confirmed(len(written))
	return true
}

func (w *Writer[T]) confirmed(n int) {
	w.mu.Lock()
	n = min(n, len(w.held))
	batch := append([]T(nil), w.held[:n]...)
	w.held = append([]T(nil), w.held[n:]...)
	w.seq++
	w.mu.Unlock()
	if w.opts.OnWritten != nil {
		w.opts.OnWritten(batch)
	}
}
