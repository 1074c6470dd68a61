// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/admin"
	"github.com/traildrift/traildrift/internal/assert"
	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/mirror"
	"github.com/traildrift/traildrift/internal/peers"
	"github.com/traildrift/traildrift/internal/proc"
	"github.com/traildrift/traildrift/internal/relay"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/pool"
)

// Router is one router process. Use New.
type Router struct {
	Engine   *relay.Engine
	Log      *zap.Logger
	file     string
	settings Settings
	wire     *Wire
	lines    *logs.AsyncWriter
	admin    *admin.Server
	tasks    tasks.Group
	callers  *http.Server
	mirror   *mirror.Mirror
	fleet    *peers.Fleet
	asker    *peers.Puller
	notes    *peers.Transport
	traffic  peers.Traffic
	bodies   *bodies
	// duties is nil where the platform asks for none.
	duties *duties
	secret peers.Secret
	// mu guards self, this router's registration.
	mu   sync.Mutex
	self peers.Peer
	// stopping says that a planned stop was asked for; it never goes back.
	stopping atomic.Bool
	// wasReady is what the balancer was told last.
	wasReady atomic.Bool
	// caller, ready, peer and metrics are the listeners; metrics is nil
	// without a setting.
	caller, ready, peer, metrics net.Listener
	// configured is closed once a configuration is in force.
	configured chan struct{}
	onceConfig sync.Once
}

// New opens the listeners of the router that a settings file describes.
func New(file string, s Settings, w *Wire) (*Router, error) {
	s.fill()
	log, lines := logs.NewAsync(os.Stdout, s.LogLevel)
	assert.SetLogger(log)
	r := &Router{Log: log, file: file, settings: s, wire: w, lines: lines, configured: make(chan struct{})}
	r.admin = admin.NewMetrics()
	r.Engine = relay.New(log, r.admin.Scope, s.limits())
	r.Engine.Send, r.Engine.WriteTrial, r.Engine.Gone = w.Send, w.WriteTrial, w.Gone
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryKept / 100)
	}
	r.bodies = newBodies(s.MemoryMB)
	r.mirror = mirror.New(w.ConfigKind, w.ClosingKind, w.VerdictKind, w.TrialKind, w.EndpointKind, w.RouterKind)
	r.mirror.OnChange = r.take
	r.fleet = peers.NewFleet(s.VM)
	r.self = peers.Peer{Name: s.VM, Addr: s.Peers, Zone: s.AvailabilityZone, Millicores: int(s.CPUShare * thousandths), Token: proc.NewID() + proc.NewID()}
	r.secret.Set(r.self.Token)
	r.asker = peers.NewPuller(log, r.fleet, r.mirror, w.ConfigKind, w.ConfigKind, w.ClosingKind, w.VerdictKind, w.TrialKind, w.EndpointKind, w.RouterKind)
	w.OnStoreCall(r.storeCalled)
	r.Engine.Proven = func() time.Time { return r.mirror.Proven(w.ConfigKind) }
	r.Engine.Listed = func() bool { return r.mirror.Revision(w.EndpointKind) >= 0 }
	r.Engine.Routers = r.fleet.SenderCount
	r.Engine.Senders = r.senders
	if err := r.listen(); err != nil {
		return nil, err
	}
	notes, err := peers.NewTransport(log, r.fleet, s.Peers, &r.secret, func(n peers.AttemptReport) {
		r.Engine.Heard(n.From, relay.Word{Endpoint: n.Endpoint, Busy: n.Busy, Failed: n.Failed, Prefix: n.Prefix})
	})
	if err != nil {
		return nil, err
	}
	r.notes = notes
	r.notes.Traffic, r.asker.Traffic = &r.traffic, &r.traffic
	notes.OnVerdicts, r.asker.OnVerdicts = r.Engine.HeardVerdicts, r.Engine.HeardVerdicts
	notes.Verdicts = r.Engine.ForStarting
	notes.OnCrashReport = func(s peers.CrashReport) {
		r.Engine.HeardCrash(relay.CrashReport{Fingerprint: s.Fingerprint, Endpoint: s.Endpoint, Age: time.Duration(s.AgeMs) * time.Millisecond, Whole: s.Completed})
	}
	r.Engine.Quarantines = relay.Quarantines{
		Report: func(s relay.CrashReport) {
			notes.SendCrashReport(peers.CrashReport{Fingerprint: s.Fingerprint, Endpoint: s.Endpoint, AgeMs: uint32(s.Age.Milliseconds()), Completed: s.Whole})
		},
		Changed: notes.SendVerdicts, Again: notes.ResendVerdicts, AgainMost: peers.MaxResentVerdicts, Rank: r.fleet.CollectorRank, Alone: r.Alone,
	}
	r.shareNotices(notes)
	r.duties = newDuties(r, rand.Uint64())
	notes.OnTrialReport, r.Engine.TellReport = r.Engine.HeardReport, notes.SendTrialReport
	r.Engine.Tell = func(w relay.Word) {
		notes.SendAttemptReport(peers.AttemptReport{Endpoint: w.Endpoint, Busy: w.Busy, Failed: w.Failed, Prefix: w.Prefix}, peers.Recipients{Zone: w.Zone, OtherZones: w.Others})
	}
	return r, nil
}

