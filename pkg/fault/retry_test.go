// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fault

import (
	"testing"
	"time"
)

func TestParseRetryAfter(t *testing.T) {
	now := time.Unix(1000, 0)
	for text, want := range map[string]time.Duration{
		"3": 3 * time.Second, " 0.25 ": 250 * time.Millisecond, "1e30": MaxRetryAfter,
		"": 0, "0": 0, "-1": 0, "soon": 0, "NaN": 0, "Inf": 0, "-Inf": 0,
	} {
		at := time.Time{}
		if want > 0 {
			at = now.Add(want)
		}
		if got := ParseRetryAfter(text, now); !got.Equal(at) {
			t.Errorf("%q: got %v, want %v", text, got, at)
		}
	}
}
