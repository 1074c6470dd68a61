// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package tasks runs groups of goroutines whose owner waits for them and receives
// their errors, and has helpers for waiting.
package tasks

import (
	"context"
	"sync"
)

// End reports that a goroutine has ended.
type End struct {
	// Name is the name that was passed to Go.
	Name string
	// Err is the error that the goroutine returned.
	Err error
}

// Group is a set of goroutines. Wait must be called for a group that has
// started any: each goroutine blocks at its end until Wait reads its End. The zero
// value is ready for use. Group is safe for concurrent use.
type Group struct {
	mu sync.Mutex
	// running counts the goroutines whose End was not read yet.
	running int
	// ends is made by the first Go.
	ends chan End
}

// Go runs fn with ctx in a goroutine of the group. The name identifies it in its End.
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

// Wait waits for all goroutines that were started before or during the call, and
// calls report with the End of each unless it is nil. Only one goroutine may call
// Wait at a time.
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
