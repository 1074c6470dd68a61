// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/pool"
)

// NoticeMessage is what routers tell one another of what an endpoint said of itself.
type NoticeMessage struct {
	// Endpoint is the hash of its ID, Incarnation what names the life that said it.
	Endpoint, Incarnation uint64
	pool.Notice
	// IsAnswer says that this answers a question, and Granted that the hearer may send one request
	// in the teller's place.
	IsAnswer, Granted bool
	// Wait is how long the teller has nothing more to grant, from when the word is heard.
	Wait time.Duration
}

// Notifier tells other routers what endpoints said, and asks them about limits. Its functions are seams.
type Notifier struct {
	// SendNotice tells some of the other routers, or all.
	SendNotice func(m NoticeMessage, all bool)
	// QueryLimit asks one of the routers that share the limit, of which there are so many, to grant a
	// request; draw chooses.
	QueryLimit func(m NoticeMessage, sharers int, draw uint64)
}

// noopNotifier is that of a router alone.
var noopNotifier = Notifier{SendNotice: func(NoticeMessage, bool) {}, QueryLimit: func(NoticeMessage, int, uint64) {}}

// limitReportInterval is how often a router tells of a limit that answers go on naming, to those that missed
// it. With 300 routers before 1,400 endpoints that all name one that is 10 KB a second for each router.
const limitReportInterval = 3 * time.Second

// recordNotice takes in what an endpoint says of itself in the answer to a request, whose attempt was
// sent at sentAt; mu is held.
func (e *Engine) recordNotice(p *pool.Endpoint, request string, n pool.Notice, sentAt, now time.Time) {
	c := p.RecordNotice(n, sentAt, now)
	ended := c.Limit && n.Limit == pool.Unlimited
	if ended || c.Leaving || p.LimitReportDue(now, limitReportInterval) {
		// Routers without a share hear of a limit's end from those that have one.
		_, holds := p.LimitSharers()
		e.Notifier.SendNotice(newNoticeMessage(p), ended && holds)
	}
	if c.Rest {
		e.metrics.count("rests_asked", "", "")
	}
	e.logNotice(p, c, zap.String("request", request))
}

// logNotice tells what has changed of what an endpoint said, and who told; mu is held.
func (e *Engine) logNotice(p *pool.Endpoint, c pool.Changes, from zap.Field) {
	if c != (pool.Changes{}) && !e.logLimits.notices.AllowN(e.Now(), 1) {
		e.metrics.count("unlogged_notices", "", "")
		return
	}
	if c.Limit {
		perSecond, named := p.Limit()
		e.Log.Info("relay: An endpoint's limit has changed.", zap.String("endpoint", p.ID), zap.Bool("named", named), zap.Float64("perSecond", perSecond), from)
	}
	if c.Leaving {
		e.Log.Info("relay: An endpoint says that it leaves.", zap.String("endpoint", p.ID), zap.Int64("revision", p.Revision), from)
	}
	if c.Rest {
		e.Log.Info("relay: An endpoint asks for rest.", zap.String("endpoint", p.ID), zap.Time("until", p.RestUntil()), from)
	}
}

// newNoticeMessage returns what is known of what an endpoint said.
func newNoticeMessage(p *pool.Endpoint) NoticeMessage {
	return NoticeMessage{Endpoint: p.Hash(), Incarnation: p.Incarnation(), Notice: p.Notice()}
}

// Notices returns what endpoints said to all, for a router that starts.
func (e *Engine) Notices() (list []NoticeMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.book.WithNotices() {
		list = append(list, newNoticeMessage(p))
	}
	return list
}

// ReceiveNotice takes over what another router, known by its address, told of an endpoint.
func (e *Engine) ReceiveNotice(by netip.Addr, m NoticeMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !(m.PerSecond >= 0) {
		m.Limit = pool.LimitUnspecified
	}
	now := e.Now()
	p, c := e.book.RecordPeerNotice(m.Endpoint, m.Incarnation, m.Notice, now)
	if p == nil {
		return
	}
	e.logNotice(p, c, zap.Stringer("by", by))
	if m.IsAnswer {
		e.receiveLimitAnswer(p, m, now)
	}
}
