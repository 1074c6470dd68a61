// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package config holds the fleet settings: a tree of four levels (fleet,
// workspace, workload, district) in which each level inherits what it does
// not override, and every effective value knows the level and the revision
// that set it.
//
// The tree is stored like a commit history: immutable nodes named by the hash
// of their content, and one head that names the revision and the nodes. The
// package does no I/O.
package config
