// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fault

import (
	"errors"
	"fmt"
	"time"
)

// Run says what is known about whether a request ran.
type Run string

// What can be known about whether a request ran. NotRun is said from evidence
// only and stays true once said.
const (
	NotRun     Run = "notRun"
	MayHaveRun Run = "mayHaveRun"
	Ran        Run = "ran"
)

// Error is a failure as the caller hears it.
type Error struct {
	// Kind is from the closed list.
	Kind Kind `json:"kind"`
	// Run is what is known about whether the request ran.
	Run Run `json:"run"`
	// Message is one sentence for a person.
	Message string `json:"message"`
	// RetryAt is when to come back; zero if coming back makes no sense.
	RetryAt time.Time `json:"retryAt,omitzero"`
}

// Body is the body of every answer that tells a failure.
type Body struct {
	Error *Error `json:"error"`
}

// New returns an Error of the given kind and run state with a formatted
// message.
func New(k Kind, run Run, format string, args ...any) *Error {
	return &Error{Kind: k, Run: run, Message: fmt.Sprintf(format, args...)}
}

// At sets the time to come back and returns e.
func (e *Error) At(t time.Time) *Error {
	e.RetryAt = t
	return e
}

// Error returns kind, run state and message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Kind, e.Run, e.Message)
}

// Is reports whether target is the kind of e, so that errors.Is works with
// the constants of the closed list.
func (e *Error) Is(target error) bool { return target == error(e.Kind) }

// From returns the Error inside err. Any other error becomes Internal with
// the given run state.
func From(err error, run Run) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	var k Kind
	if errors.As(err, &k) {
		return New(k, run, "%s", k.Answer().Advice)
	}
	return New(Internal, run, "%v", err)
}
