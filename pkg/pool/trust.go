// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"net/netip"
	"time"
)

// Trust is a circuit breaker for an endpoint. It is fed by the attempts of this process and by failure
// reports of peers. The zero value trusts the endpoint.
type Trust struct {
	// failureRate is an EWMA of the attempts that failed, 0 to 1.
	failing float64
	// failuresInRow counts the failures since the last success.
	row int
	// lastSuccess is when an attempt was last answered.
	okAt time.Time
	// ejectedUntil is the end of the time in which a failing endpoint gets no attempts; after it, one
	// attempt at a time.
	shutUntil time.Time
	// peerFailures holds the last failure report of each of up to maxPeerFailures peers.
	told [toldKept]telling
}

// peerFailure is a failure that another process, identified by its address, reported.
type telling struct {
	by netip.Addr
	at time.Time
}

const (
	// failureWeight is the weight of one attempt in the EWMA of failures.
	weight = 0.15
	// ejectBase is the base of the exponential backoff: n failures in a row eject an endpoint for
	// 2^n times this long, at most for maxEject.
	shutFirst = 400 * time.Millisecond
	shutMost  = 6 * time.Second
	// ejectAfterFailures is the number of failures in a row that ejects an endpoint, and ejectAboveRate
	// the failure rate that does.
	rowMost  = 2
	failMost = 0.35
	// maxHealthyRate is the failure rate from which on an endpoint gets no request that may not be
	// retried.
	soundMost = 0.2
	// maxPeerFailures bounds the peers whose failure reports are stored. ejectAfterPeers is how many
	// of them, all within peerFailureTTL, eject an endpoint: a single one may have lost its own
	// links.
	toldKept = 3
	toldMost = 2
	toldFor  = 1500 * time.Millisecond
	// successTTL is how long a success of this process outweighs the failure reports of peers.
	okHolds = 300 * time.Millisecond
)

// RecordSuccess records an attempt that was answered.
func (t *Trust) RecordSuccess(now time.Time) {
	t.failing *= 1 - weight
	t.row = 0
	t.okAt = now
}

// RecordFailure records an attempt that failed. A dead endpoint, which did not even accept a connection, is
// ejected at once. It reports whether the endpoint was in use and is now ejected.
func (t *Trust) RecordFailure(now time.Time, dead bool) bool {
	t.failing += (1 - t.failing) * weight
	t.row++
	if !dead && t.row < rowMost && t.failing < failMost {
		return false
	}
	rested := now.Before(t.shutUntil)
	t.rest(now)
	return !rested
}

// RecordPeerFailure records a failure that another process, identified by its address, reported. It reports
// whether this ejected the endpoint.
func (t *Trust) RecordPeerFailure(now time.Time, by netip.Addr) bool {
	// Reuse the slot of the reporting peer, else that of the oldest report.
	place := &t.told[0]
	for i := range t.told {
		p := &t.told[i]
		if p.by == by {
			place = p
			break
		}
		if p.at.Before(place.at) {
			place = p
		}
	}
	*place = telling{by, now}
	if t.tellers(now) < toldMost || now.Sub(t.okAt) <= okHolds || now.Before(t.shutUntil) {
		return false
	}
	t.row = max(t.row, rowMost)
	t.rest(now)
	return true
}

// reporters returns the number of peers that reported a failure within peerFailureTTL.
func (t *Trust) tellers(now time.Time) (n int) {
	for _, p := range t.told {
		if !p.at.IsZero() && now.Sub(p.at) <= toldFor {
			n++
		}
	}
	return n
}

func (t *Trust) rest(now time.Time) {
	rest := shutMost
	if t.row < 5 {
		rest = min(rest, shutFirst<<t.row)
	}
	t.shutUntil = now.Add(rest)
}

// mayTry reports whether the endpoint may get an attempt, given the number of attempts in flight; one that
// was ejected gets one attempt at a time until it answers.
func (t *Trust) open(now time.Time, sent int) bool {
	if now.Before(t.shutUntil) {
		return false
	}
	return t.row < rowMost && t.failing < failMost || sent == 0
}

// healthy reports whether the endpoint may get a request that may not be retried: there is no failure since
// its last success, neither of this process nor reported by a peer.
func (t *Trust) sound(now time.Time) bool {
	return !now.Before(t.shutUntil) && t.row == 0 && t.failing < soundMost && (t.tellers(now) == 0 || now.Sub(t.okAt) <= okHolds)
}
