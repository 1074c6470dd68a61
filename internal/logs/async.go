// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package logs

import (
	"io"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxQueuedLines is the capacity of the queue of lines; further lines are dropped
// and counted. At 400 bytes per line a full queue takes 800 KB.
const maxQueuedLines = 2048

// AsyncWriter writes log lines from a bounded queue, so that a slow output never
// blocks the callers. It must be created with NewAsync and is safe for concurrent
// use.
type AsyncWriter struct {
	mu sync.Mutex
	// lines is closed by Close; nothing is sent afterwards.
	lines chan []byte
	// closed reports whether lines is closed.
	closed  bool
	dropped atomic.Int64
	// done is closed when the goroutine of write returns.
	done chan struct{}
}

// NewAsync returns a logger that writes JSON lines to w from the given level up,
// and its writer, which counts the dropped lines. An empty or unknown level means
// info. The caller must call Close.
func NewAsync(w io.Writer, level string) (*zap.Logger, *AsyncWriter) {
	b := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go b.write(w)
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	l, err := zapcore.ParseLevel(level)
	if err != nil || level == "" {
		l = zapcore.InfoLevel
	}
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(enc), b, l)), b
}

// Write queues a copy of line, or drops it if the queue is full. After Close it
// discards the line without counting it. It always returns len(line) and no error.
func (b *AsyncWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing and returns nil: lines are written as soon as the output accepts
// them.
func (b *AsyncWriter) Sync() error { return nil }

// Dropped returns the number of dropped lines: those that found the queue full and
// those whose write failed.
func (b *AsyncWriter) Dropped() int64 { return b.dropped.Load() }

// Close waits until the queued lines are written and stops the writer.
func (b *AsyncWriter) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	<-b.done
}

// write writes the queued lines to w; lines whose write fails are dropped and counted.
func (b *AsyncWriter) write(w io.Writer) {
	defer close(b.done)
	for line := range b.lines {
		if _, err := w.Write(line); err != nil {
			b.dropped.Add(1)
		}
	}
}
