// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package config

import (
	"maps"
	"slices"
	"time"
)

// historyKept is how many changes a head lists, so that a lost answer of a
// write is settled by reading the head.
const historyKept = 64

// Ref names a node as the head has it.
type Ref struct {
	// Hash names the node object.
	Hash string `json:"hash"`
	// Revision is the one at which the node last changed.
	Revision int64 `json:"revision"`
}

// Change is one accepted change.
type Change struct {
	ID       string    `json:"id"`
	Revision int64     `json:"revision"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Reason   string    `json:"reason"`
	Paths    []string  `json:"paths"`
}

// Head names the revision in force and its nodes. A change is accepted once
// the head has moved.
type Head struct {
	// Revision counts the accepted changes; it never goes back.
	Revision int64 `json:"revision"`
	// Nodes holds the node of each path.
	Nodes map[string]Ref `json:"nodes"`
	// Changes lists the last changes, newest first.
	Changes []Change `json:"changes"`
}

// Has reports whether the change of the given ID is listed.
func (h Head) Has(changeID string) (Change, bool) {
	for _, c := range h.Changes {
		if c.ID == changeID {
			return c, true
		}
	}
	return Change{}, false
}

// Next returns the head that follows h when the paths of edits get new nodes;
// an empty hash removes the path. The change gets its revision and paths.
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
	if len(next.Changes) > historyKept {
		next.Changes = next.Changes[:historyKept]
	}
	return next
}
