// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"time"

	"github.com/traildrift/traildrift/pkg/config"
)

// recentMax is the largest of the durations of the last recentSpan to twice that. The zero value has none.
type recentMax struct {
	// present is the maximum since began, before that of the recentSpan before.
	present, before time.Duration
	began           time.Time
}

const (
	// recentSpan is how long a maximum counts at least: a router of a fleet of hundreds gets a first
	// attempt of a caller every few seconds.
	recentSpan = config.Span(30 * time.Second)
	// maxElapsed is the largest fraction of a caller's usual time for which a shorter one is taken for a
	// later attempt. Callers return within a third of the time that is left to them; a much shorter time
	// is that of another sort of caller.
	maxElapsed = 0.6
	// minElapsed is the least such fraction: deadlines are sent in whole milliseconds and vary with the
	// time on the way.
	minElapsed = 0.01
)

// elapsed adds the time that a caller has left at its arrival, and returns how long ago the caller's first
// attempt was, if callers usually have the same time for that; 0 if that is unlikely.
func (m *recentMax) elapsed(arrived time.Time, left time.Duration) time.Duration {
	if arrived.After(recentSpan.After(m.began)) {
		m.before, m.present, m.began = m.present, 0, arrived
	}
	m.present = max(m.present, left)
	usual := max(m.present, m.before)
	d := usual - left
	if d > time.Duration(maxElapsed*float64(usual)) || d < time.Duration(minElapsed*float64(usual)) {
		return 0
	}
	return d
}
