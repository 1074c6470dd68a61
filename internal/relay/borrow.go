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
	// grantWithin is how long a request that no endpoint takes waits for a grant of another router:
	// an answer takes 3 ms between zones, and some more from a busy one.
	grantWithin = config.Span(25 * time.Millisecond)
	// grantFor is how long a grant may be used after it came.
	grantFor = config.Span(50 * time.Millisecond)
	// askAgain is how long after a question about an endpoint the next one follows where no answer
	// comes, and the most that an answer delays it.
	askAgain = config.Span(time.Second)
	// askRound is how long after a question the next router that shares the limit is asked.
	askRound = 7 * time.Millisecond
	// asksMost is how many endpoints are asked about for one request.
	asksMost = 3
	// asksPerSecond bounds the questions of a router: with their answers 6 KB a second.
	asksPerSecond = 60
)

// borrow asks other routers to grant what they may send, where limits leave this one nothing, and
// chooses again once one does; it returns err if none does in time. The shares of routers whose
// callers need them less would be lost otherwise.
func (x *run) borrow(ctx context.Context, now time.Time, err *fault.Error) (*Attempt, *attemptRecord, *fault.Error) {
	ctx, cancel := context.WithDeadline(ctx, grantWithin.After(now))
	defer cancel()
	round := time.NewTicker(askRound)
	defer round.Stop()
	draw := x.e.draw()
	granted, list := x.ask(now, draw, nil)
	for len(list) > 0 {
		select {
		case <-granted:
			granted = x.e.awaitGrant()
			if a, t, again := x.choose(x.e.Now()); again == nil {
				return a, t, nil
			}
		case <-round.C:
			draw++
			granted, list = x.ask(x.e.Now(), draw, list)
		case <-ctx.Done():
			return nil, nil, err
		}
	}
	return nil, nil, err
}

// awaitGrant returns a channel that is closed when the next answer to a question has come.
func (e *Engine) awaitGrant() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limitAnswered
}

// ask asks about some of the endpoints whose limits keep the request from them, drawn at random, or
// once more about those in again: draw tells which of the routers that share each limit. It returns
// those that it asked about, and a channel that is closed when an answer has come.
func (x *run) ask(now time.Time, draw uint64, again []*pool.Endpoint) (granted <-chan struct{}, asked []*pool.Endpoint) {
	e := x.e
	e.mu.Lock()
	defer e.mu.Unlock()
	list := again
	if list == nil {
		w := x.want()
		list = e.book.BorrowCandidates(nil, now, &w)
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	for _, p := range list[:min(len(list), asksMost)] {
		if !e.limitQueries.AllowN(now, 1) {
			break
		}
		p.SetNextQuery(askAgain.After(now))
		holders, _ := p.LimitSharers()
		e.Notifier.Ask(noticeWord(p), holders, draw)
		e.metrics.count("limit_questions", x.route.Name, "")
		asked = append(asked, p)
	}
	return e.limitAnswered, asked
}

// AnswerLimit answers a router that asks for a request out of this one's share of a limit; ok is
// false where there is nothing to say.
func (e *Engine) AnswerLimit(q NoticeWord) (w NoticeWord, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.book.ByHash(q.Endpoint)
	if p == nil || p.Incarnation() != q.Life {
		return w, false
	}
	now := e.Now()
	if p.Notice().Limit == pool.LimitUnspecified {
		e.logNotice(p, p.RecordPeerNotice(q.Notice, now), zap.Skip())
	}
	w = noticeWord(p)
	w.Answers = true
	if w.Limit != pool.Limited {
		return w, true
	}
	granted, at := p.Grant(now)
	w.Granted, w.Wait = granted, max(at.Sub(now), 0)
	return w, true
}

// heardAnswer takes over the answer to a question; mu is held.
func (e *Engine) heardAnswer(p *pool.Endpoint, w NoticeWord, now time.Time) {
	if w.Granted {
		p.RecordGrant(grantFor.After(now))
		p.SetNextQuery(now)
		e.metrics.count("limit_grants", "", "")
	} else {
		// Of several that share the limit another one may have something sooner.
		holders, _ := p.LimitSharers()
		p.SetNextQuery(now.Add(min(w.Wait, time.Duration(askAgain)) / time.Duration(max(holders, 1))))
	}
	close(e.limitAnswered)
	e.limitAnswered = make(chan struct{})
}
