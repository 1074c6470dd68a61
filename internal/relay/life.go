// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/pool"
)

// ProbeConn is a connection to an endpoint by which one process is told from the next one at the same address and with the
// same ID: it ends with the process that accepted it. Its functions are safe for concurrent use, but for Ask.
type ProbeConn struct {
	// Ask asks for the endpoint's health until ctx is done. It returns Alive if the endpoint answered after the call, Held if
	// the connection stayed open without an answer, and Ended if it has ended or the answer names another endpoint. last says
	// that the endpoint closes the connection after its answer.
	Ask func(ctx context.Context) (alive Liveness, last bool)
	// Ended is closed once the connection has ended.
	Ended <-chan struct{}
	Close func()
}

// OpenProbe opens a ProbeConn; path is that of the service's health check.
type OpenProbe func(ctx context.Context, p pool.Entry, path string) (*ProbeConn, error)

const (
	// minRestart is the time within which a process that has ended is not followed by one that accepts connections at its
	// address: its end has to be noticed, and the next one has to be loaded.
	minRestart = 100 * time.Millisecond
	// settleTime is the time after which nothing arrives any more of what was under way when a connection was opened, unless
	// a packet was lost.
	settleTime = 200 * time.Millisecond
	// minWait is the shortest wait for bytes that shows that none had arrived before.
	minWait = 5 * time.Millisecond
	// probeInterval is the interval in which an endpoint is asked on a connection that would rest otherwise: endpoints close
	// connections that rest for some seconds. probeAskTimeout limits the wait for the answer.
	probeInterval   = time.Second
	probeAskTimeout = 200 * time.Millisecond
	// lifeLinger is how long a connection that no attempt uses is kept for the next one.
	lifeLinger = 3 * time.Second
	// maxLives is the maximum number of endpoints with such a connection.
	maxLives = 256
)

// life is the time for which one process is known to serve at the address of an endpoint. One goroutine holds its
// connection, until that ends or no attempt has used it for lifeLinger.
type life struct {
	endpoint pool.Entry
	hash     uint64
	open     func(ctx context.Context) (*ProbeConn, error)
	boot     func() time.Duration
	checks   aliveChecks
	// opened is closed when the first connection is open, or could not be opened; ended when the goroutine has ended.
	opened, ended chan struct{}
	// turn has room for a token, which is held while the endpoint is asked or the connection is replaced.
	turn chan struct{}
	// mu guards the fields below.
	mu sync.Mutex
	// conn is nil before the first connection is open, and after the last one has ended.
	conn *ProbeConn
	// since is when the first connection was open, by the clock Engine.Boot; zero if it could not be opened. It is written before opened is closed, and needs
	// no lock after that.
	since time.Duration
	// users counts the attempts that may need the connection, idleSince is when the last of them ended.
	users     int
	idleSince time.Time
}

// lives holds the life of each endpoint that is held at present. The zero value is ready to use.
type lives struct {
	mu     sync.Mutex
	byHash map[uint64]*life
}

// acquireLife returns the life of the endpoint of an attempt, which the attempt must release. It returns nil if there are
// too many.
func (e *Engine) acquireLife(ctx context.Context, a *Attempt) *life {
	e.lives.mu.Lock()
	defer e.lives.mu.Unlock()
	if l := e.lives.byHash[a.hash]; l != nil && l.acquire(&a.Endpoint) {
		return l
	}
	if len(e.lives.byHash) >= maxLives {
		e.metrics.count("lives_refused", "", a.Endpoint.Service)
		return nil
	}
	if e.lives.byHash == nil {
		e.lives.byHash = make(map[uint64]*life)
	}
	p, path := a.Endpoint, e.healthPath(a.Endpoint.Service)
	l := &life{
		endpoint: p, hash: a.hash, boot: e.Boot, users: 1,
		open:   func(ctx context.Context) (*ProbeConn, error) { return e.OpenProbe(ctx, p, path) },
		opened: make(chan struct{}), ended: make(chan struct{}), turn: make(chan struct{}, 1),
	}
	e.lives.byHash[a.hash] = l
	go e.holdLife(context.WithoutCancel(ctx), l)
	return l
}

// acquire adds a user, unless the life has ended or is not that of an entry.
func (l *life) acquire(p *pool.Entry) bool {
	if tasks.IsDone(l.ended) || l.endpoint.Addr != p.Addr || !l.endpoint.StartedAt.Equal(p.StartedAt) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.users++
	return true
}

