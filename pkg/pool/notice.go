// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import "time"

// Notice is what an endpoint announces about itself in the head of an answer. The zero value announces
// nothing.
type Notice struct {
	Limit LimitStatus
	// PerSecond is the limit in requests per second from all processes together, 0 or more; valid if
	// Limit is Limited.
	PerSecond float64
	// Leaving announces that the endpoint accepts no new work.
	Leaving bool
	// RestUntil is the end of the rest period in which the endpoint wants no requests from this process
	// (Retry-After); zero if it requests none.
	RestUntil time.Time
}

// announced holds what an endpoint announced and may still apply. The zero value is nothing.
type announced struct {
	// leaving is set once the endpoint announced that it accepts no new work; it is never reset.
	leaving bool
	limit   limit
	rest    rest
}

// isSet reports whether there is an announcement that may still hold.
func (s *announced) isSet() bool { return s.leaving || s.limit.active || !s.rest.until.IsZero() }

// pastAnnounced holds what one incarnation of an endpoint announced.
type pastAnnounced struct {
	startedAt time.Time
	announced
}

// setLeaving stores the endpoint's announcement that it is leaving, whatever the list has.
func (p *Endpoint) setLeaving() { p.leaving, p.announced.leaving = true, true }

// RecordLeaving stores that an endpoint which is no longer listed announced that it is leaving.
func (b *Book) RecordLeaving(e Entry) {
	putBounded(b.unlisted, e.ID, pastAnnounced{e.StartedAt, announced{leaving: true}})
}

// Changes names the stored announcements of an endpoint that a notice changed.
type Changes struct{ Limit, Leaving, Rest bool }

// RecordNotice applies a notice from an answer that came at now, to an attempt that was sent at sentAt.
func (p *Endpoint) RecordNotice(n Notice, sentAt, now time.Time) (c Changes) {
	if n.Limit == Unlimited && !sentAt.After(p.announced.limit.confirmedAt) {
		// An answer to an attempt that was sent before the limit was last stated may be older than the limit.
		n.Limit = LimitUnspecified
	}
	c = p.RecordPeerNotice(n, now)
	c.Rest = p.announced.rest.update(n.RestUntil, sentAt, now)
	return c
}

// RecordPeerNotice applies a notice that a peer relayed and that is newer than what the peer knew. It
// ignores the rest period, which holds for the peer alone.
func (p *Endpoint) RecordPeerNotice(n Notice, now time.Time) (c Changes) {
	c.Limit = p.announced.limit.apply(n, now)
	if c.Leaving = n.Leaving && !p.leaving; n.Leaving {
		p.setLeaving()
	}
	return c
}

// RecordPeerNotice applies a notice that a peer relayed for an endpoint and its incarnation, both
// identified by their hashes. A notice for an endpoint that is not listed here is kept until it is, and
// one for another incarnation than the listed one is ignored; both return nil.
func (b *Book) RecordPeerNotice(endpoint, incarnation uint64, n Notice, now time.Time) (p *Endpoint, c Changes) {
	p = b.ByHash(endpoint)
	switch {
	case p == nil:
		putBounded(b.pendingNotices, incarnation, n)
		return nil, c
	case p.Incarnation() != incarnation:
		return nil, c
	default:
		return p, p.RecordPeerNotice(n, now)
	}
}

// Notice returns the stored announcements that are meant for all processes; the rest period is not.
func (p *Endpoint) Notice() Notice {
	n := Notice{Leaving: p.announced.leaving}
	switch {
	case p.announced.limit.active:
		n.Limit, n.PerSecond = Limited, p.announced.limit.perSecond
	case !p.announced.limit.endedAt.IsZero():
		n.Limit = Unlimited
	}
	return n
}

// WithNotices returns the endpoints that have a limit or announced that they are leaving.
func (b *Book) WithNotices() (list []*Endpoint) {
	for _, p := range b.byID {
		if p.announced.limit.active || p.announced.leaving {
			list = append(list, p)
		}
	}
	return list
}
