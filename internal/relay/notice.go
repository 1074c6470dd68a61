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
	if !p.Notes(n, sentAt, now) {
		return
	}
	perSecond, named := p.Limit()
	e.Log.Info("relay: An endpoint's limit has changed.", zap.String("endpoint", p.ID), zap.Bool("named", named), zap.Float64("perSecond", perSecond),
		zap.String("request", request))
}
