// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/assert"
	"github.com/traildrift/traildrift/internal/ledger"
	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/proc"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/admit"
	"github.com/traildrift/traildrift/pkg/bill"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

const (
	// maxAnswerBytes is the maximum length of one answer.
	maxAnswerBytes = 8 << 20
	// spareHandlers is the maximum number of concurrent handlers of link messages,
	// beyond those of the runs in slots and queue.
	spareHandlers = 128
	// releaseTimeout is how long a leaving guard without runs waits for entries
	// that have not reported Released in a heartbeat.
	releaseTimeout = config.Span(3 * time.Second)
	// tickInterval is the interval between sweeps.
	tickInterval = 100 * time.Millisecond
	// orphanBillDelay is the time from the end of an entry's link to when the guard
	// bills the entry's runs. If the entry reconnects and bills them too, bill.Fold
	// merges both lines.
	orphanBillDelay = config.Span(200 * time.Millisecond)
	// drainPollInterval is how often a leaving guard checks whether it may stop.
	drainPollInterval = 10 * time.Millisecond
	// probeInterval is the interval between probes of the endpoint.
	probeInterval = time.Second
	// maxHeldBills is the maximum number of bill lines that the platform has not
	// confirmed.
	maxHeldBills = 100_000
	// defaultBillAfter is the default of Settings.BillAfter.
	defaultBillAfter = config.Span(30 * time.Second)
)

// Guard is one guard process. It must be created with New.
type Guard struct {
	*proc.Proc
	settings Settings
	endpoint *Endpoint
	// kill is the parent of the contexts of all runs; killNow ends it.
	kill    context.Context
	killNow context.CancelFunc
	// mu protects the fields below, except crashSignal, bills and metrics.
	mu    sync.Mutex
	queue *admit.Queue
	// runs holds the records of runs, with those of ended runs and tombstones.
	runs map[wire.RunKey]*record
	// links holds the newest link of each peer, by incarnation.
	links map[string]*peerLink
	// leaving reports that no new runs are accepted; it is never reset.
	leaving bool
	// down reports that the last probe of the endpoint failed, or that it has
	// crashed since.
	down bool
	// lostAt is when a run last found that the endpoint is down; zero for never.
	lostAt time.Time
	// backoffUntil is when the backoff that the engine asked for ends; it never
	// decreases.
	backoffUntil time.Time
	// versions lists the versions that the engine has loaded, as of the last
	// probe; nil if the engine does not report them.
	versions []string
	// versionLoads holds the loads of versions that are in progress, by
	// model@version.
	versionLoads map[string]*versionLoad
	// fence is the fencing token of the newest order accepted; it never decreases.
	fence int64
	// unbilledLines holds the bill lines of runs that no entry has reported as
	// settled.
	unbilledLines map[wire.RunKey]unbilledLine
	// crashes holds the latest runs that were in progress when the endpoint
	// crashed, by increasing seq. It holds at most maxCrashes.
	crashes []crash
	// crashSeq is the seq of the latest of them, or 0.
	crashSeq uint64
	// crashSignal signals that there are crashes to broadcast.
	crashSignal chan struct{}
	bills       *ledger.Writer[bill.Line]
	metrics     guardMetrics
}

// peerLink is the newest link of a peer.
type peerLink struct {
	conn *link.Conn
	// released reports that the entry knows that the guard is leaving, has no run
	// here and will send none. It is set from the entry's heartbeats.
	released bool
}

// guardMetrics holds the guard's metrics. started counts the runs that were started,
// refused those that were refused on arrival, duplicates those that had arrived
// before, and tombstones the queries of runs that had not arrived. running and
// queued are the numbers of runs in slots and in the queue, as of the last sweep.
type guardMetrics struct {
	started, refused, tombstones, duplicates tally.Counter
	running, queued                          tally.Gauge
}

