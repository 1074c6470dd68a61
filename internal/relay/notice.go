// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/pool"
)

// noted takes in what an endpoint says of itself in the answer to a request, whose attempt was
// sent at sentAt; mu is held.
func (e *Engine) noted(p *pool.Endpoint, request string, n pool.Notice, sentAt, now time.Time) {
	changed := p.Notes(n, sentAt, now)
	ended := changed && p.LimitEnded()
	if ended || p.TellsLimit(now, limitToldEvery) {
		// Routers without a share hear of the end from those that have one.
		_, holds := p.Holders()
		e.Limits.Tell(limitWord(p), ended && holds)
	}
	if !changed {
		return
	}
	e.logLimit(p, zap.String("request", request))
}

// logLimit tells what is known of an endpoint's limit, and from where; mu is held.
func (e *Engine) logLimit(p *pool.Endpoint, from zap.Field) {
	perSecond, named := p.Limit()
	e.Log.Info("relay: An endpoint's limit has changed.", zap.String("endpoint", p.ID), zap.Bool("named", named), zap.Float64("perSecond", perSecond), from)
}
