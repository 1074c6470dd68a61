// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package config

import (
	"maps"
	"slices"
	"time"
)

// maxChanges is the maximum number of changes that a head lists. A writer that
// got no response to its write reads the head to find out whether its change is
// among them.
const maxChanges = 64

// Ref is the entry of a node in a head.
type Ref struct {
	// Hash is the hash of the node's stored form, which names its object.
	Hash string `json:"hash"`
	// Revision is the revision at which the node last changed.
	Revision int64 `json:"revision"`
}

// Change is one accepted change of the tree.
type Change struct {
	// ID is the ID that the author's client gave the change, Revision the
	// revision that it made.
	ID       string `json:"id"`
	Revision int64  `json:"revision"`
	// Author, At and Reason are as stated by the author.
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	Reason string    `json:"reason"`
	// Paths are the paths whose nodes changed, sorted.
	Paths []string `json:"paths"`
}

// Head is the root object of the tree: it names the current revision and its
// nodes. A change is accepted once the head that includes it is written.
type Head struct {
	// Revision is the number of accepted changes; it never decreases.
	Revision int64 `json:"revision"`
	// Nodes holds the reference of the node at each path.
	Nodes map[string]Ref `json:"nodes"`
	// Changes lists the last accepted changes, newest first.
	Changes []Change `json:"changes"`
}

// Has returns the change of the given ID and whether the head lists it.
func (h Head) Has(changeID string) (Change, bool) {
	for _, c := range h.Changes {
		if c.ID == changeID {
			return c, true
		}
	}
	return Change{}, false
}

// Next returns the head of the next revision; edits maps each path that changes
// to the hash of its new node; an empty hash removes the path. The head lists c
// as its newest change, with Revision and Paths set.
func (h Head) Next(edits map[string]string, c Change) Head {
	next := Head{Revision: h.Revision + 1, Nodes: maps.Clone(h.Nodes)}
	if next.Nodes == nil {
		next.Nodes = make(map[string]Ref)
	}
	for path, hash := range edits {
		if hash == "" {
			delete(next.Nodes, path)
			continue
		}
		next.Nodes[path] = Ref{Hash: hash, Revision: next.Revision}
	}
	c.Revision = next.Revision
	c.Paths = slices.Sorted(maps.Keys(edits))
	next.Changes = append([]Change{c}, h.Changes...)
	if len(next.Changes) > maxChanges {
		next.Changes = next.Changes[:maxChanges]
	}
	return next
}
