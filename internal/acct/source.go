// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package acct

import (
	"fmt"
	"slices"
	"time"
)

// source is one router's log.
type source struct {
	name string
	// index is its place among the sources.
	index int32
	// configTimes holds when configurations came in force, by the log's clock: they do so
	// at all routers within a fraction of a second.
	configTimes map[string]time.Time
	// attempts holds those of the request whose end has not come yet.
	attempts []line
	// clockOffset is by how much the clock is clockOffset of the others'.
	clockOffset time.Duration
}

// recordConfig notes that a configuration came in force, the first time in this log.
func (s *source) recordConfig(l *line) {
	version := fmt.Sprint(l.Version)
	if _, ok := s.configTimes[version]; !ok {
		s.configTimes[version] = l.Time
	}
}

// alignClocks finds by how much each clock is ahead: the median, over the configurations, of
// how much later than at the median router one came in force. A log that shares none
// with the others counts as right.
func alignClocks(sources []*source) {
	times := make(map[string][]time.Time)
	for _, s := range sources {
		for version, at := range s.configTimes {
			times[version] = append(times[version], at)
		}
	}
	for _, s := range sources {
		var offsets []time.Duration
		for version, at := range s.configTimes {
			if all := times[version]; len(all) > 1 {
				offsets = append(offsets, at.Sub(medianTime(all)))
			}
		}
		if len(offsets) > 0 {
			slices.Sort(offsets)
			s.clockOffset = offsets[len(offsets)/2]
		}
	}
}

// medianTime returns the middle one of some times, which it sorts.
func medianTime(list []time.Time) time.Time {
	slices.SortFunc(list, time.Time.Compare)
	return list[(len(list)-1)/2]
}
