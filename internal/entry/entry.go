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
	"github.com/traildrift/traildrift/internal/quota"
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
	// maxAnswerBytes is the maximum size of one answer, in bytes.
	maxAnswerBytes = 8 << 20
	// maxHandlers is the maximum number of link messages that are handled concurrently.
	maxHandlers = 4096
	// maxRuns is the maximum number of tasks in the worker pool: requests, joined runs and
	// orders to guards.
	maxRuns = 20_000
	// drainDelay is how long a stopping entry still accepts requests, so that the load
	// balancer can see that it is no longer ready.
	drainDelay = config.Span(500 * time.Millisecond)
)

// Entry is one entry process. It must be created with New.
type Entry struct {
	*proc.Proc
	settings Settings
	// kill is done when the stop deadline has passed or Run returns; killNow cancels it.
	kill    context.Context
	killNow context.CancelFunc
	// startedAt is when the process started; it holds the monotonic clock.
	startedAt    time.Time
	peers        *peers
	keyedRuns    keyedRuns
	sessionNames sessionNames
	claims       *claims.Log
	linkCache    linkCache
	// activeOrders holds the roll-out orders that are being sent, as vm/model@version.
	activeOrders sync.Map
	limits       limits
	sinks        sinks
	recent       recent
	bills        *ledger.Writer[bill.Line]
	trail        *ledger.Writer[trail.Record]
	// runs is the bounded worker pool that runs the requests.
	runs *ants.Pool
	// inFlight is the number of tasks that were submitted to runs and have not ended.
	inFlight atomic.Int64
	// followers is the number of calls in which other entries follow a run of this one.
	followers atomic.Int64
	// seq is the number of requests that this incarnation has created.
	seq atomic.Uint64
	// stopping is set once a planned stop has begun and is never reset. The load balancer
	// then sees that the entry is not ready.
	stopping atomic.Bool
	// unbilledMu guards unbilled.
	unbilledMu sync.Mutex
	// unbilled holds, for each attempt that was sent and whose bill line is not confirmed
	// yet, the peer whose guard has to be informed of the confirmation.
	unbilled map[wire.RunKey]*peer
	listener net.Listener
	counts   counts
	// quarantine holds the requests that are suspected or known to crash endpoints.
	quarantine quarantine
}

// counts holds the entry's metrics: chunks of ended attempts, callers that closed a
// streamed answer before its end, bill lines and trail records that were dropped, and the
// tasks in flight.
type counts struct {
	lateChunks, callersGone, billsLost, trailLost tally.Counter
	inFlight                                      tally.Gauge
}

// New opens the listeners and returns an entry that Run starts. s must have passed Check;
// unset settings get their defaults.
func New(s Settings) (*Entry, error) {
	s.fill()
	e := &Entry{settings: s, startedAt: time.Now(), unbilled: make(map[wire.RunKey]*peer)}
	e.quarantine.detector = poison.NewDetector()
	e.peers = &peers{e: e, byVM: make(map[string]*peer)}
	p, err := proc.New(s.Common, proc.Options{
		Role:             store.RoleEntry,
		Handlers:         maxHandlers,
		OnSettingsChange: func(*config.Snapshot) { e.peers.requestHeartbeats() },
		OnProven:         func(*link.Conn) {},
		State:            e.state,
		Explain:          e.explain,
	})
	if err != nil {
		return nil, err
	}
	e.Proc = p
	if e.runs, err = ants.NewPool(maxRuns, ants.WithNonblocking(true)); err != nil {
		return nil, err
	}
	if e.listener, err = e.listen(); err != nil {
		return nil, err
	}
	e.bills = ledger.New(p.Log, p.Store, ledger.Options[bill.Line]{
		Kind: ledger.KindBills, Prefix: p.Identity.Incarnation, MaxRecords: s.MaxHeldRecords, FlushInterval: p.Common.WriteEvery, OnWritten: e.markSettled,
	})
	e.trail = ledger.New(p.Log, p.Store, ledger.Options[trail.Record]{
		Kind: ledger.KindTrail, Prefix: p.Identity.Incarnation, MaxRecords: s.MaxHeldRecords, FlushInterval: p.Common.WriteEvery, Encode: trail.Encode,
	})
	e.claims = claims.New(p.Log, p.Store)
	sc := p.Scope.SubScope("entry")
	e.counts = counts{
		lateChunks:  sc.Counter("late_chunks"),
		callersGone: sc.Counter("callers_gone"),
		billsLost:   sc.Counter("bills_lost"),
		trailLost:   sc.Counter("trail_lost"),
		inFlight:    sc.Gauge("under_way"),
	}
	link.HandleInline(p.Local.Mux, wire.MethodChunk, e.handleChunk)
	link.HandleInline(p.Local.Mux, wire.MethodLoad, e.handleLoad)
	link.Handle(p.Local.Mux, wire.MethodJoin, e.handleJoin)
	link.Handle(p.Local.Mux, wire.MethodClaim, e.handleClaim)
	link.Handle(p.Local.Mux, wire.MethodPing, e.handlePing)
	return e, nil
}

