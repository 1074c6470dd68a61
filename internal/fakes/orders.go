// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fakes

import (
	"encoding/json"
	"slices"

	"github.com/valyala/fasthttp"
)

// loadReport is the body of an engine's load report.
type loadReport struct {
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Versions []string `json:"versions,omitempty"`
}

// Loaded returns the loaded versions, as model@version.
func (e *Engine) Loaded() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.loaded...)
}

// Orders returns the number of accepted orders.
func (e *Engine) Orders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

// order serves an order to load a version. It refuses an order whose fencing token is lower than
// the highest one received, unless the engine is unfenced.
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
	outdated := o.Fence < e.fence && !e.opts.Unfenced
	e.fence = max(e.fence, o.Fence)
	known := slices.Contains(e.loaded, o.Model)
	e.mu.Unlock()
	if outdated {
		ctx.Error("the order has an outdated fencing token", fasthttp.StatusConflict)
		return
	}
	if !known && e.opts.FetchWeights != nil && !e.opts.FetchWeights(o.Model) {
		ctx.Error("the weights of the version could not be fetched", fasthttp.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if !slices.Contains(e.loaded, o.Model) {
		e.loaded = append(e.loaded, o.Model)
	}
}
