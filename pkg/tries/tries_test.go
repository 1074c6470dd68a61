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
		want Verdict
	}{
		{"once, may have run", once, State{Made: 1}, lost, Stop},
		{"once, not sent", once, State{}, unsent, Free},
		{"once, refused as full", once, State{Made: 1}, full, Paid},
		{"safe, may have run", safe, State{Made: 1}, lost, Paid},
		{"safe, answer begun", safe, State{Made: 1, Begun: true}, lost, Stop},
		{"safe, attempts used up", safe, State{Made: 2}, lost, Stop},
		{"stream, answer begun", stream, State{Made: 1, Begun: true}, lost, Paid},
		{"caller gone", safe, State{Made: 1, Over: true}, lost, Stop},
		{"bad request", safe, State{Made: 1}, bad, Stop},
	} {
		if got := Next(c.r, c.s, c.err); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}
