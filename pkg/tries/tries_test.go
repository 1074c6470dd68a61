// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package tries

import (
	"testing"

	"github.com/traildrift/traildrift/pkg/fault"
)

func TestNext(t *testing.T) {
	lost := fault.New(fault.EndpointLost, fault.MayHaveRun, "lost")
	unsent := fault.New(fault.EndpointLost, fault.NotRun, "not sent")
	full := fault.New(fault.Overloaded, fault.NotRun, "full")
	bad := fault.New(fault.BadRequest, fault.NotRun, "bad")
	once, safe := Rules{MaxAttempts: 2}, Rules{Repeatable: true, MaxAttempts: 2}
	stream := Rules{Resumable: true, MaxAttempts: 2}
	for _, c := range []struct {
		name string
		r    Rules
		s    State
		err  *fault.Error
		want Decision
	}{
		{"once, may have run", once, State{Attempts: 1}, lost, Stop},
		{"once, not sent", once, State{}, unsent, Free},
		{"once, refused as full", once, State{Attempts: 1}, full, Paid},
		{"safe, may have run", safe, State{Attempts: 1}, lost, Paid},
		{"safe, answer begun", safe, State{Attempts: 1, AnswerBegun: true}, lost, Stop},
		{"safe, attempts used up", safe, State{Attempts: 2}, lost, Stop},
		{"stream, answer begun", stream, State{Attempts: 1, AnswerBegun: true}, lost, Paid},
		{"caller gone", safe, State{Attempts: 1, Finished: true}, lost, Stop},
		{"bad request", safe, State{Attempts: 1}, bad, Stop},
	} {
		if got := Next(c.r, c.s, c.err); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}
