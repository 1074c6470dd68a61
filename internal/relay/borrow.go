// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/pool"
)

const (
	// grantTimeout is how long a request that no endpoint takes waits for a grant of another router:
	// an answer takes 3 ms between zones, and some more from a busy one.
	grantTimeout = config.Span(25 * time.Millisecond)
	// grantTTL is how long a grant may be used after it came.
	grantTTL = config.Span(50 * time.Millisecond)
	// limitQueryInterval is how long after a question about an endpoint the next one follows where no answer
	// comes, and the most that an answer delays it.
	limitQueryInterval = config.Span(time.Second)
	// limitQueryRound is how long after a question the next router that shares the limit is asked.
	limitQueryRound = 7 * time.Millisecond
	// maxLimitQueries is how many endpoints are asked about for one request.
	maxLimitQueries = 3
	// limitQueriesPerSecond bounds the questions of a router: with their answers 6 KB a second.
	limitQueriesPerSecond = 60
)

// borrow asks other routers to grant what they may send, where limits leave this one nothing, and
// chooses again once one does; it returns err if none does in time. The shares of routers whose
// callers need them less would be lost otherwise.
func (x *run) borrow(ctx context.Context, now time.Time, err *fault.Error) (*Attempt, *attemptRecord, *fault.Error) {
	ctx, cancel := context.WithDeadline(ctx, grantTimeout.After(now))
	defer cancel()
	round := time.NewTicker(limitQueryRound)
	defer round.Stop()
	draw := x.e.draw()
	granted, queried := x.queryLimits(now, draw, nil)
	for len(queried) > 0 {
		select {
		case <-granted:
			granted = x.e.grantSignal()
			if a, t, again := x.choose(x.e.Now()); again == nil {
				return a, t, nil
			}
		case <-round.C:
			draw++
			granted, queried = x.queryLimits(x.e.Now(), draw, queried)
		case <-ctx.Done():
			return nil, nil, err
		}
	}
	return nil, nil, err
}

// grantSignal returns a channel that is closed when the next answer to a question has come.
func (e *Engine) grantSignal() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limitAnswered
}

// queryLimits asks about some of the endpoints whose limits keep the request from them, drawn at random, or
// once more about those in again: draw tells which of the routers that share each limit. It returns
// those that it asked about, and a channel that is closed when an answer has come.
func (x *run) queryLimits(now time.Time, draw uint64, retry []*pool.Endpoint) (granted <-chan struct{}, queried []*pool.Endpoint) {
	e := x.e
	e.mu.Lock()
	defer e.mu.Unlock()
	list := retry
	if list == nil {
		w := x.want()
		list = e.book.BorrowCandidates(nil, now, &w)
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	for _, p := range list[:min(len(list), maxLimitQueries)] {
		if !e.limitQueries.AllowN(now, 1) {
			break
		}
		p.SetNextQuery(limitQueryInterval.After(now))
		sharers, _ := p.LimitSharers()
		e.Notifier.QueryLimit(newNoticeMessage(p), sharers, draw)
		e.metrics.count("limit_questions", x.route.Name, "")
		queried = append(queried, p)
	}
	return e.limitAnswered, queried
}

// AnswerLimitQuery answers a router that asks for a request out of this one's share of a limit; ok is
// false where there is nothing to say.
func (e *Engine) AnswerLimitQuery(q NoticeMessage) (m NoticeMessage, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.book.ByHash(q.Endpoint)
	if p == nil || p.Incarnation() != q.Incarnation {
		return m, false
	}
	now := e.Now()
	if p.Notice().Limit == pool.LimitUnspecified {
		e.logNotice(p, p.RecordPeerNotice(q.Notice, now), zap.Skip())
	}
	m = newNoticeMessage(p)
	m.IsAnswer = true
	if m.Limit != pool.Limited {
		return m, true
	}
	granted, at := p.Grant(now)
	m.Granted, m.Wait = granted, max(at.Sub(now), 0)
	return m, true
}

// receiveLimitAnswer takes over the answer to a question; mu is held.
func (e *Engine) receiveLimitAnswer(p *pool.Endpoint, m NoticeMessage, now time.Time) {
	if m.Granted {
		p.RecordGrant(grantTTL.After(now))
		p.SetNextQuery(now)
		e.metrics.count("limit_grants", "", "")
	} else {
		// Of several that share the limit another one may have something sooner.
		sharers, _ := p.LimitSharers()
		p.SetNextQuery(now.Add(min(m.Wait, time.Duration(limitQueryInterval)) / time.Duration(max(sharers, 1))))
	}
	close(e.limitAnswered)
	e.limitAnswered = make(chan struct{})
}
