// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/sizes"
)

// The time that callers allow must not be taken for that of a repeated request. Deadlines that
// differ by up to a seventh all belong to first requests here: each weak answer gives way to the
// larger model, as with equal deadlines.
func TestEscalationIgnoresDeadlineSpread(t *testing.T) {
	const most = 15 * time.Second
	large := 0
	e := engine(Route{Kind: Stream, Resume: true, MaxAttempts: 3, Sizes: []string{"small", "large"}, Aim: config.Span(1500 * time.Millisecond), Timeout: config.Span(most)},
		func(_ context.Context, a *Attempt) (*Reply, error) {
			if a.Model == "large" {
				large++
			}
			return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("id: 1\ndata: x\n\n")), Length: -1, IDMatches: true, Authenticated: true, Confidence: 30}, nil
		})
	l := *e.limits.Load()
	l.Cascade = sizes.Policy{Straight: 40, Step: 60}
	l.RetryWindow = config.Span(time.Minute)
	e.SetLimits(l)
	const requests = 60
	for i := range requests {
		now := time.Now()
		left := most - most*15/100*time.Duration(i%10)/10
		r := &Request{ID: "x", Method: "POST", Host: "h", Path: "/", Target: "/", Header: http.Header{}, AnyModel: true, TokensIn: testTokens, Arrived: now, Deadline: now.Add(left)}
		e.Serve(t.Context(), httptest.NewRecorder(), r)
	}
	if large != requests {
		t.Errorf("weak answers dropped for the larger model: got %d, want %d", large, requests)
	}
}

// TestLargerModelByTheTimeLeft serves weak answers to requests that have been at the router for
// different times, so that their callers have more or less time left.
func TestLargerModelByTheTimeLeft(t *testing.T) {
	const usual = 25 * time.Second
	for _, c := range []struct {
		name       string
		left       time.Duration
		confidence int
		want       string
	}{
		{"just arrived", usual, 10, "small large"},
		{"the aim has passed", usual - 4*time.Second, 30, "small"},
		{"the aim has passed, below minUsefulConfidence", usual - 4*time.Second, 10, "small large"},
		{"hardly any time left, below minUsefulConfidence", 2 * time.Second, 10, "small"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var models []string
			e := engine(Route{Kind: Stream, Resume: true, MaxAttempts: 3, Sizes: []string{"small", "large"}, Aim: config.Span(3 * time.Second), Timeout: config.Span(usual)},
				func(_ context.Context, a *Attempt) (*Reply, error) {
					models = append(models, a.Model)
					confidence := c.confidence
					if a.Model == "large" {
						confidence = 90
					}
					return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("id: 1\ndata: x\n\n")), Length: -1, IDMatches: true, Authenticated: true, Confidence: confidence}, nil
				})
			l := *e.limits.Load()
			l.Cascade = sizes.Policy{Straight: 40, Step: 60}
			e.SetLimits(l)
			e.readSpeeds["small"] = readSpeedFor(100 * time.Millisecond)
			e.readSpeeds["large"] = readSpeedFor(time.Second)
			e.streamTimes["r"] = &timeMean{value: float64(1500 * time.Millisecond), n: 1}
			now := time.Now()
			r := &Request{ID: "x", Method: "POST", Host: "h", Path: "/", Target: "/", Header: http.Header{}, AnyModel: true, TokensIn: testTokens, Arrived: now.Add(c.left - usual), Deadline: now.Add(c.left)}
			w := httptest.NewRecorder()
			e.Serve(t.Context(), w, r)
			if got := strings.Join(models, " "); got != c.want || w.Code != http.StatusOK {
				t.Errorf("models asked: got %q with status %d, want %q with 200", got, w.Code, c.want)
			}
		})
	}
}

// readSpeedFor returns a speed at which a prompt of testTokens takes the time d to read.
func readSpeedFor(d time.Duration) *readSpeed {
	var s readSpeed
	for range minKnownHeads {
		s.add(testTokens, d.Seconds(), true)
	}
	return &s
}

// testTokens is the size of a prompt in tokens.
const testTokens = 1000

func TestReadTimeOfUnmeasuredModel(t *testing.T) {
	e := engine(Route{Kind: Stream, Sizes: []string{"s", "m", "l"}}, func(context.Context, *Attempt) (*Reply, error) {
		return nil, fault.New(fault.EndpointLost, fault.NotRun, "none")
	})
	e.readSpeeds["s"] = readSpeedFor(time.Second)
	x := &run{e: e, r: &Request{AnyModel: true}, route: e.table.Load().Match("h", "/")}
	got := fmt.Sprint(x.readTimeOf(0, testTokens), x.readTimeOf(1, testTokens), x.readTimeOf(2, testTokens))
	if want := "1 3 9"; got != want {
		t.Errorf("expected reading times in seconds: got %s, want %s", got, want)
	}
}

// The larger the part of the aim that a model is expected to take, the less likely it is asked.
func TestInTimeProb(t *testing.T) {
	for _, c := range []struct{ head, aim, want float64 }{{0, 4, 1}, {1, 4, 0.875}, {4, 4, 0.5}, {4.1, 4, 0}, {1, -1, 0}} {
		if got := inTimeProb(c.head, c.aim); got != c.want {
			t.Errorf("head of %v s, aim of %v s: got %v, want %v", c.head, c.aim, got, c.want)
		}
	}
}

// Short prompts go first at their endpoint, whatever the rank of their route.
func TestShortPromptsAreUrgent(t *testing.T) {
	for _, c := range []struct {
		whole    float64
		rank     int
		affinity bool
		want     int
	}{{0.05, 5, true, 0}, {0.5, 5, true, 6}, {0.5, 9, true, 9}, {0.05, 5, false, 5}} {
		x := &run{e: engine(Route{}, nil), route: &Route{Aim: config.Span(2 * time.Second), Affinity: c.affinity}}
		if got := x.endpointRank(&Attempt{fullReadTime: c.whole, Rank: c.rank}); got != c.want {
			t.Errorf("read in %v s with rank %d: got %d, want %d", c.whole, c.rank, got, c.want)
		}
	}
}
