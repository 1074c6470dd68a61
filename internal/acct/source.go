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
	// number is its place among the sources.
	number int32
	// marks holds when configurations came in force, by the log's clock: they do so
	// at all routers within a fraction of a second.
	marks map[string]time.Time
	// attempts holds those of the request whose end has not come yet.
	attempts []line
	// ahead is by how much the clock is ahead of the others'.
	ahead time.Duration
}

// mark notes that a configuration came in force, the first time in this log.
func (s *source) mark(l *line) {
	version := fmt.Sprint(l.Version)
	if _, ok := s.marks[version]; !ok {
		s.marks[version] = l.At
	}
}

// align finds by how much each clock is ahead: the median, over the configurations, of
// how much later than at the median router one came in force. A log that shares none
// with the others counts as right.
func align(sources []*source) {
	times := make(map[string][]time.Time)
	for _, s := range sources {
		for version, at := range s.marks {
			times[version] = append(times[version], at)
		}
	}
	for _, s := range sources {
		var over []time.Duration
		for version, at := range s.marks {
			if all := times[version]; len(all) > 1 {
				over = append(over, at.Sub(medianTime(all)))
			}
		}
		if len(over) > 0 {
			slices.Sort(over)
			s.ahead = over[len(over)/2]
		}
	}
}

// medianTime returns the middle one of some times, which it sorts.
func medianTime(list []time.Time) time.Time {
	slices.SortFunc(list, time.Time.Compare)
	return list[(len(list)-1)/2]
}