// listen opens the listeners.
func (r *Router) listen() error {
	s := &r.settings
	for _, l := range []struct {
		addr netip.AddrPort
		dst  *net.Listener
	}{{s.Listen, &r.caller}, {s.Readiness, &r.ready}, {s.Peers, &r.peer}, {s.Metrics, &r.metrics}} {
		if !l.addr.IsValid() {
			continue
		}
		ln, err := net.Listen("tcp", l.addr.String())
		if err != nil {
			return errors.Wrap(err, "router")
		}
		*l.dst = ln
	}
	return nil
}

// senders returns the routers that share endpoints which warm up; changed is false if they
// are the same as in generation have, or not known yet.
func (r *Router) senders(have uint64) (s pool.Senders, generation uint64, changed bool) {
	if r.mirror.Revision(r.wire.RouterKind) < 0 || r.fleet.Generation() == have {
		return s, have, false
	}
	s.Self, s.All, generation = r.fleet.SenderHashes()
	return s, generation, true
}

// storeCalled tells of a call to the store: each is priced.
func (r *Router) storeCalled(c StoreCall) {
	r.Log.Info("store: A call has ended.", zap.String("verb", string(c.Verb)), zap.String("kind", c.Kind), zap.Int("status", c.Status),
		zap.Int64("tookMs", c.Ended.Sub(c.Sent).Milliseconds()))
	r.admin.Scope.Tagged(map[string]string{"verb": string(c.Verb), "kind": c.Kind, "status": strconv.Itoa(c.Status)}).Counter("store_calls").Inc(1)
}

// thousandths of a processor core are the unit of a registered VM's ability.
const thousandths = 1000

// memoryKept is the part of the memory, in hundredths, from which on the
// collector works harder; the rest is for what the kernel holds of connections.
const memoryKept = 70

// Main runs the router that a settings file describes, until a signal ends it.
func Main(ctx context.Context, file string, wire func(s *Settings) *Wire) error {
	var s Settings
	if err := proc.Load(file, &s); err != nil {
		return err
	}
	stages, release := (&proc.Common{StopWithin: s.StopWithin - stopMargin}).Signals(ctx)
	defer release()
	r, err := New(file, s, wire(&s))
	if err != nil {
		return err
	}
	return r.Run(stages)
}

// stopMargin is how long before it is killed a stopping router breaks off what
// is left.
const stopMargin = config.Span(300 * time.Millisecond)

