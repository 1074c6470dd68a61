// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"slices"
	"time"

	"github.com/traildrift/traildrift/pkg/blame"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/pool"
)

// Gone reports whether nothing listens at an endpoint's address any more: a connection is
// refused there. known is false where nothing came back: a VM that is silent or cut off, or
// a packet that was lost.
type Gone func(ctx context.Context, p pool.Entry) (gone, known bool)

const (
	// endedFor is how long after an endpoint was found gone what breaks off there is put
	// down to the same end. Endpoints are back after a second at the earliest.
	endedFor = time.Second
	// lingersFor is how long after its last attempt was left a request may still be what
	// ends the endpoint: a run that the router dropped ends it as well, also one that waited
	// there, for half a second in a busy service.
	lingersFor = 2500 * time.Millisecond
	// goneWithin bounds the question whether an endpoint is gone, which a failed request
	// waits for: a refusal takes as long as a connection, 4 ms between zones.
	goneWithin = 100 * time.Millisecond
	// goneAsks is how often that is asked before it stays open: of four, one comes back
	// where each packet is lost with a chance of three in ten.
	goneAsks = 4
	// aboardMost bounds the requests that are remembered of one endpoint; the users'
	// endpoints run 64 at a time, some of which have just ended.
	aboardMost = 256
)

// stay is a request at an endpoint, from when it was sent until a while after it was left.
type stay struct {
	// attempt is the attempt while it is under way, then nil: it holds the body.
	attempt *Attempt
	// id and print name the request; print is zero while it is under way.
	id    string
	print blame.Print
	// sentAt is when it was sent.
	sentAt time.Time
	// leftAt is when it was left without a whole answer; zero while it is under way.
	leftAt time.Time
	// counted says that the endpoint's end was counted for it.
	counted bool
	// suspect says that an endpoint ended under it before.
	suspect bool
}

// name returns the print of the request.
func (s *stay) name() blame.Print {
	if s.attempt != nil {
		return s.attempt.print()
	}
	return s.print
}

// forgotten reports whether it was left too long ago to be what ends the endpoint.
func (s *stay) forgotten(now time.Time) bool {
	return !s.leftAt.IsZero() && now.Sub(s.leftAt) > lingersFor
}

// aboard is what an endpoint may be running.
type aboard struct {
	stays []*stay
	// goneAt is when the endpoint was found gone; zero for never.
	goneAt time.Time
	// asking is closed once the question whether it is gone is answered; nil if nobody
	// asks.
	asking chan struct{}
	// asked is how often that was asked in a row without anything coming back.
	asked int
}

// open reports whether there are requests that the endpoint's end was not counted for.
func (b *aboard) open(now time.Time) bool {
	return slices.ContainsFunc(b.stays, func(s *stay) bool { return !s.counted && !s.forgotten(now) })
}

// drop takes a request out.
func (b *aboard) drop(s *stay) {
	b.stays = slices.DeleteFunc(b.stays, func(q *stay) bool { return q == s })
}

// board notes a request that is sent to an endpoint; mu is held.
func (e *Engine) board(a *Attempt) {
	b := entryOf(e.aboard, a.hash)
	if len(b.stays) >= aboardMost {
		b.stays = b.stays[1:]
	}
	a.stay = &stay{attempt: a, id: a.Request.ID, sentAt: e.Now(), suspect: !e.blames.Empty() && e.blames.Ends(a.print()) > 0}
	b.stays = append(b.stays, a.stay)
}

// leaves notes that an attempt has ended; mu is held.
func (e *Engine) leaves(a *Attempt, now time.Time) {
	if a.harmless {
		entryOf(e.aboard, a.hash).drop(a.stay)
		return
	}
	a.stay.print, a.stay.leftAt, a.stay.attempt = a.print(), now, nil
}

// named returns what repeats of a workspace's request have in common; the engine's mu is held.
func (r *Request) named(workspace string) blame.Print {
	if r.print == (blame.Print{}) {
		asked := blame.Asked{Method: r.Method, Host: r.Host, Path: r.Path, Query: r.Target[min(len(r.Path), len(r.Target)):], Caller: workspace, Body: r.Body}
		r.print = asked.Print()
	}
	return r.print
}

// print returns the name of the attempt's request; mu is held.
func (a *Attempt) print() blame.Print { return a.Request.named(a.Workspace) }

// print returns the name of the request; the engine's mu is held.
func (x *run) print() blame.Print {
	if x.workspace == nil {
		return x.r.named("")
	}
	return x.r.named(x.workspace.Name)
}

