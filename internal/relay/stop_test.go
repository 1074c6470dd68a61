// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/config"
)

// Guards against requests that wait for the end of a stop though their answer can't come, and against streams that are
// ended early though they are expected to end in time.
func TestEndLate(t *testing.T) {
	const stop = 8 * time.Second
	for _, c := range []struct {
		name  string
		route Route
		stage Stage
		// stream is the usual length of streams, and after the time since the signal.
		stream, after time.Duration
		want          bool
	}{
		{"whole answer, waits", Route{Kind: Safe}, StageSent, 0, 7 * time.Second, false},
		{"whole answer, end of the stop", Route{Kind: Safe}, StageSent, 0, stop - answerMargin, true},
		{"whole answer, queued at the end", Route{Kind: Unsafe}, StageQueued, 0, stop - answerMargin, true},
		{"body with a longer timeout", Route{Kind: Safe, Timeout: config.Span(6 * time.Second)}, StageReading, 0, 3 * time.Second, true},
		{"body with a short timeout", Route{Kind: Safe, Timeout: config.Span(time.Second)}, StageReading, 0, 3 * time.Second, false},
		{"body of a stream", Route{Kind: Stream, Resume: true}, StageReading, 0, 3 * time.Second, true},
		{"short stream, queued", Route{Kind: Stream, Resume: true}, StageQueued, time.Second, 4 * time.Second, false},
		{"long stream, queued", Route{Kind: Stream, Resume: true}, StageQueued, 6 * time.Second, 4 * time.Second, true},
		{"long stream, sent", Route{Kind: Stream, Resume: true}, StageSent, 6 * time.Second, 4 * time.Second, true},
		{"long stream, sent, not to be repeated", Route{Kind: Stream}, StageSent, 6 * time.Second, 4 * time.Second, false},
		{"long stream, while callers are still sent here", Route{Kind: Stream, Resume: true}, StageSent, 6 * time.Second, 2400 * time.Millisecond, false},
		{"stream that has begun", Route{Kind: Stream, Resume: true}, StageAnswering, 6 * time.Second, stop - time.Millisecond, false},
	} {
		e := engine(c.route, nil)
		now := time.Now()
		e.Now = func() time.Time { return now }
		if c.stream > 0 {
			e.recordStreamTime(&Route{Name: "r"}, c.stream)
		}
		ctx, cancel := context.WithCancelCause(t.Context())
		q := &activeRequest{r: &Request{ID: "a", Host: "h", Path: "/"}, cancel: cancel}
		q.setStage(c.stage)
		e.active.add(q)
		e.Stop(now.Add(stop))
		if got := e.EndLate(now.Add(c.after)); got != 1 {
			t.Errorf("%s: requests under way: got %d, want 1", c.name, got)
		}
		_, ended := stopReason(ctx)
		if ended != c.want {
			t.Errorf("%s: ended: got %v, want %v", c.name, ended, c.want)
		}
		if cause := context.Cause(ctx); ended && errors.Is(cause, context.Canceled) {
			t.Errorf("%s: cause: got %v, want that of the stop", c.name, cause)
		}
		cancel(nil)
	}
}
