// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import "time"

// LimitStatus is what an answer states about its endpoint's limit.
type LimitStatus int

// The statuses of a limit.
const (
	// LimitUnspecified leaves the stored limit unchanged.
	LimitUnspecified LimitStatus = iota
	// Limited states a limit.
	Limited
	// Unlimited states that there is none.
	Unlimited
)

// limit is the stored limit of an endpoint. The zero value is no limit.
type limit struct {
	// active is set while there is a limit, of perSecond requests per second.
	active    bool
	perSecond float64
	// activeSince is when the limit was first stated after a time without one.
	activeSince time.Time
	// confirmedAt is when the limit was last stated, by the endpoint or by another process.
	confirmedAt time.Time
	// sentAt is when this process last sent a request from its own share, or granted one to another
	// process; it is kept without a limit too.
	sentAt time.Time
	// endedAt is when the last limit ended; zero if none did.
	endedAt time.Time
	// grantedUntil is the end of the time in which this process may send one request that a process
	// with a share granted; zero for none.
	grantedUntil time.Time
	// nextQueryAt is when another process may be asked for a grant again.
	nextQueryAt time.Time
	// reportSentAt is when this process last sent the limit to its peers.
	reportSentAt time.Time
}

const (
	// minSharers is the number of processes that share even the lowest limit, and sharersPerRequest the
	// number added for each request per second. Each process sends at even intervals, so that over any
	// time the endpoint gets what its limit allows and at most one request more from each process. An
	// endpoint may get 1.5 times its limit in 4 s, and 5 requests more: beyond the limit itself and one
	// request from each sharer, 3/2 of a second's requests and 2 remain as a margin for processes with
	// differing lists.
	minSharers        = 3
	sharersPerRequest = 0.5
	// minLimit is the lowest limit that is applied, in requests per second: one request in 4 s finds
	// out whether an endpoint with a limit of 0 accepts requests again.
	minLimit = 0.25
	// probeAfter is how long after the last statement of a limit a process without a share waits at
	// least before it sends one request to find out whether the limit still holds. probeShare is the
	// fraction of the limit that all these requests take together.
	probeAfter = 10 * time.Second
	probeShare = 1. / 8
)

// apply stores what the endpoint states about its limit. It reports whether the stored limit changed.
func (l *limit) apply(n Notice, now time.Time) (changed bool) {
	switch n.Limit {
	case Limited:
		changed = !l.active || l.perSecond != n.PerSecond
		if !l.active {
			l.activeSince = now
		}
		l.active, l.perSecond, l.confirmedAt = true, n.PerSecond, now
	case Unlimited:
		if changed = l.active; changed {
			l.active, l.perSecond, l.endedAt = false, 0, now
		}
	}
	return changed
}

// Limit returns the last stated limit, in requests per second from all processes together; ok is false
// if the endpoint has none.
func (p *Endpoint) Limit() (perSecond float64, ok bool) {
	return p.announced.limit.perSecond, p.announced.limit.active
}

// withinLimit reports whether the endpoint's limit allows this process to send a request now.
//
// The processes share a limit without coordination: messages about each request would arrive too late,
// and not at all at a process that is partitioned or has just started. Only the unused part of a share is
// lent, by the process that owns the share.
func (p *Endpoint) withinLimit(now time.Time) bool {
	return !p.announced.limit.active || !now.Before(p.limitedUntil()) || now.Before(p.announced.limit.grantedUntil)
}

// recordSend records a request that this process sends; own says that its own share allows it. Otherwise
// the request uses up a grant, if there is one. It reports whether it did.
func (l *limit) recordSend(own bool, now time.Time) (granted bool) {
	if !own && now.Before(l.grantedUntil) {
		l.grantedUntil = time.Time{}
		return true
	}
	l.sentAt = now
	return false
}

// LimitSharers returns how many of the known processes share the endpoint's limit, and whether this one
// does.
func (p *Endpoint) LimitSharers() (sharers int, self bool) {
	rank, n := p.rank()
	sharers = min(n, sharersOf(max(p.announced.limit.perSecond, minLimit)))
	return sharers, rank < sharers
}

