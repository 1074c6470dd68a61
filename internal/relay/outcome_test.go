// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/config"
)

// A long prompt behind others, of which it is known that it takes seconds, is no silent
// endpoint where most prompts take a tenth of that; one of which nothing was foretold is after
// half of its aim.
func TestHeadTimeoutFollowsEstimate(t *testing.T) {
	route := &Route{Aim: config.Span(3 * time.Second)}
	for _, c := range []struct {
		name  string
		a     Attempt
		least time.Duration
		most  time.Duration
	}{
		{"nothing foretold", Attempt{expectedHead: 0.2}, 1500 * time.Millisecond, 1500 * time.Millisecond},
		{"long prompt behind others", Attempt{expectedHead: 0.2, wait: 0.8, readTime: 1.2}, 4 * time.Second, 12 * time.Second},
		{"slow sort", Attempt{expectedHead: 1, wait: 0.1, readTime: 0.1}, 6 * time.Second, 6 * time.Second},
	} {
		if got := c.a.headTimeout(route); got < c.least || got > c.most {
			t.Errorf("%s: waits for a head: got %v, want %v to %v", c.name, got, c.least, c.most)
		}
	}
}
