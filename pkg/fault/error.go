// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fault

import (
	"errors"
	"fmt"
	"time"
)

// RunState states whether a request ran, as far as that is known.
type RunState string

// The run states. NotRun is returned on evidence only, never on a guess, and
// holds for good: the request does not run later either.
const (
	NotRun     RunState = "notRun"
	MayHaveRun RunState = "mayHaveRun"
	Ran        RunState = "ran"
)

// Error is a failure as it is returned to the caller.
type Error struct {
	// Kind is from the closed list.
	Kind Kind `json:"kind"`
	// Run states whether the request ran.
	Run RunState `json:"run"`
	// Message is one sentence for a person.
	Message string `json:"message"`
	// RetryAt is when the caller may retry; zero if a retry makes no sense.
	RetryAt time.Time `json:"retryAt,omitzero"`
	// Cause is the error behind the failure, for logs; nil if there is none. It is not returned
	// to callers, as its text may hold addresses and other internals.
	Cause error `json:"-"`
}

// Body is the JSON body of every failed response.
type Body struct {
	Error *Error `json:"error"`
}

// New returns an Error of the given kind and run state with a formatted
// message and no retry time.
func New(k Kind, run RunState, format string, args ...any) *Error {
	return &Error{Kind: k, Run: run, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAt sets RetryAt and returns e.
func (e *Error) WithRetryAt(t time.Time) *Error {
	e.RetryAt = t
	return e
}

// WithCause sets Cause and returns e.
func (e *Error) WithCause(err error) *Error {
	e.Cause = err
	return e
}

// Error returns kind, run state and message, and the text of Cause if there is one. It is
// for logs; callers get the fields of the JSON encoding.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%s): %s", e.Kind, e.Run, e.Message)
	if e.Cause != nil {
		text += " Cause: " + e.Cause.Error()
	}
	return text
}

// Is reports whether target is the kind of e, so that errors.Is matches an
// Error with the constants of the closed list.
func (e *Error) Is(target error) bool { return target == error(e.Kind) }

// From returns the Error that err wraps. A wrapped Kind becomes an Error with
// the given run state and the kind's advice as message; any other error
// becomes the Cause of an Error of kind Internal with the given run state.
func From(err error, run RunState) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	var k Kind
	if errors.As(err, &k) {
		return New(k, run, "%s", k.Answer().Advice)
	}
	return New(Internal, run, "%s", Internal.Answer().Advice).WithCause(err)
}
