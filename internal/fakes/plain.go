// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fakes

import (
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/pkg/config"
)

// Plain is a fake of a plain service, such as a title register. It echoes each request and counts
// run IDs and bodies.
type Plain struct {
	*faultInjector
	// work is the duration of a call.
	work config.Span
	mu   sync.Mutex
	// runs counts the executions of each run ID.
	runs map[string]int
	// bodies counts the calls received with each body.
	bodies map[string]int
	// held is closed when the calls that wait for it may end; nil if calls need not wait.
	held chan struct{}
}

// PlainAnswer is the body of the service's answer: the request that it received.
type PlainAnswer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// NewPlain returns a service whose calls take the time work and whose faults are drawn from seed.
func NewPlain(seed uint64, work config.Span) *Plain {
	return &Plain{faultInjector: newFaultInjector(seed), work: work, runs: make(map[string]int), bodies: make(map[string]int)}
}

// Runs returns the number of executions of each run ID.
func (s *Plain) Runs() map[string]int { return s.copyCounts(s.runs) }

// Bodies returns the number of calls received with each body.
func (s *Plain) Bodies() map[string]int { return s.copyCounts(s.bodies) }

func (s *Plain) copyCounts(m map[string]int) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(m))
	for k, n := range m {
		out[k] = n
	}
	return out
}

// Hold lets the calls that begin from now on wait until release is called, so that a fault can be
// injected during them whatever the machine's speed. It must not be called again before release.
func (s *Plain) Hold() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make(chan struct{})
	s.held = held
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.held = nil
		close(held)
	}
}

// Handle serves one HTTP call.
func (s *Plain) Handle(ctx *fasthttp.RequestCtx) {
	if s.handleFaults(ctx) {
		return
	}
	f := s.current()
	if f.Down {
		ctx.Error("fake service: unavailable by an injected fault", fasthttp.StatusServiceUnavailable)
		return
	}
	switch string(ctx.Path()) {
	case "/runs":
		writeJSON(ctx, s.Runs())
		return
	case "/bodies":
		writeJSON(ctx, s.Bodies())
		return
	}
	s.mu.Lock()
	s.runs[string(ctx.Request.Header.Peek(RunHeader))]++
	s.bodies[string(ctx.PostBody())]++
	held := s.held
	s.mu.Unlock()
	if held != nil {
		<-held
	}
	sleep(s.work)
	sleep(f.Delay)
	if f.Raw != "" {
		sendRaw(ctx, f)
		return
	}
	if s.draw(f.FailureRate) {
		_ = ctx.Conn().Close()
		return
	}
	writeJSON(ctx, PlainAnswer{Method: string(ctx.Method()), Path: string(ctx.Path()), Body: string(ctx.PostBody())})
}
