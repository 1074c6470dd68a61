// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/config"
)

// The mechanisms for contention must be in use for all services where the operator's rules name
// contention, else only for services whose endpoints report their pace, and never where they are
// switched off: other deployments are served as before.
func TestContentionMechanisms(t *testing.T) {
	for _, c := range []struct {
		name    string
		rule    bool
		pace    float64
		without []Mechanism
		want    bool
	}{
		{"neither", false, 0, nil, false},
		{"rule", true, 0, nil, true},
		{"pace", false, 1.2, nil, true},
		{"switched off", true, 1.2, contentionMechanisms, false},
	} {
		e := engine(Route{Kind: Safe, Timeout: config.Span(time.Second)}, func(context.Context, *Attempt) (*Reply, error) { return nil, nil })
		l := *e.limits.Load()
		l.Contention, l.Mechanisms.Without = c.rule, c.without
		e.SetLimits(l)
		e.mu.Lock()
		service := e.book.Get("e").Service
		p := e.book.Get("e").Entry
		e.mu.Unlock()
		reply := &Reply{Status: http.StatusOK, Pace: c.pace, LoadReported: true}
		e.recordHead(&Attempt{Request: &Request{ID: "x"}, Endpoint: p}, &attemptRecord{}, reply, time.Now())
		e.mu.Lock()
		for _, m := range contentionMechanisms {
			if got := e.enabled(m, service); got != c.want {
				t.Errorf("%s: %s in use: got %v, want %v", c.name, m, got, c.want)
			}
			if got := e.enabled(m, "another service"); got != (c.want && c.rule) {
				t.Errorf("%s: %s in use for a service without reports: got %v, want %v", c.name, m, got, c.want && c.rule)
			}
		}
		e.mu.Unlock()
	}
}
