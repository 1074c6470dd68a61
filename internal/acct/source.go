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
	// index is the position in Account.sources.
	index int32
	// configTimes holds when each version of the configuration first came in force, by the log's
	// clock. A version comes in force at all routers within a fraction of a second, so these times
	// show how far the clocks differ.
	configTimes map[string]time.Time
	// attempts holds the attempts of requests whose end has not been read yet, by request. It has
	// at most maxOpenRequests requests.
	attempts map[string][]line
	// clockOffset is by how much the clock is ahead of the common clock. alignClocks sets it.
	clockOffset time.Duration
}

// maxOpenRequests is the maximum number of requests per log whose end has not been read. A router
// writes the lines of a request together, so that those of a few requests interleave. More are left
// only by a log that lacks lines of ends.
const maxOpenRequests = 4096

// addAttempt stores an attempt until the end of its request is read. Beyond maxOpenRequests it drops
// the requests stored before, whose ends are then missing.
func (s *source) addAttempt(l line) {
	if s.attempts == nil || len(s.attempts) >= maxOpenRequests && s.attempts[l.Request] == nil {
		s.attempts = make(map[string][]line)
	}
	s.attempts[l.Request] = append(s.attempts[l.Request], l)
}

// takeAttempts removes and returns the attempts of a request.
func (s *source) takeAttempts(request string) []line {
	list := s.attempts[request]
	delete(s.attempts, request)
	return list
}

// recordConfig records when a configuration came in force, unless the log had it before.
func (s *source) recordConfig(l *line) {
	version := fmt.Sprint(l.Version)
	if _, ok := s.configTimes[version]; !ok {
		s.configTimes[version] = l.Time
	}
}

// alignClocks sets the clock offset of each source: the median, over the configurations, of the
// time at which one came in force by this log minus the median of these times over all logs. The
// offset of a log that has no configuration in common with others stays 0.
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

// medianTime returns the lower median of a list, which it sorts in place.
func medianTime(list []time.Time) time.Time {
	slices.SortFunc(list, time.Time.Compare)
	return list[(len(list)-1)/2]
}
