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
func (r *Router) connectNotices(notes *peers.Notes) {
	e := r.Engine
	notes.OnNotice = func(by netip.Addr, n peers.Notice) { e.HeardNotice(by, relayNotice(n)) }
	notes.OnQuestion = func(q peers.LimitQuestion) (peers.Notice, bool) {
		limit := pool.Notice{Limit: pool.Limited, PerSecond: q.PerSecond}
		w, ok := e.AnswerLimit(relay.NoticeWord{Endpoint: q.Endpoint, Life: q.Life, Notice: limit})
		return peerNotice(w), ok
	}
	notes.Notices = func() (list []peers.Notice) {
		for _, w := range e.Notices() {
			list = append(list, peerNotice(w))
		}
		return list
	}
	e.Notifier = relay.Notifier{
		Tell: func(w relay.NoticeWord, all bool) { notes.SendNotice(peerNotice(w), all) },
		Ask: func(w relay.NoticeWord, holders int, draw uint64) {
			notes.AskLimit(peers.LimitQuestion{Endpoint: w.Endpoint, Life: w.Life, PerSecond: w.PerSecond}, holders, draw)
		},
	}
}

// peerNotice returns the notice of an endpoint as it is sent to other routers.
func peerNotice(w relay.NoticeWord) peers.Notice {
	return peers.Notice{
		Endpoint: w.Endpoint, Life: w.Life, Limit: uint8(w.Limit), PerSecond: w.PerSecond, Leaving: w.Leaving,
		Answers: w.Answers, Granted: w.Granted, WaitMs: uint32(w.Wait.Milliseconds()),
	}
}

// relayNotice returns the notice of an endpoint that was received from another router.
func relayNotice(n peers.Notice) relay.NoticeWord {
	said := pool.Notice{Limit: pool.LimitWord(n.Limit), PerSecond: n.PerSecond, Leaving: n.Leaving}
	return relay.NoticeWord{
		Endpoint: n.Endpoint, Life: n.Life, Notice: said,
		Answers: n.Answers, Granted: n.Granted, Wait: time.Duration(n.WaitMs) * time.Millisecond,
	}
}
