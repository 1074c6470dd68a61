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
	// grantTimeout is how long a request that no endpoint accepts waits for a grant of another router.
	// An answer takes 3 ms between availability zones, and longer from a busy router.
	grantTimeout = config.Span(25 * time.Millisecond)
	// grantTTL is how long a grant may be used after it arrived.
	grantTTL = config.Span(50 * time.Millisecond)
	// limitQueryInterval is the time until the next query about an endpoint's limit if no answer
	// arrives, and the maximum by which an answer delays the next query.
	limitQueryInterval = config.Span(time.Second)
	// limitQueryRound is the time after a query until the next router that shares the limit is queried.
	limitQueryRound = 7 * time.Millisecond
	// maxLimitQueries is the maximum number of endpoints whose limits are queried for one request.
	maxLimitQueries = 3
	// limitQueriesPerSecond is the maximum rate of queries of one router. Queries and answers
	// together take 6 KB/s.
	limitQueriesPerSecond = 60
)

// borrow queries other routers for a grant from their shares of endpoints' limits, where this router's
// shares are used up, and chooses again after each answer. It returns err if no endpoint can be chosen
// within grantTimeout. Without grants, the shares of routers whose callers need them less would be lost.
func (x *run) borrow(ctx context.Context, now time.Time, err *fault.Error) (*Attempt, *attemptRecord, *fault.Error) {
	ctx, cancel := context.WithDeadline(ctx, grantTimeout.After(now))
	defer cancel()
	ticker := time.NewTicker(limitQueryRound)
	defer ticker.Stop()
	draw := x.e.Draw()
	answered, queried := x.queryLimits(now, draw, nil)
	for len(queried) > 0 {
		select {
		case <-answered:
			answered = x.e.limitAnswerSignal()
			if a, t, again := x.choose(x.e.Now()); again == nil {
				return a, t, nil
			}
		case <-ticker.C:
			draw++
			answered, queried = x.queryLimits(x.e.Now(), draw, queried)
		case <-ctx.Done():
			return nil, nil, err
		}
	}
	return nil, nil, err
}

// limitAnswerSignal returns a channel that is closed when the next answer to a limit query arrives.
func (e *Engine) limitAnswerSignal() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limitAnswered
}

// queryLimits sends queries about some of the endpoints whose limits prevent the request from being
// sent, drawn at random, or again about the endpoints in retry. draw selects one of the routers that
// share each limit. It returns the endpoints that it queried about, and a channel that is closed when an
// answer arrives.
func (x *run) queryLimits(now time.Time, draw uint64, retry []*pool.Endpoint) (answered <-chan struct{}, queried []*pool.Endpoint) {
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

// AnswerLimitQuery answers the query of another router for one request out of this router's share of an
// endpoint's limit. If no limit is known here, it adopts the one in the query. ok is false if there is
// nothing to answer, as the endpoint or its incarnation is unknown here.
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

// receiveLimitAnswer applies the answer to a limit query and wakes the requests that wait for one; mu is
// held.
func (e *Engine) receiveLimitAnswer(p *pool.Endpoint, m NoticeMessage, now time.Time) {
	if m.Granted {
		p.RecordGrant(grantTTL.After(now))
		p.SetNextQuery(now)
		e.metrics.count("limit_grants", "", "")
	} else {
		// Another router that shares the limit may be able to grant a request sooner.
		sharers, _ := p.LimitSharers()
		p.SetNextQuery(now.Add(min(m.Wait, time.Duration(limitQueryInterval)) / time.Duration(max(sharers, 1))))
	}
	close(e.limitAnswered)
	e.limitAnswered = make(chan struct{})
}
