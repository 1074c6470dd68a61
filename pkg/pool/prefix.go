// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import "time"

// prefixTable records which endpoints hold which prompt prefixes in memory: those to which this process
// or a peer sent the prefix. The zero value is empty. It evicts by generations: prefixes are added to
// young; once that is full it becomes old, and what was in old is dropped.
type prefixTable struct {
	young, old map[uint64]*holders
}

// holders are the endpoints that were sent a prefix, in no order.
type holders [maxHolders]prefixHolder

// prefixHolder is an endpoint, by its hash, that was sent a prefix, and the time of the last send.
type prefixHolder struct {
	endpoint uint64
	at       time.Time
}

const (
	// maxHolders bounds the endpoints that are stored for one prefix; the least recently used one is
	// replaced.
	maxHolders = 4
	// maxPrefixes bounds the prefixes of one generation; 8,192 take a megabyte.
	maxPrefixes = 1 << 13
	// prefixTTL is how long after its last use an endpoint is expected to hold a prefix. Endpoints
	// evict the least recently used: the busiest endpoints of the sites read in 24 s as many
	// tokens as they have memory for.
	prefixTTL = 20 * time.Second
)

// record stores that an endpoint was sent a prefix.
func (h *prefixTable) record(prefix, endpoint uint64, at time.Time) {
	in := h.lookup(prefix)
	if in == nil {
		in = h.add(prefix)
	}
	slot := &in[0]
	for i := range in {
		q := &in[i]
		if q.endpoint == endpoint {
			slot = q
			break
		}
		if q.at.Before(slot.at) {
			slot = q
		}
	}
	*slot = prefixHolder{endpoint, at}
}

// forget removes an endpoint from the holders of a prefix.
func (h *prefixTable) forget(prefix, endpoint uint64) {
	in := h.lookup(prefix)
	if in == nil {
		return
	}
	for i := range in {
		if in[i].endpoint == endpoint {
			in[i] = prefixHolder{}
		}
	}
}

// lookup returns the holders of a prefix; nil if none are stored.
func (h *prefixTable) lookup(prefix uint64) *holders {
	if in, ok := h.young[prefix]; ok {
		return in
	}
	return h.old[prefix]
}

// add inserts a prefix without holders.
func (h *prefixTable) add(prefix uint64) *holders {
	if h.young == nil || len(h.young) >= maxPrefixes {
		h.old, h.young = h.young, make(map[uint64]*holders)
	}
	in := new(holders)
	h.young[prefix] = in
	return in
}

// RecordHolder stores that an endpoint, identified by its hash, was sent a prefix.
func (b *Book) RecordHolder(prefix, endpoint uint64, at time.Time) {
	b.prefixes.record(prefix, endpoint, at)
}

// ForgetHolder removes an endpoint from the holders of a prefix, as it does not hold the prefix after all.
func (b *Book) ForgetHolder(prefix, endpoint uint64) { b.prefixes.forget(prefix, endpoint) }
