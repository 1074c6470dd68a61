// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package tasks starts goroutines that take a context and report their end on
// a channel that their owner reads.
package tasks

import (
	"context"
	"sync"
)

// End reports that a goroutine has ended.
type End struct {
	// Name is what the goroutine was started as.
	Name string
	// Err is what it returned; nil for a plain end.
	Err error
}

// Group owns goroutines. The zero value is ready for use.
type Group struct {
	mu      sync.Mutex
	running int
	ends    chan End
}

// Go starts fn in a goroutine that the group owns.
func (g *Group) Go(ctx context.Context, name string, fn func(ctx context.Context) error) {
	g.mu.Lock()
	if g.ends == nil {
		g.ends = make(chan End)
	}
	g.running++
	ends := g.ends
	g.mu.Unlock()
	go func() {
		ends <- End{Name: name, Err: fn(ctx)}
	}()
}

// Wait reads the ends of all goroutines started before or during the call and
// passes each to report, which may be nil.
func (g *Group) Wait(report func(End)) {
	for {
		g.mu.Lock()
		n := g.running
		ends := g.ends
		g.mu.Unlock()
		if n == 0 {
			return
		}
		end := <-ends
		g.mu.Lock()
		g.running--
		g.mu.Unlock()
		if report != nil {
			report(end)
		}
	}
}
