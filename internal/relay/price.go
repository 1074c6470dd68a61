// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import "time"

// priceCost returns what the engine time of an answer costs other requests, as a fraction of what the
// request earns. It is given the time for which the endpoint reads the prompt, that for which it generates
// the answer, both in seconds, and the present time. The caller must hold the engine's mu.
func (x *run) priceCost(_, _ float64, _ time.Time) float64 { return 0 }

// observeWait records for the price of engine time how long, in seconds, an attempt of a route waited at
// its endpoint behind others. The caller must hold the engine's mu.
func (e *Engine) observeWait(_ *Attempt, _ *Route, _ float64, _ time.Time) {}
