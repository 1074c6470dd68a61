// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package mirror keeps copies of stored objects in memory, by kind.
//
// A Follower updates the copy of one kind from the store: it lists the kind page by page and then
// watches it for changes. A process may also update a copy from a peer that has a newer one, with
// Mirror.Since at the peer and Mirror.Apply or Mirror.Replace here. The package opens no
// connections itself; a Source makes the calls to the store.
//
// The store counts its changes by a revision that covers all kinds. A copy has the revision up to
// which it includes all changes, and the time at which it was last confirmed to be current. Neither
// decreases, so that updates may arrive late, more than once and in any order.
//
// The entries of owners that cannot reach the store lapse while it is away, so that their removal
// takes effect later. A mirror records when the store answered this router and others, as a router may
// lose the store alone: only a gap in the answers to all of them is an outage of the store.
//
// A store that comes back from an older copy of itself has lost its last changes and begins a new
// epoch, which is part of each revision. Copies of an earlier epoch are replaced by a whole list, as
// changes since a revision are known within its epoch only. The changes that this list makes are
// marked as Restored: they may take back what the store has lost and its writers will write again.
package mirror
