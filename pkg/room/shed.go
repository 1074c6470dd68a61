// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package room

import "time"

// Sojourn estimates the time from sending a request to its answer from the last answers of a service. Load
// reports are older than a queue of an eighth of a second takes to drain, but a queue that persists shows
// in every answer. The zero value has no data.
type Sojourn struct {
	// mean is the moving average, at the time of the last answer.
	mean time.Duration
	at   time.Time
}

const (
	// sojournWeight is the weight of an answer in the average: a router of two dozen gets an answer of a
	// service each tenth of a second, and queues grow within a few tenths.
	sojournWeight = 0.3
	// sojournTTL is how long after the last answer the average holds: a full queue drains in a fraction
	// of it.
	sojournTTL = 500 * time.Millisecond
)

// Add adds an answer that came at now, d after its request was sent.
func (s *Sojourn) Add(now time.Time, d time.Duration) {
	if s.at.IsZero() || now.Sub(s.at) > sojournTTL {
		s.mean = d
	} else {
		s.mean += time.Duration(sojournWeight * float64(d-s.mean))
	}
	s.at = now
}

// Mean returns the average, or 0 if the last answer is too old.
func (s *Sojourn) Mean(now time.Time) time.Duration {
	if s.at.IsZero() || now.Sub(s.at) > sojournTTL {
		return 0
	}
	return s.mean
}

const (
	// shedFrom is the fraction of the aim from which on requests are shed, as answers vary by about a third
	// of their time and half of them take longer than the average. At shedAll, where most are late, as many
	// as maxShed are shed.
	shedFrom = 0.5
	shedAll  = 0.9
	// maxShed is the largest fraction that is shed, so that answers go on to show the wait.
	maxShed = 0.9
)

// Shed reports whether a request is refused so that others are served in time, as answers of the service
// take about sojourn. draw is a random number from 0 to 1. The fraction that is shed grows with the sojourn
// time, so that routers which see the same queue do not all refuse at once. One that is late in any case
// and one that may have run are not shed.
func Shed(now time.Time, r *Request, c *Capacity, sojourn time.Duration, draw float64) bool {
	if r.MayHaveRun || r.Aim <= 0 || c.Eligible == 0 || c.Open > 0 && c.Wait <= 0 || r.Late(now) {
		return false
	}
	over := float64(sojourn)/float64(r.Aim) - shedFrom
	return draw < min(over/(shedAll-shedFrom), maxShed)
}
