// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package poison

import (
	"slices"
	"time"
)

// Crash is the end of a life of an endpoint that nobody planned.
type Crash struct {
	// Endpoint is its hash.
	Endpoint uint64
	At       time.Time
}

// same reports whether two reports are of one crash: an endpoint that started again
// under its ID may crash again.
func (e Crash) same(o Crash) bool {
	return e.Endpoint == o.Endpoint && e.At.Sub(o.At).Abs() <= sameWithin
}

// sameWithin is how far apart word of one crash may come: processes notice it within
// milliseconds, notes take up to half a second, and endpoints are back after some seconds.
const sameWithin = time.Second

// Verdict is what is held of one request.
type Verdict struct {
	Fingerprint Fingerprint
	// Round counts the changes: it is odd while the request is quarantined and even once
	// that was lifted. It only grows; of two verdicts the one of the later round holds.
	Round int
	// Until is when the request may be tried again, or for a lifted one, how long that is
	// remembered.
	Until time.Time
	// Crashes are those under it, in the order in which word of them came; at most crashesKept.
	// A lifted verdict has none, but where it was lifted because another request is the
	// clearer cause.
	Crashes []Crash
}

// crashesKept bounds the crashes that are kept of a request. One that comes ten times a second
// crashes some twenty endpoints until all processes know of it.
const crashesKept = 32

// InForce reports whether the request is quarantined, as opposed to lifted.
func (v *Verdict) InForce() bool { return v.Round%2 == 1 }

const (
	// holdFirst is how long a request is quarantined at first. It doubles with each time
	// up to holdMost, so that one which comes forever crashes ten endpoints in the first week,
	// and one that was quarantined wrongly is served again after ten minutes.
	holdFirst = 10 * time.Minute
	holdMost  = 24 * time.Hour
	// liftedFor is how long a lifted verdict is remembered, so that late word of the quarantine
	// does not bring it back.
	liftedFor = 10 * time.Minute
)

// hold returns how long the verdict's round lasts.
func (v *Verdict) hold() time.Duration {
	if !v.InForce() {
		return liftedFor
	}
	return min(holdFirst<<min(v.Round/2, 16), holdMost)
}

// next returns the verdict of the next round.
func (v *Verdict) next(now time.Time) Verdict {
	n := Verdict{Fingerprint: v.Fingerprint, Round: v.Round + 1, Crashes: v.Crashes}
	n.Until = now.Add(n.hold())
	return n
}

// forgottenAt is when the verdict is forgotten: a while after the request may be tried again,
// within which one crash under it is enough.
func (v *Verdict) forgottenAt() time.Time {
	if !v.InForce() {
		return v.Until
	}
	return v.Until.Add(v.hold())
}

// Explains reports whether the request is what crashed an endpoint.
func (v *Verdict) Explains(e Crash) bool { return v.InForce() && contains(v.Crashes, e) }

// contains reports whether a crash is in a list.
func contains(list []Crash, e Crash) bool { return slices.ContainsFunc(list, e.same) }

// join appends the crashes of a list that another lacks, up to crashesKept, and reports whether
// there were any.
func join(list []Crash, more ...Crash) ([]Crash, bool) {
	was := len(list)
	for _, e := range more {
		if len(list) < crashesKept && !contains(list, e) {
			list = append(slices.Clip(list), e)
		}
	}
	return list, len(list) > was
}
