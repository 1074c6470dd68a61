// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package config holds the fleet settings: a tree of four levels (fleet,
// workspace, workload, district) in which each level inherits the values that
// it does not override. Every effective value carries its origin, the level
// and the revision that set it.
//
// The tree is stored like a commit history: immutable nodes named by the hash
// of their content, and one Head, which names the revision and the hash of
// each node. Operators write the tree as a YAML File. A Snapshot is the tree at
// one revision with all effective values, and is what requests are decided on.
// The package does no I/O.
package config
