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

// shareNotices connects what the engine knows of what endpoints said with what routers tell one
// another.
func (r *Router) shareNotices(notes *peers.Transport) {
	e := r.Engine
	notes.OnNotice = func(by netip.Addr, n peers.Notice) { e.HeardNotice(by, wordOf(n)) }
	notes.OnLimitQuery = func(q peers.LimitQuery) (peers.Notice, bool) {
		limit := pool.Notice{Limit: pool.Limited, PerSecond: q.PerSecond}
		w, ok := e.AnswerLimit(relay.NoticeWord{Endpoint: q.Endpoint, Life: q.Incarnation, Notice: limit})
		return noticeOf(w), ok
	}
	notes.Notices = func() (list []peers.Notice) {
		for _, w := range e.Notices() {
			list = append(list, noticeOf(w))
		}
		return list
	}
	e.Notifier = relay.Notifier{
		Tell: func(w relay.NoticeWord, all bool) { notes.SendNotice(noticeOf(w), all) },
		Ask: func(w relay.NoticeWord, holders int, draw uint64) {
			notes.SendLimitQuery(peers.LimitQuery{Endpoint: w.Endpoint, Incarnation: w.Life, PerSecond: w.PerSecond}, holders, draw)
		},
	}
}

// noticeOf returns what an endpoint said as it is told to other routers.
func noticeOf(w relay.NoticeWord) peers.Notice {
	return peers.Notice{
		Endpoint: w.Endpoint, Incarnation: w.Life, Limit: uint8(w.Limit), PerSecond: w.PerSecond, Leaving: w.Leaving,
		IsAnswer: w.Answers, Granted: w.Granted, WaitMs: uint32(w.Wait.Milliseconds()),
	}
}

// wordOf returns what another router told of an endpoint.
func wordOf(n peers.Notice) relay.NoticeWord {
	said := pool.Notice{Limit: pool.LimitStatus(n.Limit), PerSecond: n.PerSecond, Leaving: n.Leaving}
	return relay.NoticeWord{
		Endpoint: n.Endpoint, Life: n.Incarnation, Notice: said,
		Answers: n.IsAnswer, Granted: n.Granted, Wait: time.Duration(n.WaitMs) * time.Millisecond,
	}
}
