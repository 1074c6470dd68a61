// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/ledger"
	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/proc"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/bill"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/trail"
)

const (
	// maxAnswer bounds one answer, in bytes.
	maxAnswer = 8 << 20
	// handlersMost bounds the link messages that are handled at a time.
	handlersMost = 4096
	// runsMost bounds the requests under way.
	runsMost = 20_000
	// recordsHeld bounds the bill lines and trail records that wait for the
	// platform.
	recordsHeld = 100_000
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
	peers    *peers
	limits   limits
	sinks    sinks
	recent   recent
	bills    *ledger.Writer[bill.Line]
	trail    *ledger.Writer[trail.Record]
	// runs runs the requests; it is bounded.
	runs *ants.Pool
	// under counts the requests under way.
	under atomic.Int64
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
}

// counts are the entry's metrics.
type counts struct {
	lateChunks, callersGone, billsLost, trailLost tally.Counter
	under                                         tally.Gauge
}

// New opens the listeners and builds an entry; Run starts it.
func New(s Settings) (*Entry, error) {
	s.fill()
	e := &Entry{settings: s, owed: make(map[wire.RunKey]*peer)}
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
	if e.listener, err = net.Listen("tcp", s.Listen.String()); err != nil {
		return nil, err
	}
	e.bills = ledger.New(p.Log, p.Store, ledger.Options[bill.Line]{
		Kind: ledger.KindBills, Prefix: p.Identity.Incarnation, Most: recordsHeld, Every: p.Common.WriteEvery, OnWritten: e.settle,
	})
	e.trail = ledger.New(p.Log, p.Store, ledger.Options[trail.Record]{
		Kind: ledger.KindTrail, Prefix: p.Identity.Incarnation, Most: recordsHeld, Every: p.Common.WriteEvery, Encode: trail.Encode,
	})
	sc := p.Scope.SubScope("entry")
	e.counts = counts{
		lateChunks:  sc.Counter("late_chunks"),
		callersGone: sc.Counter("callers_gone"),
		billsLost:   sc.Counter("bills_lost"),
		trailLost:   sc.Counter("trail_lost"),
		under:       sc.Gauge("under_way"),
	}
	link.Inline(p.Local.Mux, wire.MethodChunk, e.handleChunk)
	return e, nil
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
	e.Log.Info("entry: Serving.", zap.String("vm", e.Common.VM), zap.Stringer("listen", e.Common.Link))
	<-stages.Stop.Done()
	err := e.stop(stages.Kill, http)
	end()
	e.killNow()
	e.Close()
	e.runs.Release()
	return err
}

// stop ends an entry as planned: not ready, no new work, all answered, all
// written.
func (e *Entry) stop(kill context.Context, http *fasthttp.Server) error {
	e.stopping.Store(true)
	e.Log.Info("entry: Stopping.", zap.Int64("underWay", e.under.Load()))
	pause(kill, readyLag.After(time.Now()))
	if err := http.ShutdownWithContext(kill); err != nil {
		return errors.Wrapf(err, "entry: %d requests were cut off", e.under.Load())
	}
	for e.under.Load() > 0 {
		if kill.Err() != nil {
			return errors.Newf("entry: %d requests were cut off", e.under.Load())
		}
		pause(kill, stopPoll.After(time.Now()))
	}
	return errors.CombineErrors(e.bills.Flush(kill), e.trail.Flush(kill))
}

// stopPoll is how often a stopping entry looks whether all are answered.
const stopPoll = config.Span(20 * time.Millisecond)

// pause returns at t, or when ctx is done.
func pause(ctx context.Context, t time.Time) {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// serve takes one parsed call through to its answer.
func (e *Entry) serve(ctx *fasthttp.RequestCtx, call wire.Call, key string) {
	r := e.newRequest(call, key)
	err := e.admit(r)
	if err == nil {
		err = e.start(r)
	}
	if err != nil {
		e.finish(r, 0, err)
	}
	e.answer(ctx, r)
}

// admit checks what needs no endpoint: cutover, session and limits. A request
// that it lets in counts as under way.
func (e *Entry) admit(r *request) *fault.Error {
	v := &r.effective.Values
	if !*v.Enabled {
		return fault.New(fault.NotCutOver, fault.NotRun, "Requests are not served here: enabled is false at %q.", r.effective.Setting("enabled").Origin.Path)
	}
	if err := e.sessionOf(r); err != nil {
		return err
	}
	return e.limits.enter(e.Now(), r.call.Workspace, v)
}

// start runs an admitted request in the bounded pool.
func (e *Entry) start(r *request) *fault.Error {
	e.under.Add(1)
	err := e.runs.Submit(func() {
		defer e.under.Add(-1)
		defer e.limits.leave(r.call.Workspace)
		e.run(r)
	})
	if err == nil {
		return nil
	}
	e.under.Add(-1)
	e.limits.leave(r.call.Workspace)
	return fault.New(fault.Overloaded, fault.NotRun, "The entry has too many requests under way.").At(comeBackAfter.After(e.Now()))
}

// explain returns the trail record of a recent request as JSON.
func (e *Entry) explain(requestID string) ([]byte, bool) {
	rec, ok := e.recent.get(requestID)
	if !ok {
		return nil, false
	}
	rec.Fill()
	body, err := json.Marshal(rec)
	return body, err == nil
}

// dumped is what the dump shows of an entry.
type dumped struct {
	UnderWay  int64        `json:"underWay"`
	Stopping  bool         `json:"stopping"`
	Watching  bool         `json:"watching"`
	Endpoints []dumpedPeer `json:"endpoints"`
	BillsHeld int          `json:"billsHeld"`
	BillsLost int64        `json:"billsLost"`
	TrailHeld int          `json:"trailHeld"`
	TrailLost int64        `json:"trailLost"`
}

type dumpedPeer struct {
	VM        string    `json:"vm"`
	Pool      string    `json:"pool"`
	Linked    bool      `json:"linked"`
	Usable    bool      `json:"usable"`
	Sent      int       `json:"sent"`
	SuspectAt time.Time `json:"suspectAt"`
	Load      wire.Load `json:"load"`
}

func (e *Entry) state() any {
	d := dumped{UnderWay: e.under.Load(), Stopping: e.stopping.Load(), Watching: e.peers.watching()}
	d.BillsHeld, d.BillsLost = e.bills.Held()
	d.TrailHeld, d.TrailLost = e.trail.Held()
	_, list := e.peers.view(e.Now())
	for _, p := range list {
		p.mu.Lock()
		d.Endpoints = append(d.Endpoints, dumpedPeer{p.vm.Name, p.vm.Pool, p.conn != nil, p.usable(e.Now()), p.sent, p.suspectAt, p.load})
		p.mu.Unlock()
	}
	return d
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
