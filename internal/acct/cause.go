// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package acct

import "strings"

// Cause is a component of the time to the head of a request, or why the request was not served.
// Tables print it as it is.
type Cause string

// The causes of lateness. The time of a late request is divided among them; the parts add up to
// the whole.
const (
	// EarlierRequest is the time that the caller had waited with an earlier request. Only routers
	// of earlier releases log it.
	EarlierRequest Cause = "earlierTry"
	// Router is the time in the router itself: before the first attempt and between attempts.
	Router Cause = "router"
	// Held is the time for which the router held the request until an endpoint had a place for it. It
	// is reported also for requests that were not served.
	Held Cause = "held"
	// FailedAttempt is the time of attempts without an answer that could be passed on,
	// SilenceTimeout that of attempts which the router ended as the endpoint sent nothing for too
	// long.
	FailedAttempt  Cause = "failedAttempt"
	SilenceTimeout Cause = "ownBound"
	// SmallerModel is the time of answers that were discarded for an attempt with a larger model.
	SmallerModel Cause = "smallerModel"
	// QueueWait is the time for which the router predicted that the endpoint reads other prompts
	// first, PromptRead the predicted time to read the request's own prompt, and UnpredictedWait
	// how much longer than both together the head of the delivered answer took.
	QueueWait       Cause = "behindOthers"
	PromptRead      Cause = "ownPrompt"
	UnpredictedWait Cause = "unforeseenWait"
	// Pause is a time between two reads of a stream that exceeds the route's target.
	Pause Cause = "pause"
)

// notServed returns the cause of a request that was not served, from its outcome.
func notServed(outcome string) Cause { return Cause("not served: " + outcome) }

// latenessCauses lists the causes in the order of the table's columns and of Totals.CauseMs.
var latenessCauses = []Cause{EarlierRequest, Router, Held, FailedAttempt, SilenceTimeout, SmallerModel, QueueWait, PromptRead, UnpredictedWait, Pause}

// served reports whether the cause is that of a late request and not of one that was not served.
func (c Cause) served() bool { return !strings.HasPrefix(string(c), "not served: ") }

// causeTime is the part of a request's time, in milliseconds, that has one cause.
type causeTime struct {
	cause Cause
	ms    int64
}

// divideTime divides the time to the head of a request, and the caller's wait before it, by cause. The
// attempt that passed events on gave the caller the head, whether or not its stream was moved, fell
// silent or broke off later; what follows it does not count.
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
		case a.passedEvents() || i == len(attempts)-1 && a.Outcome != outcomeSilent:
			read := min(a.ReadMs, took)
			wait := min(a.WaitMs, took-read)
			parts = append(parts, causeTime{PromptRead, read}, causeTime{QueueWait, wait}, causeTime{UnpredictedWait, took - read - wait})
			return append(parts, routerTime(left, end)...)
		case a.Outcome == outcomeSilent:
			parts = append(parts, causeTime{SilenceTimeout, took})
		default:
			parts = append(parts, causeTime{FailedAttempt, took})
		}
	}
	return append(parts, routerTime(left, end)...)
}

// headAttempt returns the attempt that gave the caller the head: the first one that passed events on, or
// the last one; nil if there are none.
func headAttempt(attempts []line) *line {
	for i := range attempts {
		if attempts[i].passedEvents() || i == len(attempts)-1 {
			return &attempts[i]
		}
	}
	return nil
}

// routerTime divides the time in the router itself into that for which it held the request and the rest.
func routerTime(ms int64, end *line) []causeTime {
	held := min(end.held(), ms)
	return []causeTime{{Held, held}, {Router, ms - held}}
}

// latenessOf returns by how much a served request was late, in milliseconds, the main cause, and
// the time by cause. It returns 0 for a request that met its targets. A stream that exceeded the
// target for pauses by more than its head exceeded that for heads has the cause Pause alone.
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

// longestPause returns the longest pause of the attempts' streams, in milliseconds, including the known
// ones between an attempt and the one that resumed its stream.
func longestPause(attempts []line) (ms int64) {
	for i := range attempts {
		ms = max(ms, attempts[i].PauseMs)
		if pause, ok := pauseAfter(attempts, i); ok {
			ms = max(ms, pause)
		}
	}
	return ms
}

// pauseAfter returns the time, in milliseconds, from the last event of an attempt to the head of the next
// one that passed events on. It is known only of attempts whose end was predicted, as others do not log
// when their last event came.
func pauseAfter(attempts []line, i int) (ms int64, ok bool) {
	a := &attempts[i]
	if a.TookMs <= 0 || !a.passedEvents() {
		return 0, false
	}
	for j := i + 1; j < len(attempts); j++ {
		if b := &attempts[j]; b.passedEvents() {
			return b.SentAt.Sub(a.SentAt).Milliseconds() + b.HeadMs - a.TookMs, true
		}
	}
	return 0, false
}
