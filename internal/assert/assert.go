// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package assert checks invariants of the running process. A violation is logged
// and counted. After SetFatal, which tests call, it also panics.
package assert

import (
	"sync/atomic"

	"go.uber.org/zap"
)

var (
	violations atomic.Int64
	fatal      atomic.Bool
	logger     atomic.Pointer[zap.Logger]
)

// SetFatal makes every later violation panic. It is for tests, which call it before
// anything else.
func SetFatal() { fatal.Store(true) }

// SetLogger sets the logger of violations. Without one they are only counted.
func SetLogger(l *zap.Logger) { logger.Store(l) }

// Violations returns the number of violations in this process so far.
func Violations() int64 { return violations.Load() }

// That records a violation of the named invariant if ok is false, with fields in
// its log line. It returns ok.
func That(ok bool, invariant string, fields ...zap.Field) bool {
	if ok {
		return true
	}
	violations.Add(1)
	if l := logger.Load(); l != nil {
		l.Error("assert: Invariant broken.", append(fields, zap.String("invariant", invariant))...)
	}
	if fatal.Load() {
		panic("invariant broken: " + invariant)
	}
	return false
}
