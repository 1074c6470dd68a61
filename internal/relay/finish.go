// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"time"

	"github.com/traildrift/traildrift/pkg/pool"
)

// unfinishedProb returns the probability, 0 to 1, that an answer of the model with index size does not end
// at endpoint p before the deadline, if its head comes after head seconds. The caller must hold the engine's mu.
func (x *run) unfinishedProb(_ int, _ *pool.Endpoint, _ float64, _ time.Time) float64 {
	return 0
}

// presentUnfinishedProb returns unfinishedProb for the answer whose head has come last.
func (x *run) presentUnfinishedProb(now time.Time) float64 {
	if len(x.tried) == 0 {
		return 0
	}
	p := x.e.book.Get(x.tried[len(x.tried)-1])
	if p == nil {
		return 0
	}
	return x.unfinishedProb(x.size, p, 0, now)
}
