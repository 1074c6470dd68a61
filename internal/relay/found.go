// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

// found is how often an endpoint turned out to hold a prefix that belongs to it though
// nobody was heard to have sent it there, as after this process was started. The zero
// value has seen nothing.
type found struct {
	share float64
	n     int
}

const (
	// foundFirst is the chance while little was seen: a starting fleet finds nothing,
	// one that was killed all.
	foundFirst = 0.5
	// foundWeight is how much one answer counts.
	foundWeight = 0.1
	// foundRare is the chance under which what nobody was heard to hold is taken not to
	// be held.
	foundRare = 0.15
	// foundLeast is how many times longer than the rest the whole prompt must take for
	// the time to the head to tell one from the other.
	foundLeast = 2
)

// add takes in one answer.
func (f *found) add(held bool) {
	if f.n == 0 {
		f.share, f.n = foundFirst, 1
	}
	got := 0.0
	if held {
		got = 1
	}
	f.share += foundWeight * (got - f.share)
}

// chance returns the share that was found, 0 to 1.
func (f *found) chance() float64 {
	if f.n == 0 {
		return foundFirst
	}
	return f.share
}
