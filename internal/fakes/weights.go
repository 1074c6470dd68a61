// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fakes

import (
	"sync"

	"github.com/traildrift/traildrift/pkg/config"
)

// WeightStore is a fake of the store that engines fetch weights from. It serves a limited number
// of fetches at a time and refuses the rest.
type WeightStore struct {
	// capacity is the maximum number of concurrent fetches, fetchTime the duration of each.
	capacity  int
	fetchTime config.Span
	mu        sync.Mutex
	inFlight  int
	// maxInFlight is the highest number of concurrent fetches so far, refused the number of
	// refused ones.
	maxInFlight, refused int
}

// NewWeightStore returns an idle weight store that serves up to capacity concurrent fetches, each
// of which takes fetchTime.
func NewWeightStore(capacity int, fetchTime config.Span) *WeightStore {
	return &WeightStore{capacity: capacity, fetchTime: fetchTime}
}

// Fetch emulates fetching the weights of a version: it blocks for the duration of a fetch and
// returns true, or returns false at once if the store is at capacity.
func (w *WeightStore) Fetch(string) bool {
	w.mu.Lock()
	if w.inFlight >= w.capacity {
		w.refused++
		w.mu.Unlock()
		return false
	}
	w.inFlight++
	w.maxInFlight = max(w.maxInFlight, w.inFlight)
	w.mu.Unlock()
	sleep(w.fetchTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	return true
}

// Stats returns the highest number of concurrent fetches so far and the number of refused ones.
func (w *WeightStore) Stats() (maxInFlight, refused int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxInFlight, w.refused
}