// New returns a guard that listens but handles nothing until Run. It returns an
// error if a listener cannot be opened or a key file cannot be read.
func New(s Settings) (*Guard, error) {
	if s.BillAfter == 0 {
		s.BillAfter = defaultBillAfter
	}
	g := &Guard{
		settings:      s,
		endpoint:      NewEndpoint(s.Kind, s.Endpoint),
		runs:          make(map[wire.RunKey]*record),
		links:         make(map[string]*peerLink),
		versionLoads:  make(map[string]*versionLoad),
		unbilledLines: make(map[wire.RunKey]unbilledLine),
		crashSignal:   make(chan struct{}, 1),
	}
	limits := admit.Limits{Slots: s.Slots, Reserved: s.Reserved, MaxWaiting: s.Waiting}
	if s.AgeAfter > 0 {
		limits.PromoteAt = s.AgeAfter.After
	}
	g.queue = admit.New(limits)
	p, err := proc.New(s.Common, proc.Options{
		Role:             store.RoleEndpoint,
		Handlers:         s.Slots + s.Waiting + spareHandlers,
		OnSettingsChange: g.onSettingsChange,
		OnProven:         g.onProven,
		State:            g.state,
	})
	if err != nil {
		return nil, err
	}
	g.Proc = p
	g.bills = ledger.New(p.Log, p.Store, ledger.Options[bill.Line]{
		Kind: ledger.KindBills, Prefix: p.Identity.Incarnation, MaxRecords: maxHeldBills, FlushInterval: p.Common.WriteEvery,
	})
	g.initMetrics()
	link.Handle(p.Local.Mux, wire.MethodHeartbeat, g.handleHeartbeat)
	link.Handle(p.Local.Mux, wire.MethodRun, g.handleRun)
	link.Handle(p.Local.Mux, wire.MethodRunQuery, g.handleRunQuery)
	link.HandleInline(p.Local.Mux, wire.MethodCancel, g.handleCancel)
	link.Handle(p.Local.Mux, wire.MethodOrder, g.handleOrder)
	return g, nil
}

// initMetrics registers the metrics.
func (g *Guard) initMetrics() {
	s := g.Scope.SubScope("guard")
	g.metrics = guardMetrics{
		started:    s.Counter("runs_started"),
		refused:    s.Counter("runs_refused"),
		tombstones: s.Counter("tombstones"),
		duplicates: s.Counter("duplicates_refused"),
		running:    s.Gauge("running"),
		queued:     s.Gauge("queued"),
	}
}

// Run serves until stages.Stop is done, then lets the running runs finish. It
// returns an error if stages.Kill is done before they have ended and their bill
// lines are written.
func (g *Guard) Run(stages proc.Stages) error {
	g.kill, g.killNow = context.WithCancel(stages.Kill)
	defer g.killNow()
	ctx, end := context.WithCancel(stages.Kill)
	defer end()
	g.Start(ctx)
	g.Tasks.Go(ctx, "ticks", g.tick)
	g.Tasks.Go(ctx, "alive", g.probeEndpoint)
	g.Tasks.Go(ctx, "crashes", g.broadcastCrashes)
	g.Tasks.Go(ctx, "bills", g.bills.Run)
	g.Log.Info("guard: Serving.", zap.String("vm", g.Common.VM), zap.String("pool", g.settings.Pool))
	<-stages.Stop.Done()
	g.leave()
	err := g.drain(stages.Kill)
	end()
	g.killNow()
	g.Close()
	return err
}

// tick calls sweep at each tickInterval until ctx is done.
func (g *Guard) tick(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			g.sweep(g.Now())
		}
	}
}

// sweep refuses waiting runs whose deadline has passed, evicts old records, removes
// ended links and bills the runs that their entry has not billed in time.
func (g *Guard) sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, it := range g.queue.Expire(now, nil) {
		if r := g.byQueueID(it.ID); r != nil {
			g.tombstone(r, g.refusal(fault.DeadlinePassed, "The deadline passed in the queue."))
		}
	}
	g.admitNext(g.queue.Next(now, nil))
	g.evictRecords(now)
	maps.DeleteFunc(g.links, func(_ string, l *peerLink) bool { return tasks.IsDone(l.conn.Done()) })
	for key, u := range g.unbilledLines {
		if now.After(u.writeAt) {
			g.billLocked(key, u.line)
			continue
		}
		if at := orphanBillDelay.After(now); tasks.IsDone(u.entry.Done()) && at.Before(u.writeAt) {
			u.writeAt = at
			g.unbilledLines[key] = u
		}
	}
	g.metrics.running.Update(float64(g.queue.Running()))
	g.metrics.queued.Update(float64(g.queue.Waiting()))
}

