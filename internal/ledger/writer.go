// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package ledger writes records, such as bills, to the platform in batches, each record
// exactly once. A batch is one object with a unique name that is written only if no such
// object exists, so that a retried write has no effect if an earlier one succeeded.
// Records are buffered in memory until the platform confirms them.
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

// Kinds of the objects that hold batches.
const (
	KindBills = "bills"
	KindTrail = "trail"
)

const (
	// maxBatchRecords is the maximum number of records of one batch.
	maxBatchRecords = 400
	// maxBatchBytes is the maximum size of an encoded batch of more than one record. It
	// is below store.MaxValueBytes, the platform's limit.
	maxBatchBytes = store.MaxValueBytes * 9 / 10
	// retryDelay is the pause of Flush after a failed write.
	retryDelay = config.Span(time.Second)
	// putTimeout is the timeout of writing one batch, with reading it back.
	putTimeout = 5 * time.Second
)

// Options configures a Writer. Kind, Prefix and MaxRecords are required.
type Options[T any] struct {
	// Kind is the kind of the objects that hold the batches.
	Kind string
	// Prefix starts the names of the objects. It must be unique to the process and its
	// start, such as the incarnation.
	Prefix string
	// MaxRecords is the maximum number of buffered records.
	MaxRecords int
	// FlushInterval is the time for which Run collects records before it writes them;
	// it writes a full batch earlier.
	FlushInterval config.Span
	// Encode encodes a batch as a JSON array. The default is json.Marshal.
	Encode func([]T) ([]byte, error)
	// OnWritten, if not nil, is called with each batch that the platform has confirmed.
	OnWritten func([]T)
}

// Writer buffers records of one kind and writes them in batches. It must be created with
// New. All methods are safe for concurrent use; Flush may be called while Run runs.
type Writer[T any] struct {
	log   *zap.Logger
	store *store.Client
	opts  Options[T]
	// writing holds a value while a batch is written. Two writes of the same batch would
	// both confirm it, and the second one would remove records that were not written.
	writing chan struct{}
	mu      sync.Mutex
	// held holds the records that the platform has not confirmed, oldest first; never
	// more than opts.MaxRecords.
	held []T
	// seq is the number of the next batch. It grows only when a batch is confirmed, so
	// that a retried write has the same name.
	seq int
	// lost is the number of records that Add dropped because held was full.
	lost int64
	// wake receives a signal when Add has filled a batch.
	wake chan struct{}
}

// New returns a writer of objects named PREFIX-NUMBER, numbered from 0 with 8 digits. It
// writes nothing until Run or Flush is called.
func New[T any](log *zap.Logger, c *store.Client, o Options[T]) *Writer[T] {
	if o.Encode == nil {
		o.Encode = func(batch []T) ([]byte, error) { return json.Marshal(batch) }
	}
	return &Writer[T]{log: log, store: c, opts: o, writing: make(chan struct{}, 1), wake: make(chan struct{}, 1)}
}

// Add buffers a record. If the buffer is full, Add drops the record, counts it as lost
// and returns false.
func (w *Writer[T]) Add(r T) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.add(r) {
		w.lost++
		return false
	}
	return true
}

// TryAdd buffers a record and returns false if the buffer is full. It does not count the
// record as lost, as the caller keeps it.
func (w *Writer[T]) TryAdd(r T) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.add(r)
}

// add buffers a record unless the buffer is full; mu is held.
func (w *Writer[T]) add(r T) bool {
	if len(w.held) >= w.opts.MaxRecords {
		return false
	}
	w.held = append(w.held, r)
	if len(w.held)%maxBatchRecords == 0 {
		w.signalWake()
	}
	return true
}

// signalWake wakes Run. It does not block.
func (w *Writer[T]) signalWake() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Held returns the number of buffered records, which the platform has not confirmed, and
// the number of records that were lost because the buffer was full.
func (w *Writer[T]) Held() (held int, lost int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.held), w.lost
}

// Find returns the oldest buffered record for which match returns true, and whether there
// is one. match must not call the writer.
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

// Run writes the buffered records every FlushInterval and whenever a batch is full, until
// ctx is done. A batch that could not be written is retried the next time. Run returns
// nil; records may be left in the buffer.
func (w *Writer[T]) Run(ctx context.Context) error {
	for {
		tick := time.NewTimer(time.Until(w.opts.FlushInterval.After(time.Now())))
		select {
		case <-ctx.Done():
			tick.Stop()
			return nil
		case <-tick.C:
		case <-w.wake:
			tick.Stop()
		}
		for w.writeBatch(ctx) {
			if ctx.Err() != nil {
				return nil
			}
		}
	}
}

// Flush writes all buffered records and retries failed writes until ctx is done. It then
// returns the error of ctx, with the number of records that are left.
func (w *Writer[T]) Flush(ctx context.Context) error {
	for {
		held, _ := w.Held()
		if held == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "ledger: flush stopped with %d unwritten records of kind %s", held, w.opts.Kind)
		}
		if !w.writeBatch(ctx) {
			tasks.Pause(ctx, retryDelay.After(time.Now()))
		}
	}
}

// writeBatch writes the oldest records as one batch and reports whether the platform
// confirmed them. It returns false if there are no records, or if ctx is done while
// another batch is written.
func (w *Writer[T]) writeBatch(ctx context.Context) bool {
	select {
	case w.writing <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-w.writing }()
	w.mu.Lock()
	batch := w.held[:min(len(w.held), maxBatchRecords)]
	name := fmt.Sprintf("%s-%08d", w.opts.Prefix, w.seq)
	w.mu.Unlock()
	if len(batch) == 0 {
		return false
	}
	batch, body, err := w.encode(batch)
	if err != nil {
		w.log.Error("ledger: A batch could not be encoded; its records stay buffered.", logs.Err(err))
		return false
	}
	put, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	_, err = w.store.Put(put, w.opts.Kind, name, 0, body)
	if errors.Is(err, store.ErrConflict) {
		return w.confirmStored(put, name)
	}
	if err != nil {
		w.log.Warn("ledger: A batch could not be written; it will be retried.", zap.String("name", name), logs.Err(err))
		return false
	}
	w.markConfirmed(len(batch))
	return true
}

// encode encodes a batch. It halves the batch until the encoding has at most
// maxBatchBytes or only one record is left, and returns the records that it encoded.
func (w *Writer[T]) encode(batch []T) ([]T, []byte, error) {
	for {
		body, err := w.opts.Encode(batch)
		if err != nil || len(body) <= maxBatchBytes || len(batch) == 1 {
			return batch, body, err
		}
		batch = batch[:len(batch)/2]
	}
}

// confirmStored handles a batch whose object exists: an earlier write succeeded, but its
// response was lost. It reads the object and confirms the records in it. The batch in
// memory may have more, as records were added since.
func (w *Writer[T]) confirmStored(ctx context.Context, name string) bool {
	o, err := w.store.Get(ctx, w.opts.Kind, name)
	if err != nil {
		return false
	}
	var written []T
	if err := json.Unmarshal(o.Value, &written); err != nil {
		return false
	}
	w.markConfirmed(len(written))
	return true
}

// markConfirmed removes the n oldest records from the buffer, advances seq and calls
// OnWritten. The caller holds writing.
func (w *Writer[T]) markConfirmed(n int) {
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
