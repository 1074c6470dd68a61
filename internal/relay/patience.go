// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"time"

	"github.com/traildrift/traildrift/pkg/config"
)

// patience is how long the callers of one route wait for an answer. It tells a
// caller's second try by what is left of its time. The zero value knows nothing.
type patience struct {
	// longest is the most that a caller was ready to wait, slowly forgotten.
	longest time.Duration
	// seen counts the requests, up to patienceEnough.
	seen int
}

const (
	// patienceEnough is how many requests show how long first tries wait. Until
	// then the route's own bound is taken for it: a router that has just started
	// meets second tries above all.
	patienceEnough = 20
	// patienceKept is the inverse of the part by which longest falls towards each
	// shorter wait.
	patienceKept = 512
)

// waited notes that a caller will wait for left more, and returns how long it has
// waited already. within is the route's bound; 0 for none.
func (p *patience) waited(left time.Duration, within config.Span) time.Duration {
	if left >= p.longest {
		p.longest = left
	} else {
		p.longest -= (p.longest - left) / patienceKept
	}
	usual := p.longest
	if p.seen < patienceEnough {
		p.seen++
		usual = max(usual, time.Duration(within))
	}
	return usual - left
}

// asked returns when the caller of a request began to wait: before its arrival if
// this is not its first try.
func (e *Engine) asked(r *Request, route *Route) time.Time {
	if r.Deadline.IsZero() {
		return r.Arrived
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := entryOf(e.patiences, route.Name)
	return r.Arrived.Add(-p.waited(r.Deadline.Sub(r.Arrived), route.Within))
}
