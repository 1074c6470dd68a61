// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package tries decides whether a request is retried after a failed attempt. It performs no
// I/O and reads no clock.
package tries

import "github.com/traildrift/traildrift/pkg/fault"

// Rules hold what a request allows.
type Rules struct {
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Resumable says that another run may continue an answer that has begun. It implies
	// Repeatable.
	Resumable bool
	// MaxAttempts is the maximum number of endpoints that the request is sent to.
	MaxAttempts int
}

// State is the progress of a request.
type State struct {
	// Attempts is the number of attempts that reached an endpoint.
	Attempts int
	// AnswerBegun says that part of an answer was sent to the caller.
	AnswerBegun bool
	// Finished says that the caller no longer waits or that the answer is final.
	Finished bool
}

// Decision says whether a request is retried.
type Decision string

// The decisions.
const (
	// Stop ends the request with the failure.
	Stop Decision = "stop"
	// Free allows another attempt without charging the retry budget.
	Free Decision = "free"
	// Paid allows another attempt if the retry budget has room for it.
	Paid Decision = "paid"
)

// Next returns the decision after an attempt that failed with err. A request that may have
// run is retried only if it may run again, and one whose answer has begun only if it may be
// resumed. The retry is free if the endpoint refused the request before doing any work,
// unless it refused for lack of capacity.
func Next(r Rules, s State, err *fault.Error) Decision {
	switch {
	case s.Finished || s.AnswerBegun && !r.Resumable:
		return Stop
	case !err.Kind.Answer().RetryElsewhere || s.Attempts >= r.MaxAttempts:
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

// free reports whether a retry after err adds no work to the fleet.
func free(err *fault.Error) bool {
	return err.Run == fault.NotRun && err.Kind != fault.Overloaded && err.Kind != fault.DeadlineTooSoon
}