// release ends the use by an attempt.
func (l *life) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.users--; l.users == 0 {
		l.idleSince = time.Now()
	}
}

// holdLife opens the connection of a life and holds it, until it ends or no attempt uses it any more.
func (e *Engine) holdLife(ctx context.Context, l *life) {
	defer func() {
		e.lives.mu.Lock()
		defer e.lives.mu.Unlock()
		if e.lives.byHash[l.hash] == l {
			delete(e.lives.byHash, l.hash)
		}
		close(l.ended)
	}()
	conn, err := l.open(ctx)
	if err != nil {
		close(l.opened)
		return
	}
	l.mu.Lock()
	l.conn, l.since = conn, l.boot()
	l.mu.Unlock()
	close(l.opened)
	l.hold(ctx)
	l.replace(nil)
}

// hold asks on the connection now and then, until it has ended or no attempt has used it for lifeLinger.
func (l *life) hold(ctx context.Context) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		conn := l.current()
		if conn == nil {
			return
		}
		select {
		case <-conn.Ended:
			// It may have been replaced, or is about to be.
			l.turn <- struct{}{}
			if l.current() == conn {
				l.replace(nil)
			}
			<-l.turn
		case <-t.C:
			inUse, expired := l.usage(time.Now())
			if expired {
				return
			}
			if inUse {
				l.askWithin(ctx, probeAskTimeout)
			}
		}
	}
}

// current returns the connection; nil if it has ended.
func (l *life) current() *ProbeConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// usage reports whether an attempt uses the connection, and whether none has for lifeLinger.
func (l *life) usage(now time.Time) (inUse, expired bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.users > 0, l.users == 0 && now.Sub(l.idleSince) >= lifeLinger
}

// replace sets the connection, which may be nil, and closes the one before.
func (l *life) replace(conn *ProbeConn) {
	l.mu.Lock()
	old := l.conn
	l.conn = conn
	l.mu.Unlock()
	if old != nil {
		old.Close()
	}
}

// check returns Alive if the process that accepted the connection answered after the call, Held if it keeps the connection
// open, and Ended if the connection has ended. Concurrent calls share the questions to the endpoint.
func (l *life) check(ctx context.Context) Liveness {
	select {
	case <-l.opened:
	case <-ctx.Done():
		return LivenessUnknown
	}
	return l.checks.do(ctx, l.hash, func(ctx context.Context) Liveness { return l.askWithin(ctx, probeAskTimeout) })
}

// askWithin asks the endpoint for its health on the connection, at most for a time.
func (l *life) askWithin(ctx context.Context, limit time.Duration) Liveness {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
		// An earlier question is not answered yet.
		if l.current() == nil {
			return Ended
		}
		return Held
	}
	conn := l.current()
	if conn == nil {
		return Ended
	}
	askedAt := l.boot()
	alive, last := conn.Ask(ctx)
	switch {
	case alive == Ended:
		l.replace(nil)
	case last:
		l.reopen(ctx, askedAt)
	}
	return alive
}

// reopen replaces a connection on which the endpoint has given its last answer, to what it was asked at askedAt. The same
// process has the next one if too little time has passed for another to be there.
func (l *life) reopen(ctx context.Context, askedAt time.Duration) {
	conn, err := l.open(ctx)
	if err != nil {
		l.replace(nil)
		return
	}
	if l.boot()-askedAt >= minRestart {
		conn.Close()
		conn = nil
	}
	l.replace(conn)
}

// continuity says what shows that the process that was found alive after an answer is the one that made it; empty if
// nothing does. Every value rests on two facts: the request arrived at a process that lived after sentAt, and the
// connection of a life ends with the process that accepted it.
type continuity string

const (
	notContinuous continuity = ""
	// heldBefore: a connection from before the request was sent has outlived the answer.
	heldBefore continuity = "heldBefore"
	// heldSince: so has one that was opened less than minRestart after the request was sent.
	heldSince continuity = "heldSince"
	// heldDuring: so has one that was opened while the answer was under way: more of it arrived after settleTime.
	heldDuring continuity = "heldDuring"
	// tooSoon: the endpoint answered less than minRestart after the request was sent.
	tooSoon continuity = "tooSoon"
)

