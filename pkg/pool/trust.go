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
	failureRate float64
	// failuresInRow counts the failures since the last success.
	failuresInRow int
	// lastSuccess is when an attempt was last answered.
	lastSuccess time.Time
	// ejectedUntil is the end of the time in which a failing endpoint gets no attempts; after it, one
	// attempt at a time.
	ejectedUntil time.Time
	// silent says that the endpoint is ejected for its silence and has not been heard since.
	silent bool
	// peerFailures holds the last failure report of each of up to maxPeerFailures peers.
	peerFailures [maxPeerFailures]peerFailure
}

// peerFailure is a failure that another process, identified by its address, reported.
type peerFailure struct {
	peer netip.Addr
	at   time.Time
}

const (
	// failureWeight is the weight of one attempt in the EWMA of failures.
	failureWeight = 0.15
	// ejectBase is the base of the exponential backoff: an endpoint with n failures in a row, the
	// latest included, is ejected for 2^n times this long, at most for maxEject. The first ejection
	// takes 0.8 s if the endpoint is dead or fails often, and 1.6 s after ejectAfterFailures.
	ejectBase = 400 * time.Millisecond
	maxEject  = 6 * time.Second
	// ejectAfterFailures is the number of failures in a row that ejects an endpoint, and ejectAboveRate
	// the failure rate that does.
	ejectAfterFailures = 2
	ejectAboveRate     = 0.35
	// maxHealthyRate is the failure rate from which on an endpoint gets no request that may not be
	// retried.
	maxHealthyRate = 0.2
	// maxPeerFailures bounds the peers whose failure reports are stored. ejectAfterPeers is how many
	// of them, all within peerFailureTTL, eject an endpoint: a single one may have lost its own
	// links.
	maxPeerFailures = 3
	ejectAfterPeers = 2
	peerFailureTTL  = 1500 * time.Millisecond
	// successTTL is how long a success of this process outweighs the failure reports of peers.
	successTTL = 300 * time.Millisecond
)

// RecordSuccess records an attempt that was answered.
func (t *Trust) RecordSuccess(now time.Time) {
	t.failureRate *= 1 - failureWeight
	t.failuresInRow = 0
	t.silent = false
	t.lastSuccess = now
}

// RecordSilence records that the endpoint was found silent by joint evidence, which ejects it as failures in a
// row do. It reports whether the endpoint was in use and is now ejected.
func (t *Trust) RecordSilence(now time.Time) bool {
	wasEjected := now.Before(t.ejectedUntil)
	t.failuresInRow = max(t.failuresInRow+1, ejectAfterFailures)
	t.silent = true
	t.eject(now)
	return !wasEjected
}

// RecordHeard records that the endpoint sent something. One that was ejected for its silence is trusted again
// at once.
func (t *Trust) RecordHeard(now time.Time) {
	if !t.silent {
		return
	}
	t.silent, t.failuresInRow, t.ejectedUntil, t.lastSuccess = false, 0, time.Time{}, now
}

// RecordFailure records an attempt that failed. A dead endpoint, which did not even accept a connection, is
// ejected at once. It reports whether the endpoint was in use and is now ejected.
func (t *Trust) RecordFailure(now time.Time, dead bool) bool {
	t.failureRate += (1 - t.failureRate) * failureWeight
	t.failuresInRow++
	if !dead && t.failuresInRow < ejectAfterFailures && t.failureRate < ejectAboveRate {
		return false
	}
	wasEjected := now.Before(t.ejectedUntil)
	t.eject(now)
	return !wasEjected
}

// RecordPeerFailure records a failure that another process, identified by its address, reported. It reports
// whether this ejected the endpoint.
func (t *Trust) RecordPeerFailure(now time.Time, peer netip.Addr) bool {
	// Reuse the slot of the reporting peer, else that of the oldest report.
	slot := &t.peerFailures[0]
	for i := range t.peerFailures {
		p := &t.peerFailures[i]
		if p.peer == peer {
			slot = p
			break
		}
		if p.at.Before(slot.at) {
			slot = p
		}
	}
	*slot = peerFailure{peer, now}
	if t.reporters(now) < ejectAfterPeers || now.Sub(t.lastSuccess) <= successTTL || now.Before(t.ejectedUntil) {
		return false
	}
	t.failuresInRow = max(t.failuresInRow, ejectAfterFailures)
	t.eject(now)
	return true
}

// reporters returns the number of peers that reported a failure within peerFailureTTL.
func (t *Trust) reporters(now time.Time) (n int) {
	for _, p := range t.peerFailures {
		if !p.at.IsZero() && now.Sub(p.at) <= peerFailureTTL {
			n++
		}
	}
	return n
}

// begin begins the time of another incarnation of the endpoint. An ejection was for the last one; the failures still count,
// so that one that ends again and again gets one attempt at a time until it answers.
func (t *Trust) begin() {
	*t = Trust{failureRate: t.failureRate, failuresInRow: t.failuresInRow}
}

// LastSuccess returns when an attempt of this process was last answered; zero if none was.
func (t *Trust) LastSuccess() time.Time { return t.lastSuccess }

func (t *Trust) eject(now time.Time) {
	d := maxEject
	if t.failuresInRow < 5 {
		d = min(d, ejectBase<<t.failuresInRow)
	}
	t.ejectedUntil = now.Add(d)
}

// mayTry reports whether the endpoint may get an attempt, given the number of attempts in flight; one that
// was ejected gets one attempt at a time until it answers.
func (t *Trust) mayTry(now time.Time, inFlight int) bool {
	if now.Before(t.ejectedUntil) {
		return false
	}
	return t.failuresInRow < ejectAfterFailures && t.failureRate < ejectAboveRate || inFlight == 0
}

// settled reports whether the endpoint is neither ejected nor on trial after that.
func (t *Trust) settled(now time.Time) bool {
	return !now.Before(t.ejectedUntil) && t.failuresInRow < ejectAfterFailures && t.failureRate < ejectAboveRate
}

// healthy reports whether the endpoint may get a request that may not be retried: there is no failure since
// its last success, neither of this process nor reported by a peer.
func (t *Trust) healthy(now time.Time) bool {
	return !now.Before(t.ejectedUntil) && t.failuresInRow == 0 && t.failureRate < maxHealthyRate && (t.reporters(now) == 0 || now.Sub(t.lastSuccess) <= successTTL)
}
