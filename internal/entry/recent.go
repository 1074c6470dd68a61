// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"sync"

	"github.com/traildrift/traildrift/pkg/trail"
)

// maxRecent is the maximum number of trail records that are kept for explain.
const maxRecent = 2048

// recent is a ring buffer of the latest trail records.
type recent struct {
	mu   sync.Mutex
	ring []trail.Record
	// next is the index in ring of the next record once the ring is full.
	next int
	// index holds the index in ring of each record, by request ID.
	index map[string]int
}

func (r *recent) put(rec trail.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.index == nil {
		r.index = make(map[string]int)
	}
	if len(r.ring) < maxRecent {
		r.index[rec.RequestID] = len(r.ring)
		r.ring = append(r.ring, rec)
		return
	}
	delete(r.index, r.ring[r.next].RequestID)
	r.ring[r.next] = rec
	r.index[rec.RequestID] = r.next
	r.next = (r.next + 1) % maxRecent
}

func (r *recent) get(requestID string) (trail.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, ok := r.index[requestID]
	if !ok {
		return trail.Record{}, false
	}
	return r.ring[i], true
}
