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
	// atOnce is how many fetches are served at a time, takes how long each is.
	atOnce int
	takes  config.Span
	mu     sync.Mutex
	under  int
	// most is the greatest number under way so far; refused counts refusals.
	most, refused int
}

// NewWeightStore returns an idle weight store.
func NewWeightStore(atOnce int, takes config.Span) *WeightStore {
	return &WeightStore{atOnce: atOnce, takes: takes}
}

// Fetch fetches the weights of a version and reports false if it was refused.
func (w *WeightStore) Fetch(string) bool {
	w.mu.Lock()
	if w.under >= w.atOnce {
		w.refused++
		w.mu.Unlock()
		return false
	}
	w.under++
	w.most = max(w.most, w.under)
	w.mu.Unlock()
	pause(w.takes)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.under--
	return true
}

// Stats returns the greatest number of fetches under way, and the refusals.
func (w *WeightStore) Stats() (most, refused int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most, w.refused
}
