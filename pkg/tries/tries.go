// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package tries decides what follows a failed attempt at serving a request. It
// is pure.
package tries

import "github.com/traildrift/traildrift/pkg/fault"

// Rules are what a request allows.
type Rules struct {
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Resumable says that an answer that was begun may be continued by
	// another run; it implies Repeatable.
	Resumable bool
	// MaxAttempts bounds the endpoints that the request is sent to.
	MaxAttempts int
}

// State is how far a request has come.
type State struct {
	// Made counts the attempts that reached an endpoint.
	Made int
	// Begun says that the caller holds part of an answer.
	Begun bool
	// Over says that nobody waits any more or that the answer is final.
	Over bool
}

// Verdict says what follows a failed attempt.
type Verdict string

// The verdicts.
const (
	// Stop ends the request with the failure.
	Stop Verdict = "stop"
	// Free allows another attempt that costs the fleet nothing.
	Free Verdict = "free"
	// Paid allows another attempt if the retry budget pays for it.
	Paid Verdict = "paid"
)

// Next returns what follows an attempt that failed with err. A request that may
// have run goes on only if it may run again, and one whose answer was begun only
// if it may be resumed. A refusal before any work is free, unless it was for
// want of room.
func Next(r Rules, s State, err *fault.Error) Verdict {
	switch {
	case s.Over || s.Begun && !r.Resumable:
		return Stop
	case !err.Kind.Answer().RetryElsewhere || s.Made >= r.MaxAttempts:
		return Stop
	case err.Run != fault.NotRun && !r.mayRepeat():
		return Stop
	case free(err):
		return Free
	default:
		return Paid
	}
}

func (r Rules) mayRepeat() bool { return r.Repeatable || r.Resumable }

// free reports whether another attempt after err costs the fleet nothing.
func free(err *fault.Error) bool {
	return err.Run == fault.NotRun && err.Kind != fault.Overloaded && err.Kind != fault.DeadlineTooSoon
}
