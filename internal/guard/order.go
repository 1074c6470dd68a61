// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"context"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/assert"
	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/rolls"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/fault"
)

// handleOrder has the engine load a version. Not every engine checks who gives
// an order, so the guard does: an order counts only while it stands in the
// newest version of the roll-outs' object, which also holds for a guard that
// was just started and has seen no fence yet.
func (g *Guard) handleOrder(ctx context.Context, _ *link.Conn, p wire.Order) (wire.Empty, error) {
	version, err := rolls.Version(ctx, g.Store)
	if err != nil {
		return wire.Empty{}, fault.New(fault.PlatformDown, fault.NotRun, "The roll-outs cannot be read.")
	}
	if !g.acceptFence(p.Fence, version) {
		return wire.Empty{}, fault.New(fault.NotAllowed, fault.NotRun, "The order is of an older state of the roll-outs.")
	}
	if err := g.loadVersionOnce(ctx, &p); err != nil {
		g.Log.Warn("guard: The engine did not load a version.", zap.String("model", p.Model), zap.String("version", p.Version), logs.Err(err))
		return wire.Empty{}, fault.New(fault.EndpointFailed, fault.MayHaveRun, "The engine did not load the version.")
	}
	g.Log.Info("guard: The engine loaded a version.", zap.String("model", p.Model), zap.String("version", p.Version), zap.Int64("fence", p.Fence))
	return wire.Empty{Stamp: g.Stamp()}, nil
}

// versionLoad is one versionLoad under way.
type versionLoad struct {
	done chan struct{}
	err  error
}

// loadVersionOnce has the engine load a version, or waits for the load of the same
// version that is under way: an order is repeated when the process that gave it
// is lost, and the weight store must not be asked twice.
func (g *Guard) loadVersionOnce(ctx context.Context, o *wire.Order) error {
	name := o.Model + "@" + o.Version
	g.mu.Lock()
	l, under := g.versionLoads[name]
	if !under {
		l = &versionLoad{done: make(chan struct{})}
		g.versionLoads[name] = l
	}
	g.mu.Unlock()
	if under {
		select {
		case <-l.done:
			return l.err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	l.err = g.endpoint.LoadVersion(ctx, o)
	close(l.done)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.versionLoads, name)
	return l.err
}

// acceptFence reports whether an order's fence is the newest.
func (g *Guard) acceptFence(fence, version int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if fence < version || fence < g.fence {
		return false
	}
	assert.That(fence >= g.fence, "fenceOnlyGrows")
	g.fence = fence
	return true
}
