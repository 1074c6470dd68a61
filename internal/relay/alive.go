// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/pool"
)

// Liveness is what is known of the process of an endpoint.
type Liveness string

// The states. The kernel closes the connections of a process that is killed, in the same way as the process closes one
// whose answer has ended.
const (
	LivenessUnknown Liveness = "unknown"
	// Alive says that the process answered after the check began, Held that it held a connection open, as the kernel
	// also does for a process that is suspended.
	Alive Liveness = "alive"
	Held  Liveness = "held"
	// Ended says that nothing listens at the address, or another process does.
	Ended Liveness = "ended"
)

// CheckAlive checks whether the process of an endpoint is alive, until ctx is done. path is that of the service's health
// check.
type CheckAlive func(ctx context.Context, p pool.Entry, path string) Liveness

const (
	// aliveTimeout limits a check, for which the end of an answer waits. An endpoint that lives answers within the
	// time of a round trip or two.
	aliveTimeout = 500 * time.Millisecond
	// defaultHealthPath is the path of the health check of a service whose configuration names none.
	defaultHealthPath = "/health"
)

// errEndUnconfirmed ends an answer without an announced end of whose endpoint it is not known that it outlived the
// answer.
var errEndUnconfirmed = errors.New("relay: the connection was closed, and nothing shows that the endpoint's process outlived it")

// errNoProbe is the error of opening a ProbeConn where there are none.
var errNoProbe = errors.New("relay: no probe connections")

// errEndUnannounced ends a stream whose caller was promised an announced end, if the endpoint that went on with it has
// announced none.
var errEndUnannounced = errors.New("relay: the rest of the stream has no announced end")

// confirmEnd returns nil if the caller may be told the end of an answer that was read to its end: the endpoint has
// announced it, or, where neither it nor the head that the caller has announces an end, the endpoint's process outlived
// it. The next process of an endpoint has the same ID and address.
func (x *run) confirmEnd(ctx context.Context, a *Attempt, reply *Reply, t *attemptRecord) error {
	if !reply.Unframed {
		return nil
	}
	if x.headSent && x.told != endConnection {
		return errEndUnannounced
	}
	ended := x.e.Now()
	t.Liveness, t.Continuity = x.e.checkOutlived(ctx, a)
	t.CheckMillis = x.e.Now().Sub(ended).Milliseconds()
	t.SentStart, t.ListedStart = a.Endpoint.StartedAt, x.e.listedStart(a.Endpoint.ID)
	if t.Continuity == notContinuous {
		x.e.metrics.count("unannounced_ends", x.route.Name, string(t.Liveness))
		return errEndUnconfirmed
	}
	x.e.metrics.count("unannounced_ends", x.route.Name, string(t.Continuity))
	return nil
}

// checkAlive checks whether a process serves as the endpoint of an attempt after the call. It ends within twice aliveTimeout.
func (e *Engine) checkAlive(ctx context.Context, a *Attempt) Liveness {
	path := e.healthPath(a.Endpoint.Service)
	return e.aliveChecks.do(ctx, a.hash, func(ctx context.Context) Liveness {
		ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
		defer cancel()
		return e.CheckAlive(ctx, a.Endpoint, path)
	})
}

// healthPath returns the path of the health check of a service's endpoints.
func (e *Engine) healthPath(service string) string {
	if t := e.table.Load(); t != nil {
		return t.healthPath(service)
	}
	return defaultHealthPath
}

// aliveChecks runs one check at a time of each endpoint. All callers that come while one is running share the next,
// which begins after they came. The zero value is ready to use.
type aliveChecks struct {
	mu sync.Mutex
	// running and next hold checks by the endpoint's hash.
	running, next map[uint64]*aliveCheck
}

// aliveCheck is a check of an endpoint.
type aliveCheck struct {
	// done is closed when result is set.
	done   chan struct{}
	result Liveness
}

// do returns the result of a check that begins after the call; LivenessUnknown if ctx ends before it.
func (l *aliveChecks) do(ctx context.Context, hash uint64, check func(ctx context.Context) Liveness) Liveness {
	c := l.join(ctx, hash, check)
	select {
	case <-c.done:
		return c.result
	case <-ctx.Done():
		return LivenessUnknown
	}
}

// join returns a check that has not begun yet, and starts its goroutine if there is none. It goes on after ctx, as others
// share it.
func (l *aliveChecks) join(ctx context.Context, hash uint64, check func(ctx context.Context) Liveness) *aliveCheck {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running == nil {
		l.running, l.next = make(map[uint64]*aliveCheck), make(map[uint64]*aliveCheck)
	}
	if c := l.next[hash]; c != nil {
		return c
	}
	c := &aliveCheck{done: make(chan struct{})}
	before := l.running[hash]
	if before == nil {
		l.running[hash] = c
	} else {
		l.next[hash] = c
	}
	go l.run(context.WithoutCancel(ctx), hash, c, before, check)
	return c
}

// run makes a check once the one before it, if any, has ended.
func (l *aliveChecks) run(ctx context.Context, hash uint64, c, before *aliveCheck, check func(ctx context.Context) Liveness) {
	if before != nil {
		<-before.done
		l.mu.Lock()
		l.running[hash] = c
		delete(l.next, hash)
		l.mu.Unlock()
	}
	c.result = check(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[hash] == c {
		delete(l.running, hash)
	}
	close(c.done)
}

// livenessFields returns the log fields of what was found of the endpoint after an unannounced end; none if that was not
// checked.
func (t *attemptRecord) livenessFields() []zap.Field {
	if t.Liveness == "" {
		return nil
	}
	return []zap.Field{zap.String("endpointAfter", string(t.Liveness)), zap.String("sameProcess", string(t.Continuity)), zap.Int64("checkMs", t.CheckMillis), startField("sentStart", t.SentStart), startField("listedStart", t.ListedStart)}
}

// startField returns the log field of when an incarnation started; it is skipped if that is not known.
func startField(name string, at time.Time) zap.Field {
	if at.IsZero() {
		return zap.Skip()
	}
	return zap.Time(name, at)
}

// listedStart returns when the listed incarnation of an endpoint started; zero if it is not listed.
func (e *Engine) listedStart(id string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.book.Get(id); p != nil {
		return p.StartedAt
	}
	return time.Time{}
}
