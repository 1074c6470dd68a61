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
	// maxAnswerBytes bounds one answer, in bytes.
	maxAnswerBytes = 8 << 20
	// spareHandlers is how many link messages beyond runs are handled at a
	// time.
	spareHandlers = 128
	// releaseTimeout bounds how long a leaving guard without runs waits for entries
	// that do not say that they know.
	releaseTimeout = config.Span(3 * time.Second)
	// tickInterval is how often deadlines are looked at.
	tickInterval = 100 * time.Millisecond
	// orphanBillDelay is how long after the end of an entry's link its runs are
	// billed here; if the entry comes back and bills them too, folding makes
	// one line of both.
	orphanBillDelay = config.Span(200 * time.Millisecond)
	// drainPollInterval is how often a leaving guard looks whether it is done.
	drainPollInterval = 10 * time.Millisecond
	// probeInterval is how often the endpoint is tried.
	probeInterval = time.Second
	// maxHeldBills bounds the bill lines that wait for the platform.
	maxHeldBills = 100_000
	// defaultBillAfter is how long after a run's deadline the guard waits for
	// an entry to bill it.
	defaultBillAfter = config.Span(30 * time.Second)
)

// Guard is one guard process. Use New.
type Guard struct {
	*proc.Proc
	settings Settings
	endpoint *Endpoint
	kill     context.Context
	killNow  context.CancelFunc
	mu       sync.Mutex
	queue    *admit.Queue
	runs     map[wire.RunKey]*record
	// links holds the newest link of each peer incarnation.
	links map[string]*peerLink
	// leaving says that no new work is taken; it never goes back.
	leaving bool
	down    bool
	// backoffUntil is until when the engine wants no run; it only grows.
	backoffUntil time.Time
	// versions lists what the engine has loaded; nil if it does not say.
	versions []string
	// versionLoads holds the versionLoads of versions that are under way.
	versionLoads map[string]*versionLoad
	// fence is the highest one of the orders taken; it only grows.
	fence int64
	// unbilledLines holds the lines that no entry has confirmed yet.
	unbilledLines map[wire.RunKey]unbilledLine
	// crashes are the latest runs under which the endpoint crashed, by their rising numbers;
	// crashSeq is the last of these. crashed says that there are new ones.
	crashes     []crash
	crashSeq    uint64
	crashSignal chan struct{}
	bills       *ledger.Writer[bill.Line]
	metrics     guardMetrics
}

// peerLink is the newest link of an entry.
type peerLink struct {
	conn *link.Conn
	// released says that the entry has no run here and will send none, as it
	// knows that the guard is leaving.
	released bool
}

// guardMetrics are the guard's metrics.
type guardMetrics struct {
	started, refused, tombstones, duplicates tally.Counter
	running, queued                          tally.Gauge
}

// New builds a guard; Run starts it.
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
		Role:     store.RoleEndpoint,
		Handlers: s.Slots + s.Waiting + spareHandlers,
		OnMove:   g.onSettingsChange,
		OnProven: g.onProven,
		State:    g.state,
	})
	if err != nil {
		return nil, err
	}
	g.Proc = p
	g.bills = ledger.New(p.Log, p.Store, ledger.Options[bill.Line]{
		Kind: ledger.KindBills, Prefix: p.Identity.Incarnation, Most: maxHeldBills, Every: p.Common.WriteEvery,
	})
	g.initMetrics()
	link.Handle(p.Local.Mux, wire.MethodHeartbeat, g.handleHeartbeat)
	link.Handle(p.Local.Mux, wire.MethodRun, g.handleRun)
	link.Handle(p.Local.Mux, wire.MethodRunQuery, g.handleRunQuery)
	link.HandleInline(p.Local.Mux, wire.MethodCancel, g.handleCancel)
	link.Handle(p.Local.Mux, wire.MethodOrder, g.handleOrder)
	return g, nil
}

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

// Run serves until the stages end it. It returns nil after a planned stop
// that cut off nothing.
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

// tick looks at deadlines until ctx is done.
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

// sweep expires waiting runs, forgets old ones and bills orphans.
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

// probeEndpoint tries the endpoint until ctx is done.
func (g *Guard) probeEndpoint(ctx context.Context) error {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		versions, err := g.endpoint.Probe(ctx)
		g.mu.Lock()
		changed := g.down != (err != nil)
		g.down = err != nil
		g.versions = versions
		g.mu.Unlock()
		if changed {
			g.Log.Warn("guard: The endpoint has changed.", zap.Bool("down", err != nil), logs.Err(err))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// onSettingsChange takes withdrawn versions out of the queue: queued work is new work.
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

// onProven replaces the older link of the same incarnation.
func (g *Guard) onProven(c *link.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if old, ok := g.links[c.Peer.Incarnation]; ok {
		old.conn.Supersede()
	}
	g.links[c.Peer.Incarnation] = &peerLink{conn: c}
}

// checkAllowed returns why the settings forbid new work, or nil.
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

// refusal is the reply of a run that never started.
func (g *Guard) refusal(k fault.Kind, message string) wire.RunReply {
	return wire.RunReply{Err: fault.New(k, fault.NotRun, "%s", message)}
}

// byQueueID finds the record of an item; g.mu is held.
func (g *Guard) byQueueID(id string) *record {
	for _, r := range g.runs {
		if r.phase == phaseQueued && r.queueID() == id {
			return r
		}
	}
	return nil
}

// admitNext gives slots to items that the queue has started; g.mu is held. An item
// whose link has ended is closed here, and its slot goes to the next one: were that
// left to its own goroutine, an entry that asks for the run first would take it over
// after it had been orphaned.
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
