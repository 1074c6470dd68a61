// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package blame

import (
	"slices"
	"time"
)

// End is the end of a life of an endpoint.
type End struct {
	// Endpoint is its hash.
	Endpoint uint64
	At       time.Time
}

// same reports whether two words of an end are of the same: an endpoint that started again
// under its ID may end again.
func (e End) same(o End) bool {
	return e.Endpoint == o.Endpoint && e.At.Sub(o.At).Abs() <= sameWithin
}

// sameWithin is how far apart word of one end may come: processes notice it within
// milliseconds, notes take up to half a second, and endpoints are back after some seconds.
const sameWithin = time.Second

// Verdict is what is held of one request.
type Verdict struct {
	Print Print
	// Round counts the changes: it is odd while the request is quarantined and even once
	// that was lifted. It only grows; of two verdicts the one of the later round holds.
	Round int
	// Until is when the request may be tried again, or for a lifted one, how long that is
	// remembered.
	Until time.Time
	// Ends are those under it, in the order in which word of them came; at most endsKept.
	// A lifted verdict has none, but where it was lifted because another request is the
	// clearer cause.
	Ends []End
}

// endsKept bounds the ends that are kept of a request. One that comes ten times a second
// ends some twenty endpoints until all processes know of it.
const endsKept = 32

// Blames reports whether the request is quarantined, as opposed to lifted.
func (v *Verdict) Blames() bool { return v.Round%2 == 1 }

const (
	// holdFirst is how long a request is quarantined at first. It doubles with each time
	// up to holdMost, so that one which comes forever ends ten endpoints in the first week,
	// and one that was blamed wrongly is served again after ten minutes.
	holdFirst = 10 * time.Minute
	holdMost  = 24 * time.Hour
	// liftedFor is how long a lifted verdict is remembered, so that late word of the blame
	// does not bring it back.
	liftedFor = 10 * time.Minute
)

// hold returns how long the verdict's round lasts.
func (v *Verdict) hold() time.Duration {
	if !v.Blames() {
		return liftedFor
	}
	return min(holdFirst<<min(v.Round/2, 16), holdMost)
}

// next returns the verdict of the next round.
func (v *Verdict) next(now time.Time) Verdict {
	n := Verdict{Print: v.Print, Round: v.Round + 1, Ends: v.Ends}
	n.Until = now.Add(n.hold())
	return n
}

// forgottenAt is when the verdict is forgotten: a while after the request may be tried again,
// within which one end under it is enough.
func (v *Verdict) forgottenAt() time.Time {
	if !v.Blames() {
		return v.Until
	}
	return v.Until.Add(v.hold())
}

// Explains reports whether the request is what ended an endpoint.
func (v *Verdict) Explains(e End) bool { return v.Blames() && contains(v.Ends, e) }

// contains reports whether an end is in a list.
func contains(list []End, e End) bool { return slices.ContainsFunc(list, e.same) }

// join appends the ends of a list that another lacks, up to endsKept, and reports whether
// there were any.
func join(list []End, more ...End) ([]End, bool) {
	was := len(list)
	for _, e := range more {
		if len(list) < endsKept && !contains(list, e) {
			list = append(slices.Clip(list), e)
		}
	}
	return list, len(list) > was
}
