// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"context"

	"github.com/traildrift/traildrift/internal/spread"
)

// ServiceCalls counts how often each body was really lodged, over all services.
func (f *Fleet) ServiceCalls() map[string]int {
	out := make(map[string]int)
	for _, p := range f.Services {
		for body, n := range p.Bodies() {
			out[body] += n
		}
	}
	return out
}

// EngineRuns counts how often each run was really run, over all engines.
func (f *Fleet) EngineRuns() map[string]int {
	out := make(map[string]int)
	for _, e := range f.Engines {
		for run, n := range e.Runs() {
			out[run] += n
		}
	}
	return out
}

// ModelRuns counts the runs of a model@version that were begun.
func (f *Fleet) ModelRuns(model string) int {
	n := 0
	for _, e := range f.Engines {
		n += e.ModelRuns(model)
	}
	return n
}

// Revision returns the revision that was accepted last.
func (f *Fleet) Revision() (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	head, _, err := spread.ReadHead(ctx, f.Store)
	return head.Revision, err
}

// GuardOfCall returns the guard whose service has lodged a body, or nil.
func (f *Fleet) GuardOfCall(body string) *Node {
	for _, n := range f.Guards {
		if p := f.Services[n.VM.Name]; p != nil && p.Bodies()[body] > 0 {
			return n
		}
	}
	return nil
}
