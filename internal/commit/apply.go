// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package commit writes changes of the fleet settings to the platform. It writes the
// nodes first and then replaces the head by one conditional update, which alone puts
// the change in force. If another change was accepted in between, the change is applied
// to the newest head, unless both change the same path.
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

// KindRevision is the kind of the objects that hold the head of each revision as JSON.
// The name of an object is the ID of the change that made the revision.
const KindRevision = "settingsRevision"

// Edit is a change of the settings that an operator requests.
type Edit struct {
	// ID identifies the change. An edit whose ID the head lists is not applied again.
	ID string
	// Author and Reason are stored in the history of the settings.
	Author, Reason string
	// At is the time at which the operator requested the change.
	At time.Time
	// Base is the revision that the operator edited. A negative value stands for the
	// newest one.
	Base int64
	// Nodes is the whole tree after the change, by path. Only the paths that differ
	// from Base are changed.
	Nodes map[string]config.Node
}

// Overlap is the error of an edit whose paths were changed since its base revision.
type Overlap struct {
	// Paths are the paths that both changed, sorted.
	Paths []string
	// Changes are the changes of these paths since the base revision, newest first.
	// Changes that the head no longer lists are missing.
	Changes []config.Change
}

// Error lists the paths, and of each other change the revision, author, time and reason.
func (o *Overlap) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "paths were changed by others since the base revision: %s", strings.Join(pathNames(o.Paths), ", "))
	for _, c := range o.Changes {
		fmt.Fprintf(&b, "\n  revision %d by %s at %s: %s", c.Revision, c.Author, c.At.Format(time.RFC3339), c.Reason)
	}
	return b.String()
}

func pathNames(paths []string) []string {
	out := make([]string, len(paths))
	for i, p := range paths {
		out[i] = config.PathName(p)
	}
	return out
}

// ErrNoChange reports that the nodes of an edit equal those of its base revision.
var ErrNoChange = errors.New("the edit changes nothing: its nodes equal those of the base revision")

// maxAttempts is the maximum number of attempts to apply an edit whose write lost a
// race or had an unknown outcome.
const maxAttempts = 20

// Apply writes a revision that includes the edit and returns the accepted change. If
// the head lists a change with the ID of the edit, Apply writes nothing and returns
// that change. The error is ErrNoChange, an *Overlap if a path of the edit was changed
// since Base, config.Problems if the merged tree is not valid, or an error of the
// store. store.ErrConflict and store.ErrOutcomeUnknown are returned only after maxAttempts
// attempts; the edit may be in force after store.ErrOutcomeUnknown.
func Apply(ctx context.Context, c *store.Client, e Edit) (config.Change, error) {
	var last error
	for range maxAttempts {
		change, err := applyOnce(ctx, c, e)
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
			last = err
			continue
		}
		return change, err
	}
	return config.Change{}, last
}

// applyOnce is one attempt of Apply.
func applyOnce(ctx context.Context, c *store.Client, e Edit) (config.Change, error) {
	head, version, err := spread.ReadHead(ctx, c)
	if err != nil {
		return config.Change{}, err
	}
	if applied, ok := head.Has(e.ID); ok {
		return applied, nil
	}
	base, err := readBase(ctx, c, head, e.Base)
	if err != nil {
		return config.Change{}, err
	}
	edits, bodies := diffNodes(base, e.Nodes)
	if len(edits) == 0 {
		return config.Change{}, ErrNoChange
	}
	if err := checkOverlap(base, head, edits); err != nil {
		return config.Change{}, err
	}
	next := head.Next(edits, config.Change{ID: e.ID, Author: e.Author, At: e.At, Reason: e.Reason})
	if err := writeRevision(ctx, c, next, bodies, version); err != nil {
		return config.Change{}, err
	}
	return next.Changes[0], nil
}

// readBase returns the head of the base revision of an edit; head is the newest one.
func readBase(ctx context.Context, c *store.Client, head config.Head, revision int64) (config.Head, error) {
	if revision < 0 || revision == head.Revision {
		return head, nil
	}
	return HeadAt(ctx, c, head, revision)
}

// HeadAt reads the head of an earlier revision from the platform; head is the newest
// one. The head of revision 0 is empty. Other revisions must be listed in head.Changes.
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
	return config.Head{}, errors.Newf("revision %d is not in the history of the settings", revision)
}

// diffNodes compares nodes with base. edits holds the new hash of each path that
// differs, empty for a path that nodes does not have; bodies holds the encoded new nodes
// by hash.
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

// checkOverlap returns an *Overlap if head differs from base at a path of edits. A path
// at which head already has the node of the edit does not count.
func checkOverlap(base, head config.Head, edits map[string]string) error {
	o := &Overlap{}
	for _, path := range slices.Sorted(maps.Keys(edits)) {
		current := head.Nodes[path].Hash
		if current != base.Nodes[path].Hash && current != edits[path] {
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

// writeRevision checks the merged tree of next and writes its new nodes, its revision
// object and the head, in this order. bodies holds the new nodes by hash; version is the
// object version that the head must still have. The head comes last, so that a process
// that stops in between leaves the settings in force unchanged.
func writeRevision(ctx context.Context, c *store.Client, next config.Head, bodies map[string][]byte, version int64) error {
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
		if err := createOrReplace(ctx, c, spread.KindNode, hash, body); err != nil {
			return err
		}
	}
	text, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if err := createOrReplace(ctx, c, KindRevision, next.Changes[0].ID, text); err != nil {
		return err
	}
	_, err = c.Put(ctx, spread.KindHead, spread.NameHead, version, text)
	return err
}

// createOrReplace writes an object. An object of the same name with another body, which
// an earlier attempt has left, is replaced.
func createOrReplace(ctx context.Context, c *store.Client, kind, name string, body []byte) error {
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

// ReadTree reads the newest revision of the settings from the platform.
func ReadTree(ctx context.Context, c *store.Client) (*config.Snapshot, error) {
	head, _, err := spread.ReadHead(ctx, c)
	if err != nil {
		return nil, err
	}
	return ReadSnapshot(ctx, c, head)
}

// ReadSnapshot reads the nodes of head from the platform and returns its snapshot.
func ReadSnapshot(ctx context.Context, c *store.Client, head config.Head) (*config.Snapshot, error) {
	bodies, err := spread.ReadNodes(ctx, c, config.Empty().Missing(head))
	if err != nil {
		return nil, err
	}
	return config.Build(head, bodies)
}
