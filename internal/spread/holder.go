// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package spread distributes the settings of the fleet to its processes.
//
// The settings are a tree of nodes, identified by their hashes, and a head with a revision. A few
// processes watch the head at the platform. All messages between processes carry the revision of the
// sender; a receiver with a lower one fetches the new head and the missing nodes from the sender.
// The revision in force in a process never decreases.
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

// Holder holds the settings in force in this process. It must be created with New and is safe for
// concurrent use.
type Holder struct {
	log *zap.Logger
	now func() time.Time
	// current is replaced by snapshots of higher revisions only.
	current atomic.Pointer[config.Snapshot]
	// mu is held while current is replaced.
	mu sync.Mutex
	// confirmedAt is when the platform or a peer last confirmed that the revision is the newest it
	// has; nil before the first time.
	confirmedAt atomic.Pointer[time.Time]
	// onAdvance is called after each change of current, with mu not held.
	onAdvance func(*config.Snapshot)
}

// New returns a Holder of empty settings. It calls onAdvance with each new snapshot once it is in
// force; onAdvance may be nil.
func New(log *zap.Logger, now func() time.Time, onAdvance func(*config.Snapshot)) *Holder {
	h := &Holder{log: log, now: now, onAdvance: onAdvance}
	h.current.Store(config.Empty())
	return h
}

// Current returns the settings in force.
func (h *Holder) Current() *config.Snapshot { return h.current.Load() }

// Revision returns the revision in force.
func (h *Holder) Revision() int64 { return h.Current().Head.Revision }

// Confirm records that the platform or a peer has no newer revision at present.
func (h *Holder) Confirm() {
	now := h.now()
	h.confirmedAt.Store(&now)
}

// ConfirmedAt returns when Confirm was last called; the zero time if it never was.
func (h *Holder) ConfirmedAt() time.Time {
	if t := h.confirmedAt.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Advance puts the settings of head in force if its revision is higher than the current one. bodies
// holds the nodes that the current snapshot lacks, by hash. It returns config.ErrRevision if the
// revision is not higher, and the other errors of config.Snapshot.Advance. No other function changes
// the settings in force.
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
	h.log.Info("settings: A new revision is in force.", zap.Int64("revision", head.Revision))
	if h.onAdvance != nil {
		h.onAdvance(next)
	}
	return nil
}

// Fetch reads the head of a peer and, if its revision is higher, the missing nodes, and puts these
// settings in force. If the revision is not higher, it calls Confirm. Fetch returns the error of a
// failed call or of Advance; it is no error if another goroutine has put the revision in force.
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

// maxNodesPerDelta is the number of nodes that are requested in one call; it bounds the size of the
// reply.
const maxNodesPerDelta = 64

// CatchUp fetches the settings of a peer if its revision is higher than the current one. It logs
// errors. link.Mux calls it for messages with a higher revision.
func (h *Holder) CatchUp(ctx context.Context, c *link.Conn, revision int64) {
	if revision <= h.Revision() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := h.Fetch(ctx, c); err != nil {
		h.log.Warn("settings: A newer revision could not be fetched from a peer.", zap.String("peer", c.Peer.VM), logs.Err(err))
	}
}

// fetchTimeout bounds one call of Fetch by CatchUp.
const fetchTimeout = 2 * time.Second

// Serve answers MethodDelta from the settings in force: a request without hashes with the head, any
// other with the requested nodes. Nodes that the settings lack are left out.
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
