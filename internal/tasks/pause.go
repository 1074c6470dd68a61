// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package tasks

import (
	"context"
	"time"
)

// Pause waits until t or until ctx is done.
func Pause(ctx context.Context, t time.Time) {
	left := time.Until(t)
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// IsDone reports whether ch is closed. Nothing may be sent on ch.
func IsDone(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}
