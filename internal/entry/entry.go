// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/claims"
	"github.com/traildrift/traildrift/internal/ledger"
	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/proc"
	"github.com/traildrift/traildrift/internal/secure"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/bill"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/poison"
	"github.com/traildrift/traildrift/pkg/trail"
)

const (
	// maxAnswer bounds one answer, in bytes.
	maxAnswer = 8 << 20
	// handlersMost bounds the link messages that are handled at a time.
	handlersMost = 4096
	// runsMost bounds the requests under way.
	runsMost = 20_000
	// readyLag is how long a stopping entry still takes requests, so that
	// the balancer can see that it is not ready.
	readyLag = config.Span(500 * time.Millisecond)
)

// Entry is one entry process. Use New.
type Entry struct {
	*proc.Proc
	settings Settings
	kill     context.Context
	killNow  context.CancelFunc
	// startedAt is when the process began, with the monotonic clock.
	startedAt  time.Time
	peers      *peers
	keyed      keyed
	names      names
	claims     *claims.Log
	entryLinks entryLinks
	// orders holds the roll-outs' orders that are under way.
	orders sync.Map
	limits limits
	sinks  sinks
	recent recent
	bills  *ledger.Writer[bill.Line]
	trail  *ledger.Writer[trail.Record]
	// runs runs the requests; it is bounded.
	runs *ants.Pool
	// under counts the requests under way.
	under atomic.Int64
	// followers counts the other entries that follow a run of this one.
	followers atomic.Int64
	// seq numbers the requests of this incarnation.
	seq atomic.Uint64
	// stopping says that the balancer should send no more; it never goes
	// back.
	stopping atomic.Bool
	owedMu   sync.Mutex
	// owed holds the guards that must hear of a run's bill.
	owed     map[wire.RunKey]*peer
	listener net.Listener
	counts   counts
	// quarantine holds the requests that crash endpoints.
	quarantine quarantine
}

// counts are the entry's metrics.
type counts struct {
	lateChunks, callersGone, billsLost, trailLost tally.Counter
	under                                         tally.Gauge
}

// New opens the listeners and builds an entry; Run starts it.
func New(s Settings) (*Entry, error) {
	s.fill()
	e := &Entry{settings: s, startedAt: time.Now(), owed: make(map[wire.RunKey]*peer)}
	e.quarantine.book = poison.NewDetector()
	e.peers = &peers{e: e, byVM: make(map[string]*peer)}
	p, err := proc.New(s.Common, proc.Options{
		Role:     store.RoleEntry,
		Handlers: handlersMost,
		OnMove:   func(*config.Snapshot) { e.peers.pokeAll() },
		OnProven: func(*link.Conn) {},
		State:    e.state,
		Explain:  e.explain,
	})
	if err != nil {
		return nil, err
	}
	e.Proc = p
	if e.runs, err = ants.NewPool(runsMost, ants.WithNonblocking(true)); err != nil {
		return nil, err
	}
	if e.listener, err = listen(s); err != nil {
		return nil, err
	}
	e.bills = ledger.New(p.Log, p.Store, ledger.Options[bill.Line]{
		Kind: ledger.KindBills, Prefix: p.Identity.Incarnation, Most: s.RecordsHeld, Every: p.Common.WriteEvery, OnWritten: e.settle,
	})
	e.trail = ledger.New(p.Log, p.Store, ledger.Options[trail.Record]{
		Kind: ledger.KindTrail, Prefix: p.Identity.Incarnation, Most: s.RecordsHeld, Every: p.Common.WriteEvery, Encode: trail.Encode,
	})
	e.claims = claims.New(p.Log, p.Store)
	sc := p.Scope.SubScope("entry")
	e.counts = counts{
		lateChunks:  sc.Counter("late_chunks"),
		callersGone: sc.Counter("callers_gone"),
		billsLost:   sc.Counter("bills_lost"),
		trailLost:   sc.Counter("trail_lost"),
		under:       sc.Gauge("under_way"),
	}
	link.HandleInline(p.Local.Mux, wire.MethodChunk, e.handleChunk)
	link.HandleInline(p.Local.Mux, wire.MethodLoad, e.handleLoad)
	link.Handle(p.Local.Mux, wire.MethodJoin, e.handleJoin)
	link.Handle(p.Local.Mux, wire.MethodClaim, e.handleClaim)
	link.Handle(p.Local.Mux, wire.MethodPing, e.handleAlive)
	return e, nil
}

// listen opens the callers' listener, with TLS if the settings name files.
func listen(s Settings) (net.Listener, error) {
	plain, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return nil, err
	}
	ln := lingering{plain}
	if !s.TLS.Set() {
		return ln, nil
	}
	source, err := secure.NewSource(s.TLS)
	if err != nil {
		_ = ln.Close()
		return nil, err
	}
	return tls.NewListener(ln, source.Server()), nil
}

// Run serves until the stages end it. It returns nil after a planned stop that
// cut off nothing.
func (e *Entry) Run(stages proc.Stages) error {
	e.kill, e.killNow = context.WithCancel(stages.Kill)
	defer e.killNow()
	ctx, end := context.WithCancel(stages.Kill)
	defer end()
	e.Start(ctx)
	http := e.newHTTP()
	e.Tasks.Go(ctx, "callers", func(context.Context) error { return http.Serve(e.listener) })
	e.Tasks.Go(ctx, "settings", func(ctx context.Context) error { return e.Holder.Watch(ctx, e.Store, e.peers.watching) })
	e.Tasks.Go(ctx, "peers", e.peers.follow)
	e.Tasks.Go(ctx, "bills", e.bills.Run)
	e.Tasks.Go(ctx, "trail", e.trail.Run)
	e.Tasks.Go(ctx, "answers", e.sweep)
	e.Tasks.Go(ctx, "rollouts", e.newDriver().Run)
	for n := range claims.Buckets {
		e.Tasks.Go(ctx, "claims", func(ctx context.Context) error { return e.claims.Run(ctx, n) })
	}
	e.Log.Info("entry: Serving.", zap.String("vm", e.Common.VM), zap.Stringer("listen", e.Common.Link))
	<-stages.Stop.Done()
	err := e.stop(stages.Kill, http)
	end()
	e.killNow()
	e.entryLinks.closeAll()
	e.Close()
	e.runs.Release()
	return err
}

// stop ends an entry as planned: not ready, no new work, all answered, all
// written.
func (e *Entry) stop(kill context.Context, http *fasthttp.Server) error {
	e.stopping.Store(true)
	e.Log.Info("entry: Stopping.", zap.Int64("underWay", e.under.Load()))
	tasks.Pause(kill, readyLag.After(time.Now()))
	if err := http.ShutdownWithContext(kill); err != nil {
		return errors.Wrapf(err, "entry: %d requests were cut off", e.under.Load())
	}
	for e.under.Load() > 0 {
		if kill.Err() != nil {
			return errors.Newf("entry: %d requests were cut off", e.under.Load())
		}
		tasks.Pause(kill, stopPoll.After(time.Now()))
	}
	if err := e.Quiet(kill); err != nil {
		return err
	}
	return errors.CombineErrors(e.bills.Flush(kill), e.trail.Flush(kill))
}

// stopPoll is how often a stopping entry looks whether all are answered.
const stopPoll = config.Span(20 * time.Millisecond)