// checkHeld returns what is known of the process that has accepted the connection of the attempt's life, and what that
// shows if it lives. A connection that has ended is a sign that the process has, however soon another one answers; one that
// could not be opened says nothing.
func (a *Attempt) checkHeld(ctx context.Context) (Liveness, continuity) {
	held := a.life.check(ctx)
	switch {
	case held == Alive || held == Held:
		return held, a.heldContinuity()
	case held == Ended && a.life.since == 0:
		return LivenessUnknown, notContinuous
	default:
		return held, notContinuous
	}
}

// heldContinuity returns what the life of the attempt's endpoint shows if it has outlived the answer. The life must be
// opened.
func (a *Attempt) heldContinuity() continuity {
	switch since := a.life.since; {
	case since <= a.sentAt:
		return heldBefore
	case since-a.sentAt < minRestart:
		return heldSince
	case a.waitedAt-since >= settleTime:
		return heldDuring
	default:
		return notContinuous
	}
}

// checkOutlived returns what is known of the endpoint of an attempt after the end of its answer, and what shows that its
// process is the one that made the answer. It ends within thrice aliveTimeout.
func (e *Engine) checkOutlived(ctx context.Context, a *Attempt) (Liveness, continuity) {
	if a.life != nil {
		held, by := a.checkHeld(ctx)
		switch {
		case held == Ended:
			return Ended, notContinuous
		case by == notContinuous:
		case held == Alive:
			return Alive, by
		case held == Held && e.checkAlive(ctx, a) == Held:
			// It answers on no connection, as all its slots are taken or it is suspended.
			return Held, by
		}
	}
	alive := e.checkAlive(ctx, a)
	switch {
	case alive != Alive && alive != Held:
		return alive, notContinuous
	case e.restarted(&a.Endpoint):
		return Ended, notContinuous
	case e.Boot()-a.sentAt < minRestart:
		return alive, tooSoon
	default:
		return alive, notContinuous
	}
}

// restarted reports whether the list has another incarnation of an endpoint than an entry.
func (e *Engine) restarted(p *pool.Entry) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.book.Restarted(p)
}

// beginLife has the life of the attempt's endpoint held if its answer may have no announced end.
func (x *run) beginLife(ctx context.Context, a *Attempt) {
	a.sentAt = x.e.Boot()
	if x.e.framings.uncertain(a.Endpoint.Service, x.e.Now()) {
		a.life = x.e.acquireLife(ctx, a)
	}
}

// watchLife records how the answer's end is announced, and has the life of the attempt's endpoint held while one without is
// read.
func (x *run) watchLife(ctx context.Context, a *Attempt, reply *Reply) {
	x.e.framings.record(a.Endpoint.Service, reply.Unframed, x.e.Now())
	if !reply.Unframed {
		return
	}
	if a.life == nil {
		a.life = x.e.acquireLife(ctx, a)
	}
	reply.Body = waitedBody{reply.Body, x.e, a}
}

// endLife ends the attempt's use of the life of its endpoint.
func (a *Attempt) endLife() {
	if a.life != nil {
		a.life.release()
	}
}

// waitedBody is the body of an answer. It records in the attempt when bytes arrived that were waited for.
type waitedBody struct {
	io.ReadCloser
	e *Engine
	a *Attempt
}

// Read implements io.Reader.
func (b waitedBody) Read(buf []byte) (int, error) {
	began := b.e.Boot()
	n, err := b.ReadCloser.Read(buf)
	if now := b.e.Boot(); n > 0 && now-began >= minWait {
		b.a.waitedAt = now
	}
	return n, err
}

const (
	// framingTTL is how long an answer without an announced end lets more of them be expected.
	framingTTL = 10 * time.Minute
	// maxFramings is the maximum number of services that are remembered.
	maxFramings = 4096
)

// framings remembers which services announce the ends of their answers. The zero value is ready to use.
type framings struct {
	mu sync.Mutex
	// unannouncedAt is when an answer of a service last announced no end; zero if each announced it.
	unannouncedAt map[string]time.Time
}

// uncertain reports whether the next answer of a service may have no announced end.
func (f *framings) uncertain(service string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, known := f.unannouncedAt[service]
	return !known || !at.IsZero() && now.Sub(at) < framingTTL
}

// record records the framing of an answer that may be passed on.
func (f *framings) record(service string, unframed bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unannouncedAt == nil || len(f.unannouncedAt) >= maxFramings {
		f.unannouncedAt = make(map[string]time.Time)
	}
	if unframed {
		f.unannouncedAt[service] = now
	} else if _, known := f.unannouncedAt[service]; !known {
		f.unannouncedAt[service] = time.Time{}
	}
}