// Run serves until the stages end it.
func (r *Router) Run(stages proc.Stages) error {
	ctx, end := context.WithCancel(stages.Kill)
	defer end()
	r.Log.Info("router: Started.", zap.String("vm", r.settings.VM), zap.String("availabilityZone", r.settings.AvailabilityZone),
		zap.Stringer("listen", r.settings.Listen), zap.Stringer("store", r.settings.Store), zap.Any("limits", r.settings.limits()))
	r.follow(ctx)
	r.tasks.Go(ctx, "notes", r.notes.Run)
	r.tasks.Go(ctx, "tend", r.Engine.Tend)
	r.tasks.Go(ctx, "clock", r.Engine.WatchClock)
	r.tasks.Go(ctx, "crashes of endpoints", r.Engine.WatchCrashes)
	r.tasks.Go(ctx, "settings", r.watchSettings)
	if r.duties != nil {
		r.tasks.Go(ctx, "duties", r.duties.run)
		r.tasks.Go(ctx, "usage", r.duties.tell)
	}
	answers := peers.NewServer(r.Log, r.mirror, r.wire.ConfigKind, &r.secret)
	answers.Traffic, answers.OnStartingPeer, answers.Verdicts = &r.traffic, r.asker.RecordStartingPeer, r.Engine.ForStarting
	answers.Age = r.Engine.Age
	r.tasks.Go(ctx, "traffic", func(ctx context.Context) error { return r.traffic.Run(ctx, r.Log) })
	shared := &http.Server{Handler: answers, ReadHeaderTimeout: plainWithin, IdleTimeout: idleReady, ErrorLog: logs.NewStdLog(r.Log, "peers")}
	r.tasks.Go(ctx, "answers to peers", func(context.Context) error { return shared.Serve(r.peer) })
	readiness := &http.Server{Handler: http.HandlerFunc(r.serveReady), ReadHeaderTimeout: plainWithin, IdleTimeout: idleReady}
	r.tasks.Go(ctx, "readiness", func(context.Context) error { return readiness.Serve(r.ready) })
	if r.metrics != nil {
		r.tasks.Go(ctx, "metrics", func(context.Context) error { return r.admin.Serve(r.metrics) })
	}
	r.awaitTable(ctx)
	r.callers = r.newCallers(ctx)
	r.tasks.Go(ctx, "callers", func(context.Context) error { return r.callers.Serve(r.caller) })
	<-stages.Stop.Done()
	r.stop(stages.Kill)
	end()
	r.close(readiness, shared)
	return nil
}

const (
	// plainWithin bounds the reading of a plain head, idleReady the rest of a
	// balancer's connection, which asks once a second.
	plainWithin = 3 * time.Second
	idleReady   = 30 * time.Second
	// tableWithin is how long callers' connections wait for the configuration,
	// whose bounds their server takes over, before they are answered without.
	tableWithin = config.Span(500 * time.Millisecond)
)

func (r *Router) awaitTable(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, tableWithin.After(time.Now()))
	defer cancel()
	select {
	case <-r.configured:
	case <-ctx.Done():
	}
}

// serveReady tells the balancer whether new connections are welcome.
func (r *Router) serveReady(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != r.wire.ReadyPath {
		http.NotFound(w, q)
		return
	}
	ready, why := r.Engine.Ready()
	if was := r.wasReady.Swap(ready); was != ready {
		r.Log.Info("router: The readiness has changed.", zap.Bool("ready", ready), zap.String("why", why))
	}
	if !ready {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

const (
	// listed is how long after the signal a stopping router still gets new
	// connections: the balancer asks each second and gives up after two
	// answers.
	listed = config.Span(3 * time.Second)
	// stopPoll is how often a stopping router looks whether all are answered.
	stopPoll = config.Span(20 * time.Millisecond)
)

// stop ends a router as planned: not ready, every answer the last on its
// connection, all answered; what is left at the end is broken off.
func (r *Router) stop(kill context.Context) {
	r.stopping.Store(true)
	r.fleet.SetLeaving()
	if r.duties != nil {
		r.duties.stop()
	}
	r.Engine.Stop((r.settings.StopWithin - stopMargin).After(time.Now()))
	r.Log.Info("router: Stopping.", zap.Int64("underWay", r.Engine.Under()))
	if err := r.wire.Unregister(kill, r.unconditional()); err != nil {
		r.Log.Warn("router: The registration could not be removed.", logs.Err(err))
	}
	tasks.Pause(kill, listed.After(time.Now()))
	for kill.Err() == nil && r.Engine.Under() > 0 {
		tasks.Pause(kill, stopPoll.After(time.Now()))
	}
	if err := r.callers.Shutdown(kill); err != nil {
		r.Log.Warn("router: Requests were broken off.", zap.Int64("underWay", r.Engine.Under()), logs.Err(err))
	}
}

// unconditional is this router's registration, whatever its revision.
func (r *Router) unconditional() peers.Peer {
	p := r.registration()
	p.Revision = 0
	return p
}

// close ends the listeners and waits for every goroutine.
func (r *Router) close(servers ...*http.Server) {
	_ = r.callers.Close()
	for _, s := range servers {
		_ = s.Close()
	}
	r.admin.Close()
	r.tasks.Wait(func(e tasks.End) {
		r.Log.Debug("router: A task has ended.", zap.String("task", e.Name), logs.Err(e.Err))
	})
	r.Log.Info("router: Stopped.", zap.Int64("linesDropped", r.lines.Dropped()))
	r.lines.Close()
}
