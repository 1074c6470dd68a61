// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import "time"

// LimitWord is what an answer says of its endpoint's limit.
type LimitWord int

// The words of a limit.
const (
	// NoWord leaves what is known as it is.
	NoWord LimitWord = iota
	// Limited names a limit.
	Limited
	// Unlimited says that there is none.
	Unlimited
)

// Notice is what an endpoint says of itself in the head of an answer. The zero value says
// nothing.
type Notice struct {
	Limit LimitWord
	// PerSecond is the requests a second that the endpoint takes from all processes
	// together, 0 or more; it counts if Limit is Limited.
	PerSecond float64
}

// limit is what is known of an endpoint's limit. The zero value is none.
type limit struct {
	// named says that there is one, of perSecond requests a second.
	named     bool
	perSecond float64
	// saidAt is when the last word that named it came.
	saidAt time.Time
}

// Notes takes in what the endpoint says in an answer that came at now, to an attempt that was
// sent at sentAt. It reports whether that changed what is known of its limit.
func (p *Endpoint) Notes(n Notice, sentAt, now time.Time) (changed bool) {
	l := &p.limit
	switch n.Limit {
	case Limited:
		changed = !l.named || l.perSecond != n.PerSecond
		l.named, l.perSecond, l.saidAt = true, n.PerSecond, now
	case Unlimited:
		// An answer to an attempt from before that word may be older than the word.
		changed = l.named && sentAt.After(l.saidAt)
		if changed {
			*l = limit{}
		}
	}
	return changed
}

// Limit returns the requests a second that the endpoint takes from all processes together, by
// its last word; ok is false if it named no limit.
func (p *Endpoint) Limit() (perSecond float64, ok bool) { return p.limit.perSecond, p.limit.named }

// Limited returns how many endpoints have named a limit.
func (b *Book) Limited() (n int) {
	for _, p := range b.byID {
		if p.limit.named {
			n++
		}
	}
	return n
}
