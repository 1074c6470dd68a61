// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package proc

import (
	"testing"
	"time"
)

// Guards against a stop that counts its time from when a process that stood still resumes, and is then killed before
// it has answered its callers.
func TestSignalPendingSince(t *testing.T) {
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for _, c := range []struct {
		name string
		// ran holds the times at which the process noted that it runs, from the start on.
		ran           []time.Duration
		handled, want time.Duration
	}{
		{"runs", []time.Duration{100 * time.Millisecond, 200 * time.Millisecond}, 250 * time.Millisecond, 250 * time.Millisecond},
		{"stood still, signal first", []time.Duration{100 * time.Millisecond}, time.Second, 100 * time.Millisecond},
		{"stood still, tick first", []time.Duration{100 * time.Millisecond, time.Second}, 1001 * time.Millisecond, 100 * time.Millisecond},
		{"stood still some time before", []time.Duration{100 * time.Millisecond, time.Second, 1100 * time.Millisecond}, 1200 * time.Millisecond, 1200 * time.Millisecond},
		{"short of processor time", []time.Duration{100 * time.Millisecond, 290 * time.Millisecond}, 300 * time.Millisecond, 300 * time.Millisecond},
	} {
		w := stallWatch{ranAt: start}
		for _, d := range c.ran {
			w.run(at(d))
		}
		if got := w.pendingSince(at(c.handled)).Sub(start); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
