// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"math"
	"slices"
	"time"

	"github.com/traildrift/traildrift/pkg/pool"
)

// homes divides the endpoints of a service among the sorts of requests: one that
// needs long prompts read by a large model holds up every run beside it, so each
// sort gets endpoints of its own, in proportion to the time it takes. mu of the
// engine guards it. Every router divides by what it sees itself, so borders
// differ a little.
type homes struct {
	// keys holds the sorts in order, work the decayed time of each at at.
	keys []string
	work []float64
	at   time.Time
}

const (
	// homeFor is the time over which work is forgotten by half.
	homeFor = 20 * time.Second
	// homeLeast is the work that a sort has at least, in seconds.
	homeLeast = 0.3
)

// add notes the time that a request of a sort took to the head.
func (h *homes) add(key string, d time.Duration, now time.Time) {
	i, ok := slices.BinarySearch(h.keys, key)
	if !ok {
		h.keys = slices.Insert(h.keys, i, key)
		h.work = slices.Insert(h.work, i, 0)
	}
	if !h.at.IsZero() {
		keep := math.Exp2(-float64(now.Sub(h.at)) / float64(homeFor))
		for j := range h.work {
			h.work[j] *= keep
		}
	}
	h.at = now
	h.work[i] += d.Seconds()
}

// of returns the part of the endpoints that a sort of requests has; all of them
// for one that was never seen.
func (h *homes) of(key string) pool.Range {
	i, ok := slices.BinarySearch(h.keys, key)
	if !ok {
		return pool.Range{}
	}
	sum, before := 0.0, 0.0
	for j, w := range h.work {
		if j == i {
			before = sum
		}
		sum += w + homeLeast
	}
	return pool.Range{From: before / sum, To: (before + h.work[i] + homeLeast) / sum}
}
