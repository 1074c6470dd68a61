// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package trail defines the decision record of a request, which traildrift
// explain prints, and its encoding in batches.
package trail

import (
	"encoding/json"
	"time"

	"github.com/traildrift/traildrift/internal/elems"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/route"
)

// Record holds all decisions on one request. The entry writes it.
type Record struct {
	RequestID string `json:"requestID"`
	Workspace string `json:"workspace"`
	Workload  string `json:"workload"`
	District  string `json:"district,omitempty"`
	// Entry is the VM of the entry that made the decisions.
	Entry string `json:"entry"`
	// Revision is the settings revision that was in force on arrival.
	Revision int64     `json:"revision"`
	Arrived  time.Time `json:"arrived"`
	Ended    time.Time `json:"ended"`
	Deadline time.Time `json:"deadline"`
	// BillID is the ID of the request's bill.Line.
	BillID string `json:"billID"`
	// Settings holds every effective value with the level that set it.
	// FillSettings derives it from Effective, and Decode restores it. Before
	// that it is nil, as most records are never read.
	Settings  []config.Setting  `json:"settings,omitempty"`
	Effective *config.Effective `json:"-"`
	// Steps holds the decisions, in order.
	Steps []Step `json:"steps"`
	// Err is why the request failed; nil for a complete answer.
	Err *fault.Error `json:"err,omitempty"`
	// Key tells how the caller's key was handled: "claimed" by this entry,
	// "joined" and the incarnation of the entry that held it, or "ticket". It
	// is empty without a key.
	Key string `json:"key,omitempty"`
	// Session tells how the session was handled: "opened", "kept" or
	// "moved". It is empty without a session.
	Session string `json:"session,omitempty"`
}

// FillSettings sets Settings from Effective unless Settings is set already.
func (r *Record) FillSettings() {
	if r.Settings == nil && r.Effective != nil {
		r.Settings = r.Effective.All()
	}
}

// settingsKey identifies the effective settings of a record. Records with equal
// keys have equal settings.
type settingsKey struct {
	revision int64
	path     string
}

// settingsKey returns the key of the settings that were in force on arrival.
func (r *Record) settingsKey() settingsKey {
	return settingsKey{r.Revision, config.Path(r.Workspace, r.Workload, r.District)}
}

// Encode encodes a batch of records as JSON. Among records with the same settings
// only the first includes them. The records of the batch are not changed.
func Encode(batch []Record) ([]byte, error) {
	seen := make(map[settingsKey]bool)
	out := make([]Record, len(batch))
	for i, r := range batch {
		if key := r.settingsKey(); !seen[key] {
			seen[key] = true
			r.FillSettings()
		}
		out[i] = r
	}
	return json.Marshal(out)
}

// Decode decodes a batch that Encode returned and sets Settings of every record.
// Beside the records that can be decoded it returns an error that names the others.
func Decode(body []byte) ([]Record, error) {
	var list elems.List[Record]
	if err := elems.Unmarshal(body, &list); err != nil {
		return nil, err
	}
	out := list.Items
	settingsByKey := make(map[settingsKey][]config.Setting)
	for i := range out {
		key := out[i].settingsKey()
		if out[i].Settings != nil {
			settingsByKey[key] = out[i].Settings
		}
		out[i].Settings = settingsByKey[key]
	}
	return out, list.Err()
}

// Step is one decision and the outcome of the attempt that followed it.
type Step struct {
	// Attempt is the number of the step, from 1.
	Attempt int       `json:"attempt"`
	At      time.Time `json:"at"`
	// Revision is the settings revision of this decision.
	Revision int64 `json:"revision"`
	// Model and Version name the chosen model version; both are empty for a
	// service or if none was chosen.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	// VM is the VM of the chosen endpoint; empty if none was chosen.
	VM string `json:"vm,omitempty"`
	// Candidates holds every version of the allow list, with the values that
	// the decision compared and the reason for its outcome.
	Candidates []route.Candidate `json:"candidates,omitempty"`
	// Err is why the attempt failed or none was made; nil for a complete
	// answer.
	Err *fault.Error `json:"err,omitempty"`
}
