// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fakes

import (
	"sync"

	"github.com/traildrift/traildrift/pkg/config"
)

// WeightStore is a stand-in for the weight store, which serves few at a time and
// refuses the rest.
type WeightStore struct {
	// capacity is how many fetches are served at a time, takes how long each is.
	capacity  int
	fetchTime config.Span
	mu        sync.Mutex
	inFlight  int
	// maxInFlight is the greatest number under way so far; refused counts refusals.
	maxInFlight, refused int
}

// NewWeightStore returns an idle weight store.
func NewWeightStore(atOnce int, takes config.Span) *WeightStore {
	return &WeightStore{capacity: atOnce, fetchTime: takes}
}

// Fetch fetches the weights of a version and reports false if it was refused.
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

// Stats returns the greatest number of fetches under way, and the refusals.
func (w *WeightStore) Stats() (maxInFlight, refused int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxInFlight, w.refused
}
