// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/wire"
)

// An endpoint whose guard tells that it rests gets no new work until that is over.
func TestRestingPeerIsNotUsable(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &peer{conn: &link.Conn{}, suspectAt: now.Add(time.Hour)}
	p.setLoad(wire.Load{BackoffMs: 1500}, now)
	if p.usable(now.Add(1499 * time.Millisecond)) {
		t.Error("while it rests: got usable, want not")
	}
	if !p.usable(now.Add(1500 * time.Millisecond)) {
		t.Error("after its rest: got not usable, want usable")
	}
	p.setLoad(wire.Load{}, now)
	if !p.usable(now.Add(-time.Millisecond)) {
		t.Error("without a rest, by a clock read just before: got not usable, want usable")
	}
}
