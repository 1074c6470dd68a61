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

// linesHeld bounds the lines that wait to be written; more are dropped and
// counted. At 400 bytes a line they take 800 KB.
const linesHeld = 2048

// Bounded writes lines without ever blocking their writers. Use NewBounded.
type Bounded struct {
	mu sync.Mutex
	// lines is closed by Close; nobody sends afterwards.
	lines   chan []byte
	closed  bool
	dropped atomic.Int64
	ended   chan struct{}
}

// NewBounded returns a logger of JSON lines to w at the given level, and what
// writes them. The lines that were dropped are counted and told of.
func NewBounded(w io.Writer, level string) (*zap.Logger, *Bounded) {
	b := &Bounded{lines: make(chan []byte, linesHeld), ended: make(chan struct{})}
	go b.write(w)
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	l, err := zapcore.ParseLevel(level)
	if err != nil || level == "" {
		l = zapcore.InfoLevel
	}
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(enc), b, l)), b
}

// Write takes a line, or drops it if too many wait.
func (b *Bounded) Write(line []byte) (int, error) {
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

// Sync does nothing: lines are written as soon as the output takes them.
func (b *Bounded) Sync() error { return nil }

// Dropped returns how many lines were dropped.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Close writes what waits and ends the writer.
func (b *Bounded) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	<-b.ended
}

// write hands the lines on; where the output fails, they are dropped and counted.
func (b *Bounded) write(w io.Writer) {
	defer close(b.ended)
	for line := range b.lines {
		if _, err := w.Write(line); err != nil {
			b.dropped.Add(1)
		}
	}
}
