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
package mirror