// listen opens the listener for callers, with TLS if the settings name its files.
func (e *Entry) listen() (net.Listener, error) {
	s := &e.settings
	o := quota.Options{Name: "callers", MaxConns: e.Limits.Callers}
	if !s.TLS.IsSet() {
		o.Refusal = quota.HTTPRefusal()
	}
	door, err := e.Listen(e.Callers, s.Listen, o)
	if err != nil {
		return nil, err
	}
	ln := lingerListener{door}
	if !s.TLS.IsSet() {
		return ln, nil
	}
	source, err := secure.NewSource(s.TLS)
	if err != nil {
		_ = ln.Close()
		return nil, err
	}
	return tls.NewListener(ln, source.Server()), nil
}

// Run starts the entry and serves until the stages end it. It returns nil after a planned
// stop that interrupted no request.
func (e *Entry) Run(stages proc.Stages) error {
	e.kill, e.killNow = context.WithCancel(stages.Kill)
	defer e.killNow()
	ctx, end := context.WithCancel(stages.Kill)
	defer end()
	e.Start(ctx)
	http := e.newHTTP()
	e.Tasks.Go(ctx, "callers", func(context.Context) error { return http.Serve(e.listener) })
	e.Tasks.Go(ctx, "settings", func(ctx context.Context) error { return e.Holder.Watch(ctx, e.Store, e.peers.watching) })
	e.Tasks.Go(ctx, "peers", e.peers.pollVMs)
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
	e.linkCache.closeAll()
	e.Close()
	e.runs.Release()
	return err
}

// stop performs a planned stop: the entry reports that it is not ready, accepts no new
// requests, finishes those in flight, and writes all bill lines and trail records. It
// returns an error if kill is done first.
func (e *Entry) stop(kill context.Context, http *fasthttp.Server) error {
	e.stopping.Store(true)
	e.Log.Info("entry: Stopping.", zap.Int64("underWay", e.inFlight.Load()))
	tasks.Pause(kill, drainDelay.After(time.Now()))
	if err := http.ShutdownWithContext(kill); err != nil {
		return errors.Wrapf(err, "entry: stop interrupted %d requests", e.inFlight.Load())
	}
	for e.inFlight.Load() > 0 {
		if kill.Err() != nil {
			return errors.Newf("entry: stop interrupted %d requests", e.inFlight.Load())
		}
		tasks.Pause(kill, pollInterval.After(time.Now()))
	}
	if err := e.Drain(kill); err != nil {
		return err
	}
	return errors.CombineErrors(e.bills.Flush(kill), e.trail.Flush(kill))
}

// pollInterval is the interval at which a stopping entry checks for requests in flight, and
// at which catchUp checks for a confirmation of the settings.
const pollInterval = config.Span(20 * time.Millisecond)
