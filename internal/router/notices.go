// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"net/netip"
	"time"

	"github.com/traildrift/traildrift/internal/peers"
	"github.com/traildrift/traildrift/internal/relay"
	"github.com/traildrift/traildrift/pkg/pool"
)

// connectNotices connects the engine with the transport for notices about endpoints (their limits, and
// that they are leaving): received notices and limit queries go to the engine, and those of the engine
// are sent to other routers.
func (r *Router) connectNotices(transport *peers.Transport) {
	e := r.Engine
	transport.OnNotice = func(by netip.Addr, n peers.Notice) { e.ReceiveNotice(by, relayNotice(n)) }
	transport.OnLimitQuery = func(q peers.LimitQuery) (peers.Notice, bool) {
		limit := pool.Notice{Limit: pool.Limited, PerSecond: q.PerSecond}
		answer, ok := e.AnswerLimitQuery(relay.NoticeMessage{Endpoint: q.Endpoint, Incarnation: q.Incarnation, Notice: limit})
		return peerNotice(answer), ok
	}
	transport.Notices = func() (list []peers.Notice) {
		for _, n := range e.Notices() {
			list = append(list, peerNotice(n))
		}
		return list
	}
	e.Notifier = relay.Notifier{
		SendNotice: func(n relay.NoticeMessage, all bool) { transport.SendNotice(peerNotice(n), all) },
		QueryLimit: func(query relay.NoticeMessage, holders int, draw uint64) {
			transport.SendLimitQuery(peers.LimitQuery{Endpoint: query.Endpoint, Incarnation: query.Incarnation, PerSecond: query.PerSecond}, holders, draw)
		},
	}
}

// peerNotice converts a notice of the engine to the message that is sent to other routers. The wait is
// sent in whole milliseconds.
func peerNotice(n relay.NoticeMessage) peers.Notice {
	return peers.Notice{
		Endpoint: n.Endpoint, Incarnation: n.Incarnation, Limit: uint8(n.Limit), PerSecond: n.PerSecond, Leaving: n.Leaving,
		IsAnswer: n.IsAnswer, Granted: n.Granted, WaitMs: uint32(n.Wait.Milliseconds()),
	}
}

// relayNotice converts a notice that was received from another router to one of the engine.
func relayNotice(n peers.Notice) relay.NoticeMessage {
	notice := pool.Notice{Limit: pool.LimitStatus(n.Limit), PerSecond: n.PerSecond, Leaving: n.Leaving}
	return relay.NoticeMessage{
		Endpoint: n.Endpoint, Incarnation: n.Incarnation, Notice: notice,
		IsAnswer: n.IsAnswer, Granted: n.Granted, Wait: time.Duration(n.WaitMs) * time.Millisecond,
	}
}
