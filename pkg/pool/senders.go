// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"time"

	"github.com/traildrift/traildrift/pkg/mixer"
)

// Senders are the processes that share an endpoint's warm-up allowance or announced limit. They do not
// coordinate: each computes from the hashes which of them may send to an endpoint, and how often. With the
// zero value this process sends nothing to a warming endpoint, and only probes to a limited one.
type Senders struct {
	// Self is the hash of this process; All holds those of all processes, without this one's if it
	// is about to stop.
	Self uint64
	All  []uint64
	// NotBefore is when this process may start to send: an earlier incarnation of it may have sent just before.
	NotBefore time.Time
}

// senders are the Senders of a book, with a generation that changes with them.
type senders struct {
	Senders
	generation uint64
}

// SetSenders replaces the processes that share the warm-up allowances and the limits.
func (b *Book) SetSenders(s Senders) {
	b.senders.Senders = s
	b.senders.generation++
}

// cachedRank is this process's rank among the senders of an endpoint, computed for a generation of
// senders.
type cachedRank struct {
	rank, n    int
	generation uint64
}

// rank returns how many processes come before this one for the endpoint, and the number of processes; n is 0
// if none are known.
func (p *Endpoint) rank() (rank, n int) {
	if at := &p.cachedRank; at.generation != p.senders.generation {
		at.generation = p.senders.generation
		at.rank, at.n = p.senders.rank(p.hash)
	}
	return p.cachedRank.rank, p.cachedRank.n
}

// rank returns how many processes come before this one for an endpoint by rendezvous hash, and the number of
// processes; n is 0 if none are known. This process counts even if it is not listed.
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

// Weight is the rendezvous weight of a process for an endpoint, both identified by their hashes: the process
// with the greatest comes first (Thaler and Ravishankar, 1998).
func Weight(endpoint, process uint64) uint64 { return mixer.Mix(endpoint ^ process) }
