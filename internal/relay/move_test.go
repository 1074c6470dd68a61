// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"fmt"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/finish"
	"github.com/traildrift/traildrift/pkg/pool"
)

// A stream must be moved to the endpoint for which the router found that the answer ends there. If the endpoint were
// drawn anew, the stream could go to one where it does not end either, and may not be moved a second time.
func TestStreamIsMovedWhereItEnds(t *testing.T) {
	moved := 0
	// Endpoints are drawn at random, so that another draw shows in one of a few plays.
	for i := range 40 {
		s := newStreams(t, streamRoute, 8)
		teach(s.e, 100, 20*time.Millisecond)
		s.gap = func(n, event int) time.Duration {
			// Half of the other endpoints are known to be as slow.
			for _, id := range []string{"e", "f", "g", "h"} {
				recent := getOrCreate(s.e.ends.recent, pool.HashOf(id))
				for range 4 {
					recent.Add(s.e.ends.gaps["s"], finish.Load{Pace: 1}, 0.4, s.now)
				}
			}
			return slowFirst(n, event)
		}
		if got := s.serve(t, 15*time.Second, nil); got != pieces(100) {
			t.Fatalf("play %d: got %d bytes, want each event once", i, len(got))
		}
		if len(s.sent) < 2 {
			continue
		}
		moved++
		if id := s.sent[1].Endpoint.ID; id < "i" {
			t.Errorf("play %d: moved to %s, which is known to be slow", i, id)
		}
	}
	if moved == 0 {
		t.Error("moved streams: got none")
	}
}

// Where admission control knows that all other endpoints are full, a stream must stay where it is: once cut, it would
// wait for a place or break off.
func TestStreamStaysWhereOthersAreFull(t *testing.T) {
	for _, full := range []bool{false, true} {
		s := newStreams(t, streamRoute, 4)
		teach(s.e, 100, 20*time.Millisecond)
		s.gap = func(n, event int) time.Duration {
			for _, id := range []string{"e", "f", "g", "h"} {
				if p := s.e.book.Get(id); full && p != nil && len(s.sent) > 0 && id != s.sent[0].Endpoint.ID {
					// A rejection counts for a tenth of a second at most, and the gap is added after this call.
					p.Place.Reject(s.now.Add(slowFirst(n, event)), time.Minute, 1, 0)
				}
			}
			return slowFirst(n, event)
		}
		if got := s.serve(t, 15*time.Second, nil); got != pieces(100) {
			t.Errorf("others full %v: got %d bytes, want each event once", full, len(got))
		}
		if want := map[bool]int{false: 2, true: 1}[full]; len(s.sent) != want {
			t.Errorf("others full %v: attempts: got %d, want %d", full, len(s.sent), want)
		}
	}
}

// A caller that resumes a stream at another router after the first one was killed has some events already: the rest
// must be estimated from there, an absurd number must not matter, and the part must not be learned as a whole answer.
func TestResumedRequestIsEstimatedFromItsLastEvent(t *testing.T) {
	s := newStreams(t, streamRoute, 1)
	teach(s.e, 100, 20*time.Millisecond)
	prob := func(lastEvent string) float64 {
		x := &run{e: s.e, route: s.e.table.Load().Match("h", "/"), deadline: s.now.Add(time.Second), service: "s", r: &Request{LastEvent: lastEvent, Arrived: s.now}}
		s.e.mu.Lock()
		defer s.e.mu.Unlock()
		return x.unfinishedProb(s.e.book.Get("e"), 0, s.now)
	}
	whole, rest := prob(""), prob("85")
	if whole < 0.95 || rest > 0.2 {
		t.Errorf("probability of not ending within 1 s at 50 events a second: got %.3f of 100 events and %.3f after 85, want 0.95 or more and 0.2 or less", whole, rest)
	}
	for _, odd := range []string{"x", "-5", "99999999999999999999", strconv.Itoa(math.MaxInt)} {
		if got := prob(odd); !(got >= 0 && got <= 1) {
			t.Errorf("last event %q: probability: got %v, want 0 to 1", odd, got)
		}
	}
	r := s.e.ends.routes["r"]
	before := r.lengths
	s.events = 100
	s.serve(t, 15*time.Second, func(r *Request) { r.LastEvent = fmt.Sprint(85) })
	if r.lengths != before {
		t.Error("lengths: got the rest of an answer added, want none")
	}
}
