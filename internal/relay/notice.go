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
	ended := c.Limit && n.Limit == pool.Unlimited
	if ended || c.Leaving || p.TellsLimit(now, limitToldEvery) {
		// Routers without a share hear of a limit's end from those that have one.
		_, holds := p.Holders()
		e.Limits.Tell(noticeWord(p), ended && holds)
	}
	from := zap.String("request", request)
	e.logNotice(p, c, from)
	if c.Rest {
		e.counts.count("rests_asked", "", "")
		e.Log.Info("relay: An endpoint asks for rest.", zap.String("endpoint", p.ID), from, zap.Time("until", n.RestUntil))
	}
}

// logNotice tells what has changed of what an endpoint said to all, and who told; mu is held.
func (e *Engine) logNotice(p *pool.Endpoint, c pool.Changes, from zap.Field) {
	if c.Limit {
		perSecond, named := p.Limit()
		e.Log.Info("relay: An endpoint's limit has changed.", zap.String("endpoint", p.ID), zap.Bool("named", named), zap.Float64("perSecond", perSecond), from)
	}
	if c.Leaving {
		e.Log.Info("relay: An endpoint says that it leaves.", zap.String("endpoint", p.ID), zap.Int64("revision", p.Revision), from)
	}
}
