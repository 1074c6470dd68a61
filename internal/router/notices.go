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

// connectNotices connects the engine's notices of endpoints (their limits, and that they are leaving)
// with the exchange of notices between routers.
func (r *Router) connectNotices(notes *peers.Transport) {
	e := r.Engine
	notes.OnNotice = func(by netip.Addr, n peers.Notice) { e.ReceiveNotice(by, relayNotice(n)) }
	notes.OnLimitQuery = func(q peers.LimitQuery) (peers.Notice, bool) {
		limit := pool.Notice{Limit: pool.Limited, PerSecond: q.PerSecond}
		w, ok := e.AnswerLimitQuery(relay.NoticeMessage{Endpoint: q.Endpoint, Incarnation: q.Incarnation, Notice: limit})
		return peerNotice(w), ok
	}
	notes.Notices = func() (list []peers.Notice) {
		for _, w := range e.Notices() {
			list = append(list, peerNotice(w))
		}
		return list
	}
	e.Notifier = relay.Notifier{
		SendNotice: func(w relay.NoticeMessage, all bool) { notes.SendNotice(peerNotice(w), all) },
		QueryLimit: func(w relay.NoticeMessage, holders int, draw uint64) {
			notes.SendLimitQuery(peers.LimitQuery{Endpoint: w.Endpoint, Incarnation: w.Incarnation, PerSecond: w.PerSecond}, holders, draw)
		},
	}
}

// peerNotice returns the notice of an endpoint as it is sent to other routers.
func peerNotice(w relay.NoticeMessage) peers.Notice {
	return peers.Notice{
		Endpoint: w.Endpoint, Incarnation: w.Incarnation, Limit: uint8(w.Limit), PerSecond: w.PerSecond, Leaving: w.Leaving,
		IsAnswer: w.IsAnswer, Granted: w.Granted, WaitMs: uint32(w.Wait.Milliseconds()),
	}
}

// relayNotice returns the notice of an endpoint that was received from another router.
func relayNotice(n peers.Notice) relay.NoticeMessage {
	said := pool.Notice{Limit: pool.LimitStatus(n.Limit), PerSecond: n.PerSecond, Leaving: n.Leaving}
	return relay.NoticeMessage{
		Endpoint: n.Endpoint, Incarnation: n.Incarnation, Notice: said,
		IsAnswer: n.IsAnswer, Granted: n.Granted, Wait: time.Duration(n.WaitMs) * time.Millisecond,
	}
}
