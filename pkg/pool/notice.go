// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import "time"

// Notice is what an endpoint says of itself in the head of an answer. The zero value says
// nothing.
type Notice struct {
	Limit LimitWord
	// PerSecond is the requests a second that the endpoint takes from all processes
	// together, 0 or more; it counts if Limit is Limited.
	PerSecond float64
	// Leaving says that it takes no new work any more.
	Leaving bool
	// RestUntil is until when it wants nothing from this process; zero if it does not say.
	RestUntil time.Time
}

// Changes tells which of what is known of an endpoint a notice has changed.
type Changes struct{ Limit, Leaving, Rest bool }

// Notes takes in what the endpoint says in an answer that came at now, to an attempt that was
// sent at sentAt.
func (p *Endpoint) Notes(n Notice, sentAt, now time.Time) (c Changes) {
	c.Limit = p.notesLimit(n, sentAt, now)
	if c.Leaving = n.Leaving && !p.leaving; n.Leaving {
		p.saysLeaving()
	}
	c.Rest = p.rest.note(n.RestUntil, sentAt, now)
	return c
}
