// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import "time"

// ready reports whether this process may send a request to an endpoint now, by the endpoint's rest period,
// warm-up and limit.
func (p *Endpoint) ready(now time.Time) bool {
	return p.announced.rest.over(now) && p.warm(now) && p.withinLimit(now)
}

// RecordSend records that this process sends a request to an endpoint that it picked. It reports whether
// the request used up a grant of another process.
func (p *Endpoint) RecordSend(now time.Time) (granted bool) {
	p.Load.InFlight++
	p.announced.rest.recordSend(now)
	granted = p.announced.limit.recordSend(!now.Before(p.limitedUntil()), now)
	if p.Warming(now) {
		p.nextAt = now.Add(spacing / time.Duration(max(p.quota(), 1)))
	}
	return granted
}

// Unavailability is why a request found no endpoint.
type Unavailability struct {
	// Closed, Warming, Limited and Resting count the endpoints that would have served the request, by
	// what kept them from it: a closed availability zone, the allowance during warm-up, an announced
	// limit, or a requested rest period.
	Closed, Warming, Limited, Resting int
	// RetryAt is when the first of the warming, limited or resting ones may get a request again; zero
	// if there is none.
	RetryAt time.Time
}

// Unavailability returns why no endpoint was found for a request.
func (b *Book) Unavailability(now time.Time, w *Want) (l Unavailability) {
	for _, p := range b.byService[w.Service] {
		switch {
		case !p.listed(now) || w.Fit != nil && !w.Fit(p.Version) || w.Zones != nil && !w.Zones(p.Zone):
		case p.zoneState.closed:
			l.Closed++
		case !p.announced.rest.over(now):
			l.Resting++
			l.addRetryAt(p, now)
		case !p.warm(now):
			l.Warming++
			l.addRetryAt(p, now)
		case !p.withinLimit(now):
			l.Limited++
			l.addRetryAt(p, now)
		}
	}
	return l
}

// addRetryAt sets RetryAt to the time at which an endpoint may get a request again, if that is earlier.
func (l *Unavailability) addRetryAt(p *Endpoint, now time.Time) {
	at := later(p.announced.rest.until, p.capacityAt(now))
	if !p.warm(at) {
		if p.quota() == 0 {
			return
		}
		at = later(at, later(p.nextAt, p.senders.NotBefore))
	}
	if l.RetryAt.IsZero() || at.Before(l.RetryAt) {
		l.RetryAt = at
	}
}
