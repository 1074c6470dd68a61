// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fakes

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/pkg/config"
)

// Faults are what a stand-in does wrong on request.
type Faults struct {
	// Down refuses every call before it has any effect.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay config.Span `json:"delay"`
	// SilentWatch ends every watch without a change, whatever happened.
	SilentWatch bool `json:"silentWatch"`
	// StaleWatch answers every watch at once with an object's first value.
	StaleWatch bool `json:"oldWatch"`
	// ResponseLossRate is the share of writes whose answer is lost after they
	// took effect.
	ResponseLossRate float64 `json:"loseAnswers"`
	// FailureRate is the share of runs that end in an error.
	FailureRate float64 `json:"fail"`
	// DisconnectAfter cuts an answer after so many chunks; 0 cuts none.
	DisconnectAfter int `json:"cutAfter"`
	// TruncateAfter ends an answer after so many chunks as if it were whole.
	TruncateAfter int `json:"endEarly"`
	// Slowdown multiplies the time of every step; 0 counts as 1.
	Slowdown float64 `json:"slow"`
}

// faultInjector holds the faults in force and a seeded source.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
	rnd    *rand.Rand
}

func newFaultInjector(seed uint64) *faultInjector {
	return &faultInjector{rnd: rand.New(rand.NewPCG(seed, seed))}
}

// Set puts faults in force.
func (b *faultInjector) Set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

func (b *faultInjector) current() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// draw reports true with probability p.
func (b *faultInjector) draw(p float64) bool {
	if p <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rnd.Float64() < p
}

// handleFaults answers POST /faults and reports whether the request was that.
func (b *faultInjector) handleFaults(ctx *fasthttp.RequestCtx) bool {
	if string(ctx.Path()) != "/faults" {
		return false
	}
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return true
	}
	b.Set(f)
	return true
}

// sleep waits for the given length of time, or for the length of faults.
func sleep(s config.Span) {
	if s > 0 {
		time.Sleep(time.Duration(s))
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
