// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func values(rate float64, concurrency int, retryShare float64) *config.Values {
	return &config.Values{RequestRate: &rate, Concurrency: &concurrency, RetryShare: &retryShare}
}

func kindOf(err *fault.Error) fault.Kind {
	if err == nil {
		return ""
	}
	return err.Kind
}

// TestLimits checks that the rate and the concurrency of each workspace are limited
// independently, and that a refusal has a later time for a retry.
func TestLimits(t *testing.T) {
	var l limits
	two := values(2, 3, 0)
	steps := []struct {
		name      string
		at        int
		workspace string
		leave     bool
		want      fault.Kind
	}{
		{"first request of a new workspace's burst", 0, "a", false, ""},
		{"second request of the burst", 0, "a", false, ""},
		{"request beyond the rate", 0, "a", false, fault.RateLimited},
		{"request of another workspace", 0, "b", false, ""},
		{"request after half a second", 500, "a", false, ""},
		{"request beyond the concurrency", 2000, "a", false, fault.RateLimited},
		{"request after one was released", 2000, "a", true, ""},
	}
	for _, s := range steps {
		if s.leave {
			l.release(s.workspace)
		}
		err := l.acquire(at(s.at), s.workspace, two)
		if got := kindOf(err); got != s.want {
			t.Errorf("%s: got %q, want %q", s.name, got, s.want)
		}
		if err != nil && (err.Run != fault.NotRun || !err.RetryAt.After(at(s.at))) {
			t.Errorf("%s: got %v at %v, want not run and a later time", s.name, err, err.RetryAt)
		}
	}
	if err := l.acquire(at(2000), "a", values(100, 100, 0)); err == nil {
		l.release("a")
	} else if err := l.acquire(at(2100), "a", values(100, 100, 0)); err != nil {
		t.Errorf("after the settings were raised: got %v, want nil", err)
	}
}

// TestRetryBudget checks that requests add to the retry budget and that retryBurst bounds
// it.
func TestRetryBudget(t *testing.T) {
	var l limits
	v := values(1e6, 1e6, 0.5)
	for range 100 {
		if err := l.acquire(at(0), "a", v); err != nil {
			t.Fatal(err)
		}
	}
	got := 0
	for l.takeRetry("a") {
		got++
	}
	if got != retryBurst {
		t.Errorf("retries after 100 requests: got %d, want %d", got, retryBurst)
	}
	for range 2 {
		_ = l.acquire(at(0), "a", v)
	}
	if !l.takeRetry("a") || l.takeRetry("a") {
		t.Error("retries after two more requests: want one")
	}
}
