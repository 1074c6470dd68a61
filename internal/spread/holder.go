// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package spread keeps a process's fleet settings in step with the fleet: few
// processes watch the platform, the rest hear of a change from any message
// and fetch what they lack from its sender.
package spread

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/assert"
	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/config"
)

// Holder holds the settings in force in this process. Use New.
type Holder struct {
	log *zap.Logger
	now func() time.Time
	// current only ever moves to a higher revision.
	current atomic.Pointer[config.Snapshot]
	// mu is held while a revision is taken over.
	mu sync.Mutex
	// confirmedAt is when the platform or a peer last confirmed the revision.
	confirmedAt atomic.Pointer[time.Time]
	// onAdvance is called after each move, with mu not held.
	onAdvance func(*config.Snapshot)
}

// New returns a holder of the empty settings. onMove may be nil.
func New(log *zap.Logger, now func() time.Time, onAdvance func(*config.Snapshot)) *Holder {
	h := &Holder{log: log, now: now, onAdvance: onAdvance}
	h.current.Store(config.Empty())
	return h
}

// Current returns the settings in force.
func (h *Holder) Current() *config.Snapshot { return h.current.Load() }

// Revision returns the revision in force.
func (h *Holder) Revision() int64 { return h.Current().Head.Revision }

// Confirm notes that the platform or a peer knows of nothing newer.
func (h *Holder) Confirm() {
	now := h.now()
	h.confirmedAt.Store(&now)
}

// ConfirmedAt returns when Heard was last called, or the zero time.
func (h *Holder) ConfirmedAt() time.Time {
	if t := h.confirmedAt.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Advance moves to head if it is newer, with bodies for the nodes that are
// not at hand. It is the one place where a revision is taken over. It returns
// config.ErrRevision if head is not newer.
func (h *Holder) Advance(head config.Head, bodies map[string][]byte) error {
	h.mu.Lock()
	old := h.Current()
	next, err := old.Advance(head, bodies)
	if err != nil {
		h.mu.Unlock()
		return err
	}
	assert.That(next.Head.Revision > old.Head.Revision, "settingsNeverRevert",
		zap.Int64("old", old.Head.Revision), zap.Int64("new", next.Head.Revision))
	h.current.Store(next)
	h.mu.Unlock()
	h.Confirm()
	h.log.Info("settings: Took over a revision.", zap.Int64("revision", head.Revision))
	if h.onAdvance != nil {
		h.onAdvance(next)
	}
	return nil
}

// Fetch catches up with a peer that has a newer revision.
func (h *Holder) Fetch(ctx context.Context, c *link.Conn) error {
	var head wire.DeltaReply
	if err := c.Call(ctx, wire.MethodDelta, wire.Delta{Stamp: wire.Stamp{}}, &head); err != nil {
		return err
	}
	cur := h.Current()
	if head.Head.Revision <= cur.Head.Revision {
		h.Confirm()
		return nil
	}
	bodies := make(map[string][]byte)
	missing := cur.Missing(head.Head)
	for len(missing) > 0 {
		n := min(len(missing), maxNodesPerDelta)
		var part wire.DeltaReply
		if err := c.Call(ctx, wire.MethodDelta, wire.Delta{Hashes: missing[:n]}, &part); err != nil {
			return err
		}
		for hash, body := range part.Bodies {
			bodies[hash] = body
		}
		missing = missing[n:]
	}
	err := h.Advance(head.Head, bodies)
	if err == config.ErrRevision {
		return nil
	}
	return err
}

// maxNodesPerDelta bounds the size of one reply.
const maxNodesPerDelta = 64

// CatchUp is what link.Mux calls for a peer with a newer revision.
func (h *Holder) CatchUp(ctx context.Context, c *link.Conn, revision int64) {
	if revision <= h.Revision() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := h.Fetch(ctx, c); err != nil {
		h.log.Warn("settings: Could not fetch from a peer.", zap.String("peer", c.Peer.VM), logs.Err(err))
	}
}

// fetchTimeout bounds one fetch from a peer.
const fetchTimeout = 2 * time.Second

// Serve answers MethodDelta from the settings in force.
func (h *Holder) Serve(_ context.Context, _ *link.Conn, p wire.Delta) (wire.DeltaReply, error) {
	cur := h.Current()
	out := wire.DeltaReply{Stamp: wire.Stamp{Revision: cur.Head.Revision}}
	if len(p.Hashes) == 0 {
		out.Head = cur.Head
		return out, nil
	}
	out.Bodies = make(map[string][]byte, len(p.Hashes))
	for _, hash := range p.Hashes {
		if body, ok := cur.Body(hash); ok {
			out.Bodies[hash] = body
		}
	}
	return out, nil
}
