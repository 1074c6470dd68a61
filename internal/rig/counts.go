// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"context"

	"github.com/traildrift/traildrift/internal/spread"
)

// ServiceCalls returns how often the services executed a call with each request body, summed
// over all services of the fleet.
func (f *Fleet) ServiceCalls() map[string]int {
	out := make(map[string]int)
	for _, p := range f.Services {
		for body, n := range p.Bodies() {
			out[body] += n
		}
	}
	return out
}

// EngineRuns returns how often the engines executed each run, by run ID, summed over all
// engines of the fleet.
func (f *Fleet) EngineRuns() map[string]int {
	out := make(map[string]int)
	for _, e := range f.Engines {
		for run, n := range e.Runs() {
			out[run] += n
		}
	}
	return out
}

// ModelRuns returns how many runs of a model@version the engines started.
func (f *Fleet) ModelRuns(model string) int {
	n := 0
	for _, e := range f.Engines {
		n += e.ModelRuns(model)
	}
	return n
}

// Revision reads the newest revision of the settings from the store.
func (f *Fleet) Revision() (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	head, _, err := spread.ReadHead(ctx, f.Store)
	return head.Revision, err
}

// GuardOfCall returns the guard whose service executed a call with the given request body,
// or nil if none did.
func (f *Fleet) GuardOfCall(body string) *Node {
	for _, n := range f.Guards {
		if p := f.Services[n.VM.Name]; p != nil && p.Bodies()[body] > 0 {
			return n
		}
	}
	return nil
}
