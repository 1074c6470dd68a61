// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import "time"

// held is what endpoints are believed to hold in memory: which prefixes they were sent,
// by this process and by others that told of it. The zero value knows nothing. Prefixes
// that were not used lately are forgotten by halves: what was noted since the last time
// young was full, and the one before.
type held struct {
	young, old map[uint64]*holders
}

// holders are the endpoints that were sent a prefix, in no order.
type holders [holdersMost]holding

// holding is an endpoint that was sent a prefix, by its hash, and when it was last.
type holding struct {
	endpoint uint64
	at       time.Time
}

const (
	// holdersMost bounds the endpoints that are remembered for one prefix: the least
	// lately used one gives way.
	holdersMost = 4
	// prefixesMost bounds the prefixes of a half; 8,192 take a megabyte.
	prefixesMost = 1 << 13
	// heldFor is how long after its last use an endpoint is believed to hold a prefix.
	// Endpoints give up what was not used for the longest: the users' busiest read as
	// many tokens as they have memory for in 24 s.
	heldFor = 20 * time.Second
)

// note remembers that an endpoint was sent a prefix.
func (h *held) note(prefix, endpoint uint64, at time.Time) {
	in := h.of(prefix)
	if in == nil {
		in = h.add(prefix)
	}
	place := &in[0]
	for i := range in {
		q := &in[i]
		if q.endpoint == endpoint {
			place = q
			break
		}
		if q.at.Before(place.at) {
			place = q
		}
	}
	*place = holding{endpoint, at}
}

// forget notes that an endpoint does not hold a prefix.
func (h *held) forget(prefix, endpoint uint64) {
	in := h.of(prefix)
	if in == nil {
		return
	}
	for i := range in {
		if in[i].endpoint == endpoint {
			in[i] = holding{}
		}
	}
}

// of returns who holds a prefix; nil if it is not known.
func (h *held) of(prefix uint64) *holders {
	if in, ok := h.young[prefix]; ok {
		return in
	}
	return h.old[prefix]
}

// add makes room for a prefix.
func (h *held) add(prefix uint64) *holders {
	if h.young == nil || len(h.young) >= prefixesMost {
		h.old, h.young = h.young, make(map[uint64]*holders)
	}
	in := new(holders)
	h.young[prefix] = in
	return in
}

// Holds notes that an endpoint, known by its hash, was sent a prefix.
func (b *Book) Holds(prefix, endpoint uint64, at time.Time) { b.held.note(prefix, endpoint, at) }

// Forgets notes that an endpoint does not hold a prefix after all.
func (b *Book) Forgets(prefix, endpoint uint64) { b.held.forget(prefix, endpoint) }
