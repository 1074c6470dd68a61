// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package mirror

import (
	"context"
	"slices"
	"time"

	"github.com/traildrift/traildrift/pkg/config"
)

// Period is a period of time.
type Period struct {
	// From is not after To.
	From, To time.Time
}

// availability records when the store answered, and the outages that follow from it.
//
// A call without an answer says little about the store: the connection may have gone silent, this router may be
// cut off, or the store may reject it alone. An outage is therefore a gap of at least minOutage between answers of
// the store to any router, in which a call of this router failed, on a new connection if it got no answer.
type availability struct {
	// known is the last period through which the store is known to have answered, with gaps shorter than
	// minOutage; zero before the first answer. Its end never decreases.
	known Period
	// failedAt is the time of the last call that failed, or got no answer in time on a new connection.
	failedAt time.Time
	// outages holds the outages before known that may still matter, in order of time.
	outages []Period
}

const (
	// minOutage is the shortest outage in which entries may lapse. The store removes an entry after
	// three missed heartbeats, which are sent about once a second.
	minOutage = time.Second
	// lapseGrace is how long after an outage the entries that lapsed in it are kept, as their owners
	// may register them again.
	lapseGrace = config.Span(2 * time.Second)
	// maxAnswerTime is the longest time that the store takes to answer once it does not hold a call any more. A slow
	// store takes up to 0.4 s.
	maxAnswerTime = 500 * time.Millisecond
)

// confirm records that the store answered throughout a period. It reports whether an outage became shorter, or the known
// period now begins earlier.
func (a *availability) confirm(p Period) (changed bool) {
	before := a.known
	changed = a.shortenOutages(p)
	switch {
	case a.known.To.IsZero():
		a.known = p
	case p.From.Sub(a.known.To) >= minOutage:
		if a.failedAt.After(a.known.To) {
			a.outages = append(a.outages, Period{a.known.To, p.From})
		}
		a.known = p
	case a.known.From.Sub(p.To) < minOutage:
		a.known = Period{earlier(a.known.From, p.From), later(a.known.To, p.To)}
	}
	return changed || a.known.From.Before(before.From)
}

// shortenOutages removes a period in which the store answered from the outages, and drops what is then shorter than
// minOutage. It reports whether any outage overlapped the period.
func (a *availability) shortenOutages(p Period) (changed bool) {
	var left []Period
	for _, o := range a.outages {
		if !p.From.Before(o.To) || !p.To.After(o.From) {
			left = append(left, o)
			continue
		}
		changed = true
		for _, rest := range []Period{{o.From, p.From}, {p.To, o.To}} {
			if rest.To.Sub(rest.From) >= minOutage {
				left = append(left, rest)
			}
		}
	}
	a.outages = left
	return changed
}

// lapsesAt returns when removals that are read from the store at now take effect: at the end of the grace period of
// the last outage, or at once, for which it returns the zero time.
func (a *availability) lapsesAt(now time.Time) time.Time {
	a.outages = slices.DeleteFunc(a.outages, func(o Period) bool { return !now.Before(lapseGrace.After(o.To)) })
	if len(a.outages) == 0 {
		return time.Time{}
	}
	return lapseGrace.After(a.outages[len(a.outages)-1].To)
}

// revise returns when a removal takes effect that was to take effect at lapsesAt. It is earlier if the store is known
// to have answered when the outage is said to have ended.
func (a *availability) revise(lapsesAt, now time.Time) time.Time {
	if !lapsesAt.After(now) {
		return lapsesAt
	}
	end := lapsesAt.Add(-time.Duration(lapseGrace))
	if a.known.From.After(end.Add(-minOutage)) || a.known.To.Before(end) {
		return lapsesAt
	}
	return earlier(lapsesAt, a.lapsesAt(now))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Availability returns the last period through which the store is known to have answered this router or another one,
// with gaps shorter than minOutage; the zero Period before the first answer.
func (m *Mirror) Availability() Period {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.store.known
}

// KnownUntil returns the time up to which changes in the store are known to this router, as it or another one had
// answers until shortly before.
func (m *Mirror) KnownUntil() time.Time { return m.Availability().To.Add(minOutage) }

// RecordAnswer records that the store answered a call of this router at a time. It may have been away while it held
// the call.
func (m *Mirror) RecordAnswer(at time.Time) {
	m.RecordAvailability(Period{at, at}, at)
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.answered)
	m.answered = make(chan struct{})
}

// awaitAnswer blocks until the store answers a call of this router, but no later than the time until or until ctx is
// done.
func (m *Mirror) awaitAnswer(ctx context.Context, until time.Time) {
	m.mu.Lock()
	answered := m.answered
	m.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	select {
	case <-answered:
	case <-ctx.Done():
	}
}

// RecordNoAnswer records that a call had failed at a time, or had got no answer by then on a new connection.
func (m *Mirror) RecordNoAnswer(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store.failedAt = later(m.store.failedAt, at)
}

// RecordAvailability records at now that the store answered throughout a period, with gaps shorter than minOutage.
func (m *Mirror) RecordAvailability(p Period, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.store.confirm(p) {
		m.reviseRemovals(now)
	}
}

// LapsesAt returns when removals that are read from the store at now take effect; the zero time for at once.
func (m *Mirror) LapsesAt(now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.store.lapsesAt(now)
}

// reviseRemovals lets removals that wait for the end of a grace period take effect earlier, if there was no such
// outage. The caller holds mu.
func (m *Mirror) reviseRemovals(now time.Time) {
	for kind, c := range m.kinds {
		for name, g := range c.tombstones {
			if at := m.store.revise(g.LapsesAt, now); !g.Restored && at.Before(g.LapsesAt) {
				g.LapsesAt = at
				c.tombstones[name] = g
				m.OnChange(kind, g)
			}
		}
	}
}
