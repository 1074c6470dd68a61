// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"testing"

	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/stream"
)

// Guards against a number such as 99 that a guard of an earlier release passed on as a status, and that callers get as 200.
func TestHeadsOfEarlierGuardsAreChecked(t *testing.T) {
	for _, c := range []struct {
		status int
		sound  bool
	}{{1, false}, {99, false}, {600, false}, {999, false}, {200, true}, {404, true}, {599, true}} {
		e, b := new(Entry), stream.New(1<<10)
		key := wire.RunKey{RunID: "r", Attempt: 0}
		e.sinks.add(key, b)
		e.handleChunk(nil, wire.Chunk{Key: key, Head: &stream.Head{Status: c.status}, Data: []byte("answer")})
		end := b.Ended()
		if c.sound != (end == nil) || !c.sound && (end.Err == nil || end.Err.Run != fault.MayHaveRun) {
			t.Errorf("status %d: got the end %+v, want an error that may have run: %v", c.status, end, !c.sound)
		}
	}
}