// sweepAboard forgets what was left a while ago.
func (e *Engine) sweepAboard(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for hash, b := range e.aboard {
		b.stays = slices.DeleteFunc(b.stays, func(s *stay) bool { return s.forgotten(now) })
		if len(b.stays) == 0 && b.asking == nil && now.Sub(b.goneAt) > endedFor {
			delete(e.aboard, hash)
		}
	}
}

// broken reports whether an attempt's connection ended by itself, or could not be opened.
func broken(err *fault.Error, t *try) bool {
	return err.Kind == fault.EndpointLost && t.Outcome != outcomeSilent
}

// askGone finds out whether the endpoint of an attempt that broke off has ended, and counts
// that for the requests that it may have been running. Those that ask at once ask together.
func (e *Engine) askGone(ctx context.Context, a *Attempt) {
	e.mu.Lock()
	b := entryOf(e.aboard, a.hash)
	if a.harmless {
		b.drop(a.stay)
	}
	now := e.Now()
	if !b.open(now) {
		e.mu.Unlock()
		return
	}
	if now.Sub(b.goneAt) <= endedFor {
		e.countEnd(&a.Endpoint, b, now)
		e.mu.Unlock()
		return
	}
	asking := b.asking
	if asking == nil {
		b.asking = make(chan struct{})
	}
	e.mu.Unlock()
	if asking == nil {
		e.findGone(ctx, a.Endpoint, b)
		return
	}
	select {
	case <-asking:
	case <-ctx.Done():
	}
}

// findGone asks whether an endpoint has ended, for all who ask, and counts it if it has.
func (e *Engine) findGone(ctx context.Context, p pool.Entry, b *aboard) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), goneWithin)
	defer cancel()
	gone, known := e.Gone(ctx, p)
	e.mu.Lock()
	defer e.mu.Unlock()
	close(b.asking)
	b.asking = nil
	if b.asked++; known {
		b.asked = 0
	} else if b.asked%goneAsks != 0 {
		e.doubt(pool.HashOf(p.ID))
	}
	if gone {
		b.goneAt = e.Now()
		e.counts.count("endpoints_ended", "", p.Service)
		e.countEnd(&p, b, b.goneAt)
	}
}

// doubt has it asked whether an endpoint has ended, if it may be running what that would be
// counted for; mu is held. Where too many are in doubt already, what follows shows it.
func (e *Engine) doubt(hash uint64) {
	b, p := e.aboard[hash], e.book.ByHash(hash)
	if b == nil || p == nil || !b.open(e.Now()) {
		return
	}
	select {
	case e.doubts <- p.Entry:
	default:
	}
}

// doubtsMost bounds the endpoints that are in doubt at a time.
const doubtsMost = 64

// WatchEnds asks whether endpoints have ended that others found failing, or at which a request
// was dropped under which another one ended, and judges the requests that are suspected, until
// ctx is done.
func (e *Engine) WatchEnds(ctx context.Context) error {
	settled := time.NewTimer(0)
	defer settled.Stop()
	for waiting := true; ; {
		select {
		case p := <-e.doubts:
			e.askDoubt(ctx, p)
		case <-e.judging:
			if !waiting {
				settled.Reset(blame.SettleFor)
			}
			waiting = true
		case <-settled.C:
			if waiting = e.judge(); waiting {
				settled.Reset(blame.SettleFor / 2)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (e *Engine) askDoubt(ctx context.Context, p pool.Entry) {
	e.mu.Lock()
	b, now := e.aboard[pool.HashOf(p.ID)], e.Now()
	if b == nil || b.asking != nil || !b.open(now) {
		e.mu.Unlock()
		return
	}
	b.asking = make(chan struct{})
	e.mu.Unlock()
	e.findGone(ctx, p, b)
}

// countEnd counts the end of an endpoint for the requests that it may have been running; mu
// is held. One that was about to leave has ended as planned.
func (e *Engine) countEnd(p *pool.Entry, b *aboard, now time.Time) {
	known := e.book.Get(p.ID)
	if known == nil || known.Leaves() {
		return
	}
	for _, s := range b.stays {
		if s.counted || s.forgotten(now) {
			continue
		}
		s.counted = true
		e.strike(s, p, known.Hash(), len(b.stays)-1, now)
		e.doubtOthers(s.name(), b)
	}
}

// doubtOthers has it asked whether the other endpoints have ended at which a request is or was
// until a moment ago: a run that the router dropped ends its endpoint unseen. mu is held.
func (e *Engine) doubtOthers(p blame.Print, than *aboard) {
	for hash, b := range e.aboard {
		its := func(s *stay) bool { return !s.counted && !s.leftAt.IsZero() && s.print == p }
		if b != than && slices.ContainsFunc(b.stays, its) {
			e.doubt(hash)
		}
	}
}