// probeEndpoint probes the endpoint at each probeInterval until ctx is done.
func (g *Guard) probeEndpoint(ctx context.Context) error {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		startedAt := g.Now()
		versions, err := g.endpoint.Probe(ctx)
		g.recordProbe(startedAt, versions, err)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// recordProbe records the result of a probe that began at startedAt. A success says nothing about an endpoint
// that a run has found lost since.
func (g *Guard) recordProbe(startedAt time.Time, versions []string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	down := err != nil || g.lostAt.After(startedAt)
	if g.down != down {
		g.Log.Warn("guard: The availability of the endpoint has changed.", zap.Bool("down", down), logs.Err(err))
	}
	g.down, g.versions = down, versions
}

// onSettingsChange removes the queued runs that the new settings forbid. A version
// that is withdrawn gets no new work, and a queued run has not started yet.
func (g *Guard) onSettingsChange(s *config.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.runs {
		if r.phase != phaseQueued {
			continue
		}
		if refused := g.checkAllowed(s, &r.work); refused != nil && g.queue.Remove(r.queueID()) {
			g.tombstone(r, wire.RunReply{Err: refused})
		}
	}
}

// onProven stores a new link and supersedes the older one of the same incarnation.
func (g *Guard) onProven(c *link.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if old, ok := g.links[c.Peer.Incarnation]; ok {
		old.conn.Supersede()
	}
	g.links[c.Peer.Incarnation] = &peerLink{conn: c}
}

// checkAllowed returns why the settings s forbid to start w, or nil. Work of plain
// services is always allowed.
func (g *Guard) checkAllowed(s *config.Snapshot, w *wire.Work) *fault.Error {
	if w.Model == "" {
		return nil
	}
	v, ok := s.Version(w.Model, w.Version)
	if !ok || v.State == config.StateWithdrawn {
		return fault.New(fault.VersionWithdrawn, fault.NotRun, "%s@%s is withdrawn.", w.Model, w.Version)
	}
	e := s.Effective(w.Workspace, w.Workload, w.District)
	for _, c := range s.Candidates(e) {
		if c.Model == w.Model && c.Version == w.Version {
			return nil
		}
	}
	return fault.New(fault.NotAllowed, fault.NotRun, "The workspace does not allow %s@%s.", w.Model, w.Version)
}

// refusal returns the reply to a run that was not started.
func (g *Guard) refusal(k fault.Kind, message string) wire.RunReply {
	return wire.RunReply{Err: fault.New(k, fault.NotRun, "%s", message)}
}

// byQueueID returns the queued run with the given queue ID, or nil; g.mu is held.
func (g *Guard) byQueueID(id string) *record {
	for _, r := range g.runs {
		if r.phase == phaseQueued && r.queueID() == id {
			return r
		}
	}
	return nil
}

// admitNext passes on the slots of items that the queue has admitted; g.mu is held.
// A run whose link has ended gets a tombstone here, and its slot goes to the next
// one. If its own goroutine did this later, an entry that queries the run in between
// would become its owner, and the orphaned run would start.
func (g *Guard) admitNext(items []admit.Item) {
	for len(items) > 0 {
		it := items[0]
		items = items[1:]
		r := g.byQueueID(it.ID)
		switch {
		case !assert.That(r != nil, "admittedRunIsQueued"):
		case tasks.IsDone(r.owner.Done()):
			g.tombstone(r, g.refusal(fault.EndpointLost, "Nobody follows the run any more."))
			items = g.queue.Done(g.Now(), it.ID, items)
		default:
			close(r.admitted)
		}
	}
}
