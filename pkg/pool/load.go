// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import "time"

// Load estimates the load of an endpoint.
type Load struct {
	// InFlight counts this process's attempts that have not ended; 0 or more. Endpoint.RecordSend adds
	// to it, the caller subtracts.
	InFlight int
	// busyUntil is when the endpoint is expected to have read all prompts that this process sent and
	// that peers reported.
	busyUntil time.Time
	// reportedRuns is the number of runs that the endpoint last reported, at reportedAt;
	// inFlightAtReport is InFlight at that time.
	reportedRuns     int
	inFlightAtReport int
	reportedAt       time.Time
}

// loadReportTTL is how long a report takes precedence over the count of attempts in flight. A busy
// endpoint answers several times per second, and a run takes about a second.
const loadReportTTL = 2 * time.Second

// RecordReport stores a load report of the endpoint: its runs in progress and waiting.
func (l *Load) RecordReport(now time.Time, running, waiting int) {
	l.reportedRuns, l.inFlightAtReport, l.reportedAt = running+waiting, l.InFlight, now
}

// maxBusy bounds how far ahead busyUntil may lie. Reported reading times are estimates, and without
// the bound, small overestimates would add up. Callers with the longest prompts wait for 3 to 4 s.
const maxBusy = 4 * time.Second

// AddPrompt adds a prompt that takes d to read, after those that the endpoint already has. It returns
// when the prompt is expected to be read.
func (l *Load) AddPrompt(now time.Time, d time.Duration) (done time.Time) {
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(d)
	l.capBusy(now)
	return l.busyUntil
}

func (l *Load) capBusy(now time.Time) {
	if latest := now.Add(maxBusy); l.busyUntil.After(latest) {
		l.busyUntil = latest
	}
}

// FinishPrompt records that a prompt was read at now whose reading AddPrompt expected to end at expected. It
// shifts the prompts behind it by the difference.
func (l *Load) FinishPrompt(now, expected time.Time) {
	l.busyUntil = l.busyUntil.Add(now.Sub(expected))
	l.capBusy(now)
}

// CancelPrompt removes a prompt of reading time d, which will not be read.
func (l *Load) CancelPrompt(d time.Duration) { l.busyUntil = l.busyUntil.Add(-d) }

// Wait returns how long a new prompt is expected to wait until the earlier ones are read, in seconds.
func (l *Load) Wait(now time.Time) float64 {
	return max(l.busyUntil.Sub(now), 0).Seconds()
}

// Runs estimates the number of runs that the endpoint has, in progress and waiting.
func (l *Load) Runs(now time.Time) int {
	if l.reportedAt.IsZero() || now.Sub(l.reportedAt) > loadReportTTL {
		return l.InFlight
	}
	return max(l.InFlight, l.reportedRuns+l.InFlight-l.inFlightAtReport)
}
