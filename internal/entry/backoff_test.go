// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/wire"
)

// TestPeerInBackoffIsNotUsable checks that an endpoint whose guard reports a backoff gets
// no new runs until the backoff has ended, and that it is usable without one, also by a
// clock that was read slightly before the report.
func TestPeerInBackoffIsNotUsable(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &peer{conn: &link.Conn{}, suspectAt: now.Add(time.Hour)}
	p.setLoad(wire.Load{BackoffMs: 1500}, now)
	if p.usable(now.Add(1499 * time.Millisecond)) {
		t.Error("during the backoff: got usable, want not usable")
	}
	if !p.usable(now.Add(1500 * time.Millisecond)) {
		t.Error("at the end of the backoff: got not usable, want usable")
	}
	p.setLoad(wire.Load{}, now)
	if !p.usable(now.Add(-time.Millisecond)) {
		t.Error("without backoff, 1 ms before the report: got not usable, want usable")
	}
}