// Grant gives another process one request out of this process's share. If it has none to give, at is when
// it will have one; else at is when the share allows the next request. A process that grants all of its
// share has nothing left for its own callers until then.
func (p *Endpoint) Grant(now time.Time) (granted bool, at time.Time) {
	at = p.limitedUntil()
	if _, self := p.LimitSharers(); !self || now.Before(at) {
		return false, at
	}
	p.announced.limit.sentAt = now
	return true, p.limitedUntil()
}

// RecordGrant stores that another process granted one request, which may be sent before until.
func (p *Endpoint) RecordGrant(until time.Time) { p.announced.limit.grantedUntil = until }

// SetNextQuery sets the time before which no process is asked for a grant again.
func (p *Endpoint) SetNextQuery(at time.Time) { p.announced.limit.nextQueryAt = at }

// LimitReportDue reports whether the limit is to be sent to the peers again, at most once per interval.
// If so, it records now as the time of sending.
func (p *Endpoint) LimitReportDue(now time.Time, interval time.Duration) bool {
	if !p.announced.limit.active || now.Before(p.announced.limit.reportSentAt.Add(interval)) {
		return false
	}
	p.announced.limit.reportSentAt = now
	return true
}

// BorrowCandidates appends to dst the endpoints that only their limits keep from taking a request, and for
// which another process may be asked for a grant.
func (b *Book) BorrowCandidates(dst []*Endpoint, now time.Time, w *Want) []*Endpoint {
	for _, p := range b.byService[w.Service] {
		if p.allowed(now, w) && p.announced.rest.over(now) && p.warm(now) && !p.withinLimit(now) && !now.Before(p.announced.limit.nextQueryAt) {
			dst = append(dst, p)
		}
	}
	return dst
}

// limitedUntil returns when the endpoint's limit allows this process its next request; zero for an
// endpoint without a limit.
func (p *Endpoint) limitedUntil() time.Time {
	l := &p.announced.limit
	if !l.active {
		return time.Time{}
	}
	perSecond := max(l.perSecond, minLimit)
	rank, n := p.rank()
	sharers, self := p.LimitSharers()
	switch {
	case self && l.sentAt.Before(l.activeSince):
		// The processes send their first requests in the order of rank, so that their shares interleave evenly.
		return later(l.activeSince.Add(sendInterval(rank+1, perSecond)), p.senders.NotBefore)
	case self:
		return later(l.sentAt.Add(sendInterval(sharers, perSecond)), p.senders.NotBefore)
	}
	// Without a share, processes probe in the order of rank: all of them may have learned of the limit
	// at the same time.
	turn := l.confirmedAt.Add(probeAfter + sendInterval(rank+1, probeShare*perSecond))
	return later(turn, l.sentAt.Add(sendInterval(n, probeShare*perSecond)))
}

// capacityAt returns when a retry may succeed under the endpoint's limit: at this process, or sooner at
// another one.
func (p *Endpoint) capacityAt(now time.Time) time.Time {
	at := p.limitedUntil()
	if room := now.Add(sendInterval(1, max(p.announced.limit.perSecond, minLimit))); p.announced.limit.active && room.Before(at) {
		return room
	}
	return at
}

// sharersOf returns how many processes share a limit, provided that there are as many.
func sharersOf(perSecond float64) int {
	return minSharers + int(min(sharersPerRequest*perSecond, maxProcesses))
}

// maxProcesses exceeds the number of processes of any deployment; it keeps the conversion to int in range.
const maxProcesses = 1 << 20

// sendInterval returns the time between the requests of each of n processes that share a limit.
func sendInterval(n int, perSecond float64) time.Duration {
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}

// Limited returns the number of endpoints with a limit.
func (b *Book) Limited() (n int) {
	for _, p := range b.byID {
		if p.announced.limit.active {
			n++
		}
	}
	return n
}
