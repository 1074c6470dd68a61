// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package config

import "github.com/traildrift/traildrift/pkg/fault"

// Errors of this package. ErrSpan is returned by Span.UnmarshalText, ErrRevision
// by Snapshot.Advance, ErrMissing by Build, and ErrCorrupt by DecodeNode and
// Build.
const (
	ErrSpan     fault.Const = "a length of time such as 30s, 1.5h or 200ms is allowed"
	ErrRevision fault.Const = "config: the revision would go back"
	ErrMissing  fault.Const = "config: the head names a node that is not at hand"
	ErrCorrupt  fault.Const = "config: a node does not match its hash"
)
