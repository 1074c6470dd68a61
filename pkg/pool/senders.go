// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"time"

	"github.com/traildrift/traildrift/pkg/mixer"
)

// Senders are the processes that share what an endpoint may get: while it warms up, or under a
// limit that it has named. They need not hear one another: who may send to an endpoint, and how
// often, follows from their hashes. The zero value lets this process send nothing to such an
// endpoint.
type Senders struct {
	// Self is this process's hash, All those of every process, this one's too unless it is
	// about to end.
	Self uint64
	All  []uint64
	// From is when this process may begin: an earlier life of it may have sent just before.
	From time.Time
}

// senders are the Senders of a book, with a number that changes with them.
type senders struct {
	Senders
	generation uint64
}

// SetSenders takes over who shares the endpoints that warm up.
func (b *Book) SetSenders(s Senders) {
	b.senders.Senders = s
	b.senders.generation++
}

// place is where this process stands among the senders of an endpoint, found for a generation of
// them.
type place struct {
	rank, n    int
	generation uint64
}

// rank returns how many processes come before this one for the endpoint, of how many there are;
// n is 0 if none are known.
func (p *Endpoint) rank() (rank, n int) {
	if at := &p.place; at.generation != p.senders.generation {
		at.generation = p.senders.generation
		at.rank, at.n = p.senders.rank(p.hash)
	}
	return p.place.rank, p.place.n
}

// rank returns how many processes come before this one for an endpoint by rendezvous hash, of
// how many there are; n is 0 if none are known. This process counts even if it is not listed.
func (s *Senders) rank(endpoint uint64) (rank, n int) {
	if len(s.All) == 0 {
		return 0, 0
	}
	own := Weight(endpoint, s.Self)
	n = 1
	for _, q := range s.All {
		if q == s.Self {
			continue
		}
		n++
		if Weight(endpoint, q) > own {
			rank++
		}
	}
	return rank, n
}

// Weight orders processes, known by their hashes, for an endpoint: the one with the greatest comes
// first (rendezvous hashing: Thaler and Ravishankar, 1998).
func Weight(endpoint, process uint64) uint64 { return mixer.Mix(endpoint ^ process) }
