// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fakes

import (
	"encoding/json"
	"slices"

	"github.com/valyala/fasthttp"
)

// loadReport is what an engine says of itself.
type loadReport struct {
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Versions []string `json:"versions,omitempty"`
}

// Loaded lists the versions that are loaded.
func (e *Engine) Loaded() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.loaded...)
}

// Orders returns how many orders were taken.
func (e *Engine) Orders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

// order loads a version; an order with an older fence is refused.
func (e *Engine) order(ctx *fasthttp.RequestCtx) {
	var o struct {
		Fence int64  `json:"fence"`
		Model string `json:"model"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error("broken JSON", fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	old := o.Fence < e.fence && !e.opts.Unfenced
	e.fence = max(e.fence, o.Fence)
	known := slices.Contains(e.loaded, o.Model)
	e.mu.Unlock()
	if old {
		ctx.Error("an older order", fasthttp.StatusConflict)
		return
	}
	if !known && e.opts.FetchWeights != nil && !e.opts.FetchWeights(o.Model) {
		ctx.Error("no weights", fasthttp.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if !slices.Contains(e.loaded, o.Model) {
		e.loaded = append(e.loaded, o.Model)
	}
}
