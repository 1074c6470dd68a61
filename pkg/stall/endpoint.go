// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package stall

import (
	"net/netip"
	"slices"
	"time"
)

// Stream is an attempt at an endpoint. The caller sets the exported fields before Detector.Add and does
// not change them afterwards.
type Stream struct {
	// Endpoint is the hash of the endpoint's ID, Service its service.
	Endpoint uint64
	Service  string
	// Model is the model that generates the stream.
	Model string
	// Pause is the longest pause between events with which the stream is in time; 0 for unknown, which
	// counts as defaultPause.
	Pause time.Duration
	// Pace is how many times as long as usual the endpoint is expected to take; 0 or less counts as 1.
	Pace float64
	// Passive says that the pauses of this stream are no evidence of silence, as of an endpoint that warms
	// up or of an answer that is not a stream. That the endpoint sent something counts nevertheless.
	Passive bool

	// endpoint is nil while the Stream is not in a Detector.
	endpoint *endpoint
	usual    *gapQuantile
	// begun says that something was received and Passive is false.
	begun bool
	// delivering says that what was received is still being passed on, so that nothing more is read.
	delivering bool
	// waitsSince is when the process began to wait for the next event.
	waitsSince time.Time
}

// endpoint is the state of one endpoint.
type endpoint struct {
	hash    uint64
	service string
	streams []*Stream
	// heardAt is when something was last received from the endpoint; zero for never.
	heardAt time.Time
	// usedAt is when a stream or a report last changed the state.
	usedAt  time.Time
	peak    peakGap
	reports [maxReporters]report
	// informedAt is when other processes were last informed; zero for never.
	informedAt time.Time
	// overdueSince is when this process first saw its streams overdue; zero if they are not.
	overdueSince time.Time
	// silentAt is when the endpoint was found silent; zero if it is not. byOwn says that overdue streams
	// of this process were part of the evidence.
	silentAt time.Time
	byOwn    bool
}

// report is the last report of one other process, identified by its address.
type report struct {
	by netip.Addr
	at time.Time
}

// record stores a report in place of the reporter's previous one, or of the oldest.
func (e *endpoint) record(now time.Time, by netip.Addr) {
	slot := &e.reports[0]
	for i := range e.reports {
		r := &e.reports[i]
		if r.by == by {
			slot = r
			break
		}
		if r.at.Before(slot.at) {
			slot = r
		}
	}
	*slot = report{by, now}
}

// reporters returns the number of other processes that reported within reportTTL and after the endpoint
// was last heard.
func (e *endpoint) reporters(now time.Time) (n int) {
	for i := range e.reports {
		r := &e.reports[i]
		if !r.at.IsZero() && now.Sub(r.at) <= reportTTL && r.at.After(e.heardAt) {
			n++
		}
	}
	return n
}

// evidence returns the shortest pause limit and the longest usual gap of the streams that wait for their next
// event; ok is false if there are none. While an event is passed on to a slow caller, nothing is read of its
// stream.
func (e *endpoint) evidence() (pause, usual time.Duration, ok bool) {
	for _, s := range e.streams {
		if !s.begun || s.delivering {
			continue
		}
		if !ok || s.Pause < pause {
			pause = s.Pause
		}
		usual = max(usual, time.Duration(s.Pace*float64(s.usual.value())))
		ok = true
	}
	return pause, usual, ok
}

// hasBegun reports whether the endpoint has streams that have begun and whose pauses count.
func (e *endpoint) hasBegun() bool {
	return slices.ContainsFunc(e.streams, func(s *Stream) bool { return s.begun })
}

// quiet returns how long nothing was received while the process waited for events.
func (e *endpoint) quiet(now time.Time) time.Duration { return now.Sub(e.heardAt) }

// overdue reports whether all streams of this process at the endpoint pause for longer than usual.
func (e *endpoint) overdue(now time.Time) bool {
	pause, usual, ok := e.evidence()
	return ok && e.quiet(now) > threshold(pause, max(usual, e.peak.value(now)))
}

// threshold returns the pause from which on a stream is overdue, given the longest pause with which it is
// in time and the longest usual gap.
func threshold(pause, usual time.Duration) time.Duration {
	least := max(minOverdue, time.Duration(minPauseFraction*float64(pause)))
	most := max(least, time.Duration(maxPauseFraction*float64(pause)))
	return min(max(time.Duration(gapFactor*float64(usual)), least), most)
}
