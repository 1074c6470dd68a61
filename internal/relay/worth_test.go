// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/sizes"
)

// modelsAsked serves one request with CascadeWorth and returns the models that were asked. The
// small model answers with the given confidence, larger ones with 95. change, if not nil, may
// change the state of the engine before.
func modelsAsked(t *testing.T, confidence int, costs map[string]Cost, change func(e *Engine)) string {
	var models []string
	r := Route{Kind: Stream, Resume: true, MaxAttempts: 3, Sizes: []string{"small", "middle", "large"}, Affinity: true, Aim: config.Span(3 * time.Second), Timeout: config.Span(20 * time.Second)}
	e := engine(r, func(_ context.Context, a *Attempt) (*Reply, error) {
		models = append(models, a.Model)
		c := confidence
		if a.Model != "small" {
			c = 95
		}
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("id: 1\ndata: x\n\n")), Length: -1, IDMatches: true, Authenticated: true, Confidence: c}, nil
	})
	l := *e.limits.Load()
	l.TokenWorth = 0.35
	e.SetLimits(l)
	e.table.Load().Costs = costs
	for model, d := range map[string]time.Duration{"small": 50 * time.Millisecond, "middle": 100 * time.Millisecond, "large": 200 * time.Millisecond} {
		e.readSpeeds[model] = readSpeedFor(d)
	}
	for range 50 {
		e.confidences.Add("small", "middle", 20, 34)
		e.confidences.Add("small", "large", 20, 85)
	}
	if change != nil {
		change(e)
	}
	now := time.Now()
	e.Serve(t.Context(), httptest.NewRecorder(), &Request{ID: "x", Method: "POST", Host: "h", Path: "/", Target: "/", Header: http.Header{}, AnyModel: true,
		Prefix: []string{"shared", "own"}, PrefixTokens: []int{0, testTokens}, TokensIn: testTokens, TokensOut: 100, Arrived: now, Deadline: now.Add(20 * time.Second)})
	return strings.Join(models, " ")
}

// largerModelCosts returns token costs of the larger models from their costs for 1,000 tokens
// generated.
func largerModelCosts(middle, large float64) map[string]Cost {
	return map[string]Cost{"middle": {Input: middle / 4000, Output: middle / 1000}, "large": {Input: large / 4000, Output: large / 1000}}
}

// Which model is asked for a weak answer depends on its cost, compared with what the request earns
// (0.7 here), and on the gains measured for larger models. With usual costs and gains a doubtful
// answer goes one step up, and one that is surely weak goes to the largest model.
func TestLargerModelByWorth(t *testing.T) {
	for _, c := range []struct {
		name       string
		confidence int
		costs      map[string]Cost
		want       string
	}{
		{"good", 90, largerModelCosts(0.18, 0.35), "small"},
		{"doubtful", 50, largerModelCosts(0.18, 0.35), "small middle"},
		{"weak", 15, largerModelCosts(0.18, 0.35), "small large"},
		{"weak, the largest dearer than the request is worth", 15, largerModelCosts(0.18, 7), "small"},
		{"weak, the next one doubtful and hardly cheaper than the largest", 37, largerModelCosts(0.34, 0.35), "small large"},
	} {
		if got := modelsAsked(t, c.confidence, c.costs, nil); got != c.want {
			t.Errorf("%s: models asked: got %q, want %q", c.name, got, c.want)
		}
	}
}

// In a burst, where each endpoint gets many prompts of the same worth, a weak answer to a prompt
// that takes long to read is kept, as the other requests would lose more.
func TestLargerModelIsNotAskedWhereOthersWait(t *testing.T) {
	slow := func(perSecond int) func(e *Engine) {
		return func(e *Engine) {
			e.readSpeeds["middle"], e.readSpeeds["large"] = readSpeedFor(1500*time.Millisecond), readSpeedFor(1500*time.Millisecond)
			for range perSecond * int(meterTimeConstant/time.Second) {
				getOrCreate(e.promptRates, "s").add(time.Now())
			}
		}
	}
	if got := modelsAsked(t, 15, largerModelCosts(0.18, 0.35), slow(0)); got != "small large" {
		t.Errorf("calm: models asked: got %q, want %q", got, "small large")
	}
	if got := modelsAsked(t, 15, largerModelCosts(0.18, 0.35), slow(20)); got != "small" {
		t.Errorf("burst: models asked: got %q, want %q", got, "small")
	}
}

// Where the cost or the gain of a larger model is not known, the fixed thresholds decide.
func TestUnknownGainsUseFixedThresholds(t *testing.T) {
	bounds := func(e *Engine) {
		l := *e.limits.Load()
		l.Cascade.Straight, l.Cascade.Step = 40, 60
		e.SetLimits(l)
	}
	if got := modelsAsked(t, 90, nil, bounds); got != "small" {
		t.Errorf("good answer: models asked: got %q, want %q", got, "small")
	}
	if got := modelsAsked(t, 30, nil, bounds); got != "small large" {
		t.Errorf("weak answer: models asked: got %q, want %q", got, "small large")
	}
	unseen := func(e *Engine) {
		bounds(e)
		e.confidences = sizes.ConfidenceStats{}
	}
	// The fixed thresholds keep this answer. By its worth the middle model would be asked.
	if got := modelsAsked(t, 62, largerModelCosts(0.001, 0.35), unseen); got != "small" {
		t.Errorf("gains not measured: models asked: got %q, want %q", got, "small")
	}
}
