// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package trail holds the record of one request's decisions: what explain
// prints.
package trail

import (
	"encoding/json"
	"time"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/route"
)

// Record is everything that was decided for one request.
type Record struct {
	RequestID string `json:"requestID"`
	Workspace string `json:"workspace"`
	Workload  string `json:"workload"`
	District  string `json:"district,omitempty"`
	// Entry is the VM that decided.
	Entry string `json:"entry"`
	// Revision is the settings revision of the first decision.
	Revision int64     `json:"revision"`
	Arrived  time.Time `json:"arrived"`
	Ended    time.Time `json:"ended"`
	Deadline time.Time `json:"deadline"`
	BillID   string    `json:"billID"`
	// Settings holds every effective value with its level. While it is nil,
	// Effective stands in for it, as most records are never read.
	Settings  []config.Setting  `json:"settings,omitempty"`
	Effective *config.Effective `json:"-"`
	// Steps holds each decision in order.
	Steps []Step `json:"steps"`
	// Err is how the request ended; nil for a whole answer.
	Err *fault.Error `json:"err,omitempty"`
	// Key says what became of the caller's key, in a word: claimed, joined,
	// ticket.
	Key string `json:"key,omitempty"`
	// Session says what became of the session: opened, kept, moved.
	Session string `json:"session,omitempty"`
}

// Fill sets Settings from Effective.
func (r *Record) Fill() {
	if r.Settings == nil && r.Effective != nil {
		r.Settings = r.Effective.All()
	}
}

// sameSettings names the settings that a record was decided under.
type sameSettings struct {
	revision int64
	path     string
}

func (r *Record) same() sameSettings {
	return sameSettings{r.Revision, config.Path(r.Workspace, r.Workload, r.District)}
}

// Encode returns a batch of records as JSON. Of those decided under the same
// settings only the first carries them.
func Encode(batch []Record) ([]byte, error) {
	seen := make(map[sameSettings]bool)
	out := make([]Record, len(batch))
	for i, r := range batch {
		if key := r.same(); !seen[key] {
			seen[key] = true
			r.Fill()
		}
		out[i] = r
	}
	return json.Marshal(out)
}

// Decode reads a batch and gives every record its settings.
func Decode(body []byte) ([]Record, error) {
	var out []Record
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, err
	}
	known := make(map[sameSettings][]config.Setting)
	for i := range out {
		key := out[i].same()
		if out[i].Settings != nil {
			known[key] = out[i].Settings
		}
		out[i].Settings = known[key]
	}
	return out, nil
}

// Step is one decision and what came of it.
type Step struct {
	Attempt  int       `json:"attempt"`
	At       time.Time `json:"at"`
	Revision int64     `json:"revision"`
	Model    string    `json:"model,omitempty"`
	Version  string    `json:"version,omitempty"`
	// VM is the endpoint's; empty if none was chosen.
	VM         string            `json:"vm,omitempty"`
	Candidates []route.Candidate `json:"candidates,omitempty"`
	// Err is how the attempt ended; nil for a whole answer.
	Err *fault.Error `json:"err,omitempty"`
}
