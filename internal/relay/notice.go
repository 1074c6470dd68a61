// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/pool"
)

// NoticeMessage is the message in which routers send each other what an endpoint announced, query each other
// about its limit, and answer such queries.
type NoticeMessage struct {
	// Endpoint is the hash of the endpoint's ID. Incarnation identifies the run of the endpoint, from
	// one start to the next, that sent the notice.
	Endpoint, Incarnation uint64
	pool.Notice
	// IsAnswer says that the message answers a query, and Granted that the receiver may send one request
	// in place of the sender.
	IsAnswer, Granted bool
	// Wait is the time from the receipt of the message until the sender can grant a request again.
	Wait time.Duration
}

// Notifier sends notices of endpoints, and queries about their limits, to other routers. The owner of the
// Engine sets its functions.
type Notifier struct {
	// SendNotice sends a notice to some of the other routers, or to all.
	SendNotice func(m NoticeMessage, all bool)
	// QueryLimit asks one of the sharers of an endpoint's limit to grant a request. sharers is their
	// number, and draw selects one.
	QueryLimit func(m NoticeMessage, sharers int, draw uint64)
}

// noopNotifier is the Notifier of a router without peers.
var noopNotifier = Notifier{SendNotice: func(NoticeMessage, bool) {}, QueryLimit: func(NoticeMessage, int, uint64) {}}

// limitReportInterval is the time between repeated notices of a limit that an endpoint's answers still
// name, for routers that missed it. With 300 routers in front of 1,400 endpoints that all name a limit,
// this takes 10 KB/s per router.
const limitReportInterval = 3 * time.Second

// recordNotice applies the notice in an endpoint's answer to a request whose attempt was sent at sentAt;
// mu is held. It sends the notice to other routers if the endpoint lifted its limit or began to leave, or
// if a report of its limit is due.
func (e *Engine) recordNotice(p *pool.Endpoint, request string, n pool.Notice, sentAt, now time.Time) {
	c := p.RecordNotice(n, sentAt, now)
	lifted := c.Limit && n.Limit == pool.Unlimited
	if lifted || c.Leaving || p.LimitReportDue(now, limitReportInterval) {
		// Routers without a share learn from those with one that a limit was lifted.
		_, hasShare := p.LimitSharers()
		e.Notifier.SendNotice(newNoticeMessage(p), lifted && hasShare)
	}
	if c.Rest {
		e.metrics.count("rests_asked", "", "")
	}
	e.logNotice(p, c, zap.String("request", request))
}

// logNotice logs the changes that an endpoint's notice made, and the request or the router that it came
// from; mu is held.
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
		e.Log.Info("relay: An endpoint says that it leaves.", zap.String("endpoint", p.ID), zap.Stringer("revision", p.Revision), from)
	}
	if c.Rest {
		e.Log.Info("relay: An endpoint asks for rest.", zap.String("endpoint", p.ID), zap.Time("until", p.RestUntil()), from)
	}
}

// newNoticeMessage returns the message with an endpoint's latest notice.
func newNoticeMessage(p *pool.Endpoint) NoticeMessage {
	return NoticeMessage{Endpoint: p.Hash(), Incarnation: p.Incarnation(), Notice: p.Notice()}
}

// Notices returns the notices of all endpoints that sent any, for a router that starts.
func (e *Engine) Notices() (list []NoticeMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.book.WithNotices() {
		list = append(list, newNoticeMessage(p))
	}
	return list
}

// ReceiveNotice applies a notice, or the answer to a limit query, from the router at address by. It ignores
// a limit that is not a number of 0 or more.
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
