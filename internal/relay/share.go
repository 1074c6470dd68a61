// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"time"

	"github.com/traildrift/traildrift/pkg/pool"
)

// beginShare sets the price that the request meets and, before the first attempt, whether it exceeds the share of its
// workspace, so that it is served after the requests of all others. It must be called before an endpoint is
// picked, as a request over its share does not go first there. Anonymous requests have no share. The caller
// must hold the engine's mu.
func (x *run) beginShare(now time.Time) {
	x.price = x.e.enginePrice(x.service, now)
	if x.workspace == nil || len(x.records) > 0 || !x.e.enabled(WorkspaceShares, x.service) {
		return
	}
	if !x.over && x.e.loadOf(x.service).shares.IsOver(now, pool.Hash(x.workspace.Name), x.price > 0) {
		x.over = true
		x.e.metrics.count("requests_over_share", x.route.Name, "overShare")
	}
}

// recordContention records the engine time that the attempt demands, and whether its endpoint has a free
// slot. It must be called once the attempt is counted at its endpoint. The caller must hold the engine's mu.
func (x *run) recordContention(a *Attempt, p *pool.Endpoint, now time.Time) {
	x.e.observeSlots(a, x.route, p, now)
	if x.workspace == nil || !x.e.enabled(WorkspaceShares, x.service) {
		return
	}
	a.engineTime = 1
	if x.route.Affinity {
		a.engineTime = runCost(a.readTime/a.paceFactor, x.e.streamTimes[x.route.Name].expect(0), p.Slots)
	}
	x.recordDemand(x.size, a.engineTime, now)
	if x.size >= x.used {
		x.used = x.size + 1
		if !x.over && x.price > 0 {
			x.e.loadOf(x.service).shares.Use(now, pool.Hash(x.workspace.Name), a.engineTime)
		}
	}
	if x.headSent {
		// The attempt continues an answer that counted as served when its head came.
		a.engineTime = 0
	}
}

// recordDemand records that the request demands so many seconds of engine time for an answer of the model
// with index size. An attempt that follows a failure demands nothing more: the failure is not the
// workspace's. The caller must hold the engine's mu.
func (x *run) recordDemand(size int, seconds float64, now time.Time) {
	if x.workspace == nil || size < x.demanded || !x.e.enabled(WorkspaceShares, x.service) {
		return
	}
	x.demanded = size + 1
	x.e.loadOf(x.service).shares.AddDemand(now, pool.Hash(x.workspace.Name), seconds)
}

// recordServed records the engine time of an attempt whose answer has come. The caller must hold mu.
func (e *Engine) recordServed(a *Attempt, now time.Time) {
	if a.engineTime > 0 {
		e.loadOf(a.Endpoint.Service).shares.AddServed(now, a.engineTime)
	}
}
