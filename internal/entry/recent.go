// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"sync"

	"github.com/traildrift/traildrift/pkg/trail"
)

// recentMost bounds the records that are kept for explain.
const recentMost = 2048

// recent keeps the last trail records by request ID, in a ring.
type recent struct {
	mu   sync.Mutex
	ring []trail.Record
	// next is the place of the next record once the ring is full.
	next int
	// place finds a record in the ring.
	place map[string]int
}

func (r *recent) put(rec trail.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.place == nil {
		r.place = make(map[string]int)
	}
	if len(r.ring) < recentMost {
		r.place[rec.RequestID] = len(r.ring)
		r.ring = append(r.ring, rec)
		return
	}
	delete(r.place, r.ring[r.next].RequestID)
	r.ring[r.next] = rec
	r.place[rec.RequestID] = r.next
	r.next = (r.next + 1) % recentMost
}

func (r *recent) get(requestID string) (trail.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, ok := r.place[requestID]
	if !ok {
		return trail.Record{}, false
	}
	return r.ring[i], true
}
