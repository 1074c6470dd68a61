// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package acct

import "strings"

// Cause says where the time of a request went, or why it was not served.
type Cause string

// The causes of lateness. One request's time is divided among them without a rest.
const (
	// EarlierRequest is the time that the caller had waited with an earlier request, which
	// routers of earlier releases tell.
	EarlierRequest Cause = "earlierTry"
	// Router is the time in the router itself: before the first attempt and between
	// two.
	Router Cause = "router"
	// FailedAttempt is that of attempts that got no answer that could be passed on,
	// OwnBound that of those which the router ended as too silent.
	FailedAttempt  Cause = "failedAttempt"
	SilenceTimeout Cause = "ownBound"
	// SmallerModel is that of answers that were dropped for a larger model.
	SmallerModel Cause = "smallerModel"
	// QueueWait is the wait behind other prompts that the router had foretold, Reading
	// the time that it had foretold for the request's own prompt, and Unforeseen
	// what the head of the delivered answer took beyond both.
	QueueWait       Cause = "behindOthers"
	PromptRead      Cause = "ownPrompt"
	UnpredictedWait Cause = "unforeseenWait"
	// Pause is too long a time between two events.
	Pause Cause = "pause"
)

// notServed names the cause of a request that was not served.
func notServed(outcome string) Cause { return Cause("not served: " + outcome) }

// latenessCauses are the causes in the order in which they are told.
var latenessCauses = []Cause{EarlierRequest, Router, FailedAttempt, SilenceTimeout, SmallerModel, QueueWait, PromptRead, UnpredictedWait, Pause}

// served reports whether a cause is one of an answer that was given, though late.
func (c Cause) served() bool { return !strings.HasPrefix(string(c), "not served: ") }

// causeTime is a part of a request's time.
type causeTime struct {
	cause Cause
	ms    int64
}

// divideTime returns where the time to the head of a request went.
func divideTime(attempts []line, end *line) []causeTime {
	parts := []causeTime{{EarlierRequest, end.WaitedMs}}
	left := end.HeadMs
	for i := range attempts {
		a := &attempts[i]
		took := min(a.HeadMs, left)
		left -= took
		switch {
		case a.Outcome == outcomeDropped:
			parts = append(parts, causeTime{SmallerModel, took})
		case a.Outcome == outcomeSilent:
			parts = append(parts, causeTime{SilenceTimeout, took})
		case i < len(attempts)-1:
			parts = append(parts, causeTime{FailedAttempt, took})
		default:
			read := min(a.ReadMs, took)
			wait := min(a.WaitMs, took-read)
			parts = append(parts, causeTime{PromptRead, read}, causeTime{QueueWait, wait}, causeTime{UnpredictedWait, took - read - wait})
		}
	}
	return append(parts, causeTime{Router, left})
}

// latenessOf returns by how much a served request was latenessOf, in milliseconds, its main cause,
// and the parts of its time; 0 for one in time.
func latenessOf(attempts []line, end *line) (overMs int64, mainCause Cause, parts []causeTime) {
	if end.AimMs <= 0 || end.HeadMs < 0 {
		return 0, "", nil
	}
	overMs = end.WaitedMs + end.HeadMs - end.AimMs
	if pause := longestPause(attempts) - end.PauseAimMs; end.PauseAimMs > 0 && pause > 0 && pause > overMs {
		return pause, Pause, []causeTime{{Pause, pause}}
	}
	if overMs <= 0 {
		return 0, "", nil
	}
	parts = divideTime(attempts, end)
	longest := int64(-1)
	for _, p := range parts {
		if p.ms > longest {
			longest, mainCause = p.ms, p.cause
		}
	}
	return overMs, mainCause, parts
}

// longestPause returns the longestPause pause of the attempts' streams.
func longestPause(attempts []line) (ms int64) {
	for i := range attempts {
		ms = max(ms, attempts[i].PauseMs)
	}
	return ms
}
