// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
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

// The answer, the failure and the end of an attempt at an earlier incarnation of an endpoint say nothing of the one that
// is listed now.
//
// Guards against an endpoint that has started again and is placed by the load, or ejected for the failures, of the process
// before.
func TestEarlierIncarnationSaysNothing(t *testing.T) {
	started := time.Unix(1, 0)
	for _, c := range []struct {
		name string
		// again says that the endpoint starts again while the attempt is under way.
		again     bool
		runs      int
		inFlight  int
		untrusted bool
	}{
		{"the same incarnation", false, 9, 0, true},
		{"the next incarnation", true, 1, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := engine(Route{Kind: Safe}, nil)
			listed := e.book.Get("e").Entry
			listed.StartedAt = started
			e.book.Put(listed)
			now := e.Now()
			a := &Attempt{Request: &Request{ID: "x"}, Endpoint: e.book.Get("e").Entry, hash: e.book.Get("e").Hash()}
			e.book.Get("e").RecordSend(now)
			e.trackSent(a)
			if c.again {
				listed.StartedAt = started.Add(time.Second)
				e.book.Put(listed)
				e.book.Get("e").RecordSend(now)
			}
			p := e.book.Get("e")
			before := p.Trust
			e.recordHead(a, &attemptRecord{At: now}, &Reply{LoadReported: true, Running: 9}, now)
			if got := p.Load.Runs(now); got != c.runs {
				t.Errorf("runs after the head: got %d, want %d", got, c.runs)
			}
			err := fault.New(fault.EndpointLost, fault.MayHaveRun, "The answer broke off.")
			e.recordFailure(a, &Route{Kind: Safe}, err, &attemptRecord{At: now}, now)
			if got := p.Trust != before; got != c.untrusted {
				t.Errorf("trust changed by the failure: got %v, want %v", got, c.untrusted)
			}
			e.recordAttemptEnd(a)
			if got := p.Load.InFlight; got != c.inFlight {
				t.Errorf("attempts in flight after the end: got %d, want %d", got, c.inFlight)
			}
		})
	}
}
