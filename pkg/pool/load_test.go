// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"math"
	"testing"
	"time"
)

// checkWait checks the expected wait at an endpoint, to a microsecond.
func checkWait(t *testing.T, what string, l *Load, now time.Time, want float64) {
	t.Helper()
	if got := l.Wait(now); math.Abs(got-want) > 1e-6 {
		t.Errorf("%s: got %v s, want %v", what, got, want)
	}
}

func TestBusyIsBounded(t *testing.T) {
	var l Load
	for range 100 {
		l.AddPrompt(t0, 300*time.Millisecond)
	}
	checkWait(t, "wait after 30 s of prompts", &l, t0, maxBusy.Seconds())
	l.FinishPrompt(t0, t0.Add(-time.Minute))
	checkWait(t, "wait after a head that came a minute late", &l, t0, maxBusy.Seconds())
}

func TestHeadCorrectsBusyTime(t *testing.T) {
	var l Load
	then := l.AddPrompt(t0, 900*time.Millisecond)
	l.AddPrompt(t0, 200*time.Millisecond)
	// A prompt that was expected to be read after 900 ms is read after 100 ms.
	now := t0.Add(100 * time.Millisecond)
	l.FinishPrompt(now, then)
	checkWait(t, "wait after an early head", &l, now, 0.2)
	// The next prompt, behind it, is read half a second late.
	then = l.AddPrompt(now, 300*time.Millisecond)
	l.AddPrompt(now, 100*time.Millisecond)
	late := then.Add(500 * time.Millisecond)
	l.FinishPrompt(late, then)
	checkWait(t, "wait after a late head", &l, late, 0.1)
	l.AddPrompt(late, 400*time.Millisecond)
	l.CancelPrompt(400 * time.Millisecond)
	checkWait(t, "wait after a prompt was cancelled", &l, late, 0.1)
}

func TestWaitShrinksWithTime(t *testing.T) {
	var l Load
	l.AddPrompt(t0, time.Second)
	checkWait(t, "wait after 0.6 s", &l, t0.Add(600*time.Millisecond), 0.4)
	checkWait(t, "wait after 3 s", &l, t0.Add(3*time.Second), 0)
}
