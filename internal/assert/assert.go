// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package assert checks invariants inside the running program. A violation is
// logged and counted; where Fatal is set, as in tests, it panics.
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

// SetFatal makes every later violation panic. Tests call it first.
func SetFatal() { fatal.Store(true) }

// SetLogger sets where violations are logged.
func SetLogger(l *zap.Logger) { logger.Store(l) }

// Violations returns how many invariants were found broken in this process.
func Violations() int64 { return violations.Load() }

// That reports a violation of the named invariant unless ok. It returns ok.
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
