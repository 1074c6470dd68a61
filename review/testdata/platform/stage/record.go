// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what happened. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// add writes a line with the time since the start and returns the present time. who is what acts.
func (r *record) add(who, format string, args ...any) time.Time {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.out != nil {
		fmt.Fprintf(r.out, "%8.3f %-9s %s\n", now.Sub(r.start).Seconds(), who, fmt.Sprintf(format, args...))
	}
	return now
}

// since returns a time as seconds since the start.
func (r *record) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
	r.out = nil
}

// short shortens a text for the record.
func short(text []byte) string {
	const most = 160
	if len(text) > most {
		return string(text[:most]) + "..."
	}
	return string(text)
}
