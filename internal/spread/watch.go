// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package spread

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/config"
)

// Kinds and names of the objects in which the platform stores the settings.
const (
	// KindHead is the kind and NameHead the name of the object that holds the head.
	KindHead = "settings"
	NameHead = "head"
	// KindNode is the kind of the nodes; they are named by their hashes.
	KindNode = "settingsNode"
)

// watchTimeout bounds one watch of the head. The platform counts a watch as a call while it waits.
// The head is read after each watch that ended without a change, so that a change that a watch
// missed is delayed by this time at most.
const watchTimeout = 4 * time.Second

// retryDelay is the pause after a failed call, and the interval at which Watch checks whether this
// process should watch.
const retryDelay = config.Span(500 * time.Millisecond)

// staleHeadDelay is the pause after a watch that returned a head whose revision is not higher than
// the one in force.
const staleHeadDelay = config.Span(100 * time.Millisecond)

// ReadHead returns the head stored at the platform and its object version. If there is none yet, it
// returns the zero head and version 0. Other errors are those of store.Client.Get and of decoding.
func ReadHead(ctx context.Context, c *store.Client) (config.Head, int64, error) {
	var head config.Head
	o, err := c.Get(ctx, KindHead, NameHead)
	if errors.Is(err, store.ErrNotFound) {
		return head, 0, nil
	}
	if err != nil {
		return head, 0, err
	}
	return head, o.Version, json.Unmarshal(o.Value, &head)
}

// ReadNodes reads nodes from the platform, one call for each, and returns their bodies by hash. It
// returns the first error of store.Client.Get.
func ReadNodes(ctx context.Context, c *store.Client, hashes []string) (map[string][]byte, error) {
	bodies := make(map[string][]byte, len(hashes))
	for _, hash := range hashes {
		o, err := c.Get(ctx, KindNode, hash)
		if err != nil {
			return nil, err
		}
		bodies[hash] = o.Value
	}
	return bodies, nil
}

// Watch watches the head at the platform and puts each new revision in force, until ctx is done. It
// always returns nil. watching reports whether this process is currently one of the few that watch;
// it is called before each watch.
func (h *Holder) Watch(ctx context.Context, c *store.Client, watching func() bool) error {
	version := int64(0)
	for ctx.Err() == nil {
		if !watching() {
			tasks.Pause(ctx, retryDelay.After(time.Now()))
			continue
		}
		next, err := h.watchOnce(ctx, c, version)
		if err != nil && ctx.Err() == nil {
			h.log.Warn("settings: The head could not be watched at the platform.", logs.Err(err))
			tasks.Pause(ctx, retryDelay.After(time.Now()))
			continue
		}
		version = next
	}
	return nil
}

// watchOnce waits for a version of the head object other than the given one and puts its revision in
// force if it is higher. It returns the version to watch from next.
func (h *Holder) watchOnce(ctx context.Context, c *store.Client, version int64) (int64, error) {
	wait, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	o, err := c.Watch(wait, KindHead, NameHead, version)
	if errors.Is(err, store.ErrUnchanged) {
		o, err = c.Get(ctx, KindHead, NameHead)
	}
	if errors.Is(err, store.ErrNotFound) || (err == nil && o.Version == version) {
		h.Confirm()
		return version, nil
	}
	if err != nil {
		return version, err
	}
	var head config.Head
	if err := json.Unmarshal(o.Value, &head); err != nil {
		return version, err
	}
	cur := h.Current()
	if head.Revision <= cur.Head.Revision {
		// The revision was already fetched from a peer, or the watch returned an old version of the
		// head. It must not be put in force; the pause avoids a busy loop.
		tasks.Pause(ctx, staleHeadDelay.After(time.Now()))
		return o.Version, nil
	}
	bodies, err := ReadNodes(ctx, c, cur.Missing(head))
	if err != nil {
		return version, err
	}
	if err := h.Advance(head, bodies); err != nil && err != config.ErrRevision {
		return version, err
	}
	return o.Version, nil
}
