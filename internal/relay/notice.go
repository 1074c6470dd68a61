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
	c := p.Notes(n, sentAt, now)
	ended := c.Limit && p.LimitEnded()
	if ended || p.TellsLimit(now, limitToldEvery) {
		// Routers without a share hear of the end from those that have one.
		_, holds := p.Holders()
		e.Limits.Tell(limitWord(p), ended && holds)
	}
	if c.Limit {
		e.logLimit(p, zap.String("request", request))
	}
	if c.Leaving {
		e.Log.Info("relay: An endpoint says that it leaves.", zap.String("endpoint", p.ID), zap.String("request", request), zap.Int64("revision", p.Revision))
	}
	if c.Rest {
		e.counts.count("rests_asked", "", "")
		e.Log.Info("relay: An endpoint asks for rest.", zap.String("endpoint", p.ID), zap.String("request", request), zap.Time("until", n.RestUntil))
	}
}

// logLimit tells what is known of an endpoint's limit, and from where; mu is held.
func (e *Engine) logLimit(p *pool.Endpoint, from zap.Field) {
	perSecond, named := p.Limit()
	e.Log.Info("relay: An endpoint's limit has changed.", zap.String("endpoint", p.ID), zap.Bool("named", named), zap.Float64("perSecond", perSecond), from)
}
