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

// Kinds and names of the settings' objects.
const (
	KindHead = "settings"
	NameHead = "head"
	KindNode = "settingsNode"
)

// watchTimeout is how long one watch waits; a waiting watch counts as a call. A
// watch that ends without a change is not believed: the head is read once more,
// so that a watch that missed a change costs this long and no longer.
const watchTimeout = 4 * time.Second

// retryDelay is how long the watcher waits after the platform failed.
const retryDelay = config.Span(500 * time.Millisecond)

// staleHeadDelay is how long the watcher waits after news that was not new.
const staleHeadDelay = config.Span(100 * time.Millisecond)

// ReadHead returns the head as the platform has it, with its object version;
// the zero head with version 0 if there is none yet.
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

// ReadNodes returns the named nodes from the platform, by hash.
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

// Watch follows the head at the platform until ctx is done. watching says
// whether this process is one of the few that watch; it is asked before each
// wait.
func (h *Holder) Watch(ctx context.Context, c *store.Client, watching func() bool) error {
	version := int64(0)
	for ctx.Err() == nil {
		if !watching() {
			tasks.Pause(ctx, retryDelay.After(time.Now()))
			continue
		}
		next, err := h.watchOnce(ctx, c, version)
		if err != nil && ctx.Err() == nil {
			h.log.Warn("settings: The platform does not answer.", logs.Err(err))
			tasks.Pause(ctx, retryDelay.After(time.Now()))
			continue
		}
		version = next
	}
	return nil
}

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
		// Our own revision, heard of elsewhere before, or a watch that goes
		// back in time: not to be taken, and not to be spun on.
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
