// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"testing"
	"time"
)

func TestBusyIsBounded(t *testing.T) {
	var l Load
	for range 100 {
		l.Busy(t0, 300*time.Millisecond)
	}
	if got, want := l.Wait(t0), busyMost.Seconds(); got != want {
		t.Errorf("wait after much was told: got %v s, want %v", got, want)
	}
}

func TestAnswerShowsWhatIsDone(t *testing.T) {
	var l Load
	l.Busy(t0, 900*time.Millisecond)
	then := l.BusyUntil()
	l.Busy(t0, 200*time.Millisecond)
	// The head of what was sent behind 900 ms is here after 100 ms already.
	now := t0.Add(100 * time.Millisecond)
	l.Answered(now, then)
	if got, want := l.Wait(now), 0.2; got < want-1e-9 || got > want+1e-9 {
		t.Errorf("wait: got %v s, want the %v s that were told later", got, want)
	}
	l.Answered(now.Add(time.Second), then)
	if got, want := l.Wait(now), 0.2; got < want-1e-9 || got > want+1e-9 {
		t.Errorf("wait after an answer that came late: got %v s, want %v", got, want)
	}
}
