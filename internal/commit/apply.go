// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package commit changes fleet settings at the platform: nodes first, then the
// head by one conditional update, rebased by path when others were first.
package commit

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/spread"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/pkg/config"
)

// KindRevision is the kind of the objects that keep each head, by change ID.
const KindRevision = "settingsRevision"

// Edit is a change that an operator wants.
type Edit struct {
	// ID names the change; a repeat with the same ID is not applied twice.
	ID string
	// Author and Reason go into the history.
	Author, Reason string
	// At is when the change was asked for.
	At time.Time
	// Base is the revision that the operator started from; negative for the
	// newest.
	Base int64
	// Nodes is the whole tree that the operator wants, by path.
	Nodes map[string]config.Node
}

// Overlap says that somebody else changed the same paths.
type Overlap struct {
	Paths []string
	// Changes are the other operators' changes of those paths.
	Changes []config.Change
}

// Error names the paths and who changed them.
func (o *Overlap) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the same paths were changed by others: %s", strings.Join(names(o.Paths), ", "))
	for _, c := range o.Changes {
		fmt.Fprintf(&b, "\n  revision %d by %s at %s: %s", c.Revision, c.Author, c.At.Format(time.RFC3339), c.Reason)
	}
	return b.String()
}

func names(paths []string) []string {
	out := make([]string, len(paths))
	for i, p := range paths {
		out[i] = config.PathName(p)
	}
	return out
}

// ErrNoChange says that an edit changes nothing.
var ErrNoChange = errors.New("nothing differs from the revision you started from")

// triesMost bounds how often a raced or lost write is tried again.
const triesMost = 20

// Apply moves the head to a revision with the edit and returns the change. It
// returns the old change if one with the same ID was accepted before, an
// *Overlap if somebody changed the same paths since Base, and config.Problems
// if the whole would not be sound.
func Apply(ctx context.Context, c *store.Client, e Edit) (config.Change, error) {
	var last error
	for range triesMost {
		change, err := try(ctx, c, e)
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
			last = err
			continue
		}
		return change, err
	}
	return config.Change{}, last
}

func try(ctx context.Context, c *store.Client, e Edit) (config.Change, error) {
	head, version, err := spread.ReadHead(ctx, c)
	if err != nil {
		return config.Change{}, err
	}
	if done, ok := head.Has(e.ID); ok {
		return done, nil
	}
	base, err := baseOf(ctx, c, head, e.Base)
	if err != nil {
		return config.Change{}, err
	}
	edits, bodies := diffNodes(base, e.Nodes)
	if len(edits) == 0 {
		return config.Change{}, ErrNoChange
	}
	if err := overlap(base, head, edits); err != nil {
		return config.Change{}, err
	}
	next := head.Next(edits, config.Change{ID: e.ID, Author: e.Author, At: e.At, Reason: e.Reason})
	if err := write(ctx, c, next, bodies, version); err != nil {
		return config.Change{}, err
	}
	return next.Changes[0], nil
}

// baseOf returns the head that the operator started from.
func baseOf(ctx context.Context, c *store.Client, head config.Head, revision int64) (config.Head, error) {
	if revision < 0 || revision == head.Revision {
		return head, nil
	}
	return HeadAt(ctx, c, head, revision)
}

// HeadAt returns the head as it was at a revision that the history lists.
func HeadAt(ctx context.Context, c *store.Client, head config.Head, revision int64) (config.Head, error) {
	if revision == head.Revision {
		return head, nil
	}
	if revision == 0 {
		return config.Head{}, nil
	}
	for _, ch := range head.Changes {
		if ch.Revision != revision {
			continue
		}
		o, err := c.Get(ctx, KindRevision, ch.ID)
		if err != nil {
			return config.Head{}, err
		}
		var out config.Head
		return out, json.Unmarshal(o.Value, &out)
	}
	return config.Head{}, errors.Newf("revision %d is not in the history any more", revision)
}

// diffNodes returns the new hash of each path that differs from base, and the
// bodies to write.
func diffNodes(base config.Head, nodes map[string]config.Node) (edits map[string]string, bodies map[string][]byte) {
	edits = make(map[string]string)
	bodies = make(map[string][]byte)
	for path, n := range nodes {
		body, hash := n.Encode()
		if base.Nodes[path].Hash != hash {
			edits[path] = hash
			bodies[hash] = body
		}
	}
	for path := range base.Nodes {
		if _, ok := nodes[path]; !ok {
			edits[path] = ""
		}
	}
	return edits, bodies
}

// overlap returns an *Overlap if a path of edits has another node now than at
// base and not the wanted one.
func overlap(base, head config.Head, edits map[string]string) error {
	o := &Overlap{}
	for _, path := range slices.Sorted(maps.Keys(edits)) {
		now := head.Nodes[path].Hash
		if now != base.Nodes[path].Hash && now != edits[path] {
			o.Paths = append(o.Paths, path)
		}
	}
	if len(o.Paths) == 0 {
		return nil
	}
	for _, ch := range head.Changes {
		if ch.Revision > base.Revision && slices.ContainsFunc(ch.Paths, func(p string) bool { return slices.Contains(o.Paths, p) }) {
			o.Changes = append(o.Changes, ch)
		}
	}
	return o
}

// write checks the whole, writes the nodes and moves the head.
func write(ctx context.Context, c *store.Client, next config.Head, bodies map[string][]byte, version int64) error {
	all := maps.Clone(bodies)
	for _, ref := range next.Nodes {
		if _, ok := all[ref.Hash]; ok {
			continue
		}
		o, err := c.Get(ctx, spread.KindNode, ref.Hash)
		if err != nil {
			return err
		}
		all[ref.Hash] = o.Value
	}
	snap, err := config.Build(next, all)
	if err != nil {
		return err
	}
	if err := config.CheckNodes("(merged)", snap.Nodes()); err != nil {
		return err
	}
	for hash, body := range bodies {
		if err := create(ctx, c, spread.KindNode, hash, body); err != nil {
			return err
		}
	}
	text, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if err := create(ctx, c, KindRevision, next.Changes[0].ID, text); err != nil {
		return err
	}
	_, err = c.Put(ctx, spread.KindHead, spread.NameHead, version, text)
	return err
}

// create writes an object; an older try's object of the same name is replaced.
func create(ctx context.Context, c *store.Client, kind, name string, body []byte) error {
	_, err := c.Put(ctx, kind, name, 0, body)
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	o, err := c.Get(ctx, kind, name)
	if err != nil || string(o.Value) == string(body) {
		return err
	}
	_, err = c.Put(ctx, kind, name, o.Version, body)
	return err
}

// ReadTree returns the newest tree and its head.
func ReadTree(ctx context.Context, c *store.Client) (*config.Snapshot, error) {
	head, _, err := spread.ReadHead(ctx, c)
	if err != nil {
		return nil, err
	}
	return ReadSnapshot(ctx, c, head)
}

// ReadSnapshot returns the tree of a head.
func ReadSnapshot(ctx context.Context, c *store.Client, head config.Head) (*config.Snapshot, error) {
	bodies, err := spread.ReadNodes(ctx, c, config.Empty().Missing(head))
	if err != nil {
		return nil, err
	}
	return config.Build(head, bodies)
}
