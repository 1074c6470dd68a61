// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/config"
)

// The head timeout follows the estimate for an attempt: a long prompt that is queued behind others and is
// expected to take seconds is not ended as silent, though most prompts take a tenth of that. Without an
// estimate, the timeout is half of the aim.
func TestHeadTimeoutFollowsEstimate(t *testing.T) {
	route := &Route{Aim: config.Span(3 * time.Second)}
	for _, c := range []struct {
		name  string
		a     Attempt
		least time.Duration
		most  time.Duration
	}{
		{"no estimate", Attempt{expectedHead: 0.2}, 1500 * time.Millisecond, 1500 * time.Millisecond},
		{"long prompt behind others", Attempt{expectedHead: 0.2, wait: 0.8, readTime: 1.2}, 4 * time.Second, 12 * time.Second},
		{"slow kind of request", Attempt{expectedHead: 1, wait: 0.1, readTime: 0.1}, 6 * time.Second, 6 * time.Second},
	} {
		if got := c.a.headTimeout(route); got < c.least || got > c.most {
			t.Errorf("%s: head timeout: got %v, want %v to %v", c.name, got, c.least, c.most)
		}
	}
}
