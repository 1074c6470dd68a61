// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package trail

import (
	"strings"
	"testing"

	"github.com/traildrift/traildrift/pkg/config"
)

// TestBatch checks that a batch includes the settings of each path once, and that
// Decode restores them for every record.
func TestBatch(t *testing.T) {
	eff := config.Empty().Effective("w", "l", "")
	var batch []Record
	for _, wl := range []string{"a", "a", "b", "a"} {
		batch = append(batch, Record{RequestID: "r", Workspace: "w", Workload: wl, Revision: 3, Effective: eff})
	}
	body, err := Encode(batch)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := strings.Count(string(body), `"settings"`), 2; got != want {
		t.Errorf("settings in the batch: got %d, want %d", got, want)
	}
	out, err := Decode(body)
	if err != nil {
		t.Fatal(err)
	}
	for i, r := range out {
		if got, want := len(r.Settings), len(config.SettingSpecs()); got != want {
			t.Errorf("record %d: got %d settings, want %d", i, got, want)
		}
	}
}
