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

// handleOrder has the engine load a version. Not every engine checks fencing tokens,
// so the guard does: it refuses an order whose fence is older than the current
// version of the stored object of roll-outs. It reads that version from the store
// for each order, so that a guard that was just started and has accepted no fence
// yet refuses old orders too. It returns PlatformDown if the version cannot be read,
// NotAllowed for an old order and EndpointFailed if the load fails.
func (g *Guard) handleOrder(ctx context.Context, _ *link.Conn, p wire.Order) (wire.Empty, error) {
	version, err := rolls.Version(ctx, g.Store)
	if err != nil {
		return wire.Empty{}, fault.New(fault.PlatformDown, fault.NotRun, "The state of the roll-outs could not be read from the store.")
	}
	if !g.acceptFence(p.Fence, version) {
		return wire.Empty{}, fault.New(fault.NotAllowed, fault.NotRun, "The order is from an older version of the roll-outs.")
	}
	if err := g.loadVersionOnce(ctx, &p); err != nil {
		g.Log.Warn("guard: The engine did not load a version.", zap.String("model", p.Model), zap.String("version", p.Version), logs.Err(err))
		return wire.Empty{}, fault.New(fault.EndpointFailed, fault.MayHaveRun, "The engine did not load the version.")
	}
	g.Log.Info("guard: The engine loaded a version.", zap.String("model", p.Model), zap.String("version", p.Version), zap.Int64("fence", p.Fence))
	return wire.Empty{Stamp: g.Stamp()}, nil
}

// versionLoad is the load of a version that is in progress.
type versionLoad struct {
	// done is closed when the load has ended; err is set before that.
	done chan struct{}
	err  error
}

// loadVersionOnce has the engine load a version, or waits for a load of the same
// version that is in progress. An order is repeated if the process that sent it
// is lost, and the weights must not be fetched twice from the weight store.
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

// acceptFence reports whether an order with the given fence may be followed, and
// stores the fence if so. version is the current version of the stored object of
// roll-outs.
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
