// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/admin"
	"github.com/traildrift/traildrift/internal/assert"
	"github.com/traildrift/traildrift/internal/elems"
	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/mirror"
	"github.com/traildrift/traildrift/internal/peers"
	"github.com/traildrift/traildrift/internal/proc"
	"github.com/traildrift/traildrift/internal/quota"
	"github.com/traildrift/traildrift/internal/relay"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/pool"
)

// Router is one router process. It must be created with New.
type Router struct {
	Engine          *relay.Engine
	Log             *zap.Logger
	file            string
	settings        Settings
	wire            *Wire
	lines           *logs.AsyncWriter
	admin           *admin.Server
	tasks           tasks.Group
	callers         *http.Server
	mirror          *mirror.Mirror
	fleet           *peers.Fleet
	puller          *peers.Puller
	transport       *peers.Transport
	traffic         peers.Traffic
	accountRecorder *quota.Recorder
	// reloads receives the signals to read the settings file again; nil for none.
	reloads <-chan os.Signal
	// duties is nil if the settings name no duty that a router performs.
	duties *duties
	// secret is the token of this router, which is part of its registration and authenticates peers.
	secret peers.Secret
	// mu guards self, the registration of this router, and lostPeers, the times at which the routers whose
	// registration the store has lost leave the fleet, by name.
	mu        sync.Mutex
	self      peers.Peer
	lostPeers map[string]time.Time
	// registeredIn is the epoch of the store in which the registration was last written or seen; only the task
	// that registers uses it.
	registeredIn int64
	// verdictsIn is the epoch of the store for which checkVerdicts was last done; only the task that stores
	// verdicts uses it.
	verdictsIn int64
	// stopping is set when a planned stop begins, and never reset.
	stopping atomic.Bool
	// lastReady is the result of the last readiness check by the balancer.
	lastReady atomic.Bool
	// caller, ready, peer and metrics are the listeners. metrics is nil if the settings name no
	// address for it.
	caller, ready, peer, metrics net.Listener
	// configured is closed, by configOnce, once a configuration is in force.
	configured chan struct{}
	configOnce sync.Once
	// unreadable logs the stored objects that can't be decoded.
	unreadable elems.Reporter
}

// New returns a router with the settings s, which were read from file, and opens its listeners. The
// error is that of a listener or of the socket for messages between routers.
func New(file string, s Settings, w *Wire) (*Router, error) {
	s.setDefaults()
	log, lines := logs.NewAsync(os.Stdout, s.LogLevel)
	assert.SetLogger(log)
	r := &Router{Log: log, file: file, settings: s, wire: w, lines: lines, configured: make(chan struct{}), lostPeers: make(map[string]time.Time)}
	r.admin = admin.NewMetrics()
	r.Engine = relay.New(log, r.admin.Scope, s.limits(w.ContentionRule))
	r.Engine.Send, r.Engine.WriteTrial, r.Engine.CheckEnded, r.Engine.CheckAlive, r.Engine.OpenProbe = w.Send, w.WriteTrial, w.Gone, w.Alive, w.OpenProbe
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryLimitPercent / 100)
	}
	r.mirror = mirror.New(w.ConfigKind, w.ClosingKind, w.VerdictKind, w.TrialKind, w.EndpointKind, w.RouterKind)
	r.mirror.OnChange, r.mirror.OnEpoch = r.applyChange, w.ObserveEpoch
	r.fleet = peers.NewFleet(s.VM)
	r.self = peers.Peer{Name: s.VM, Addr: s.Peers, Zone: s.AvailabilityZone, Millicores: int(s.CPUShare * millicoresPerCore), Token: proc.NewID() + proc.NewID()}
	r.secret.Set(r.self.Token)
	r.puller = peers.NewPuller(log, r.fleet, r.mirror, w.ConfigKind, w.ConfigKind, w.ClosingKind, w.VerdictKind, w.TrialKind, w.EndpointKind, w.RouterKind)
	w.OnStoreCall(r.recordStoreCall)
	r.unreadable.Log = log
	w.OnUnreadable(r.reportUnreadable)
	r.puller.OnUnreadable = func(kind, name string, err error) { r.reportUnreadable(Unreadable{Kind: kind, Name: name, Err: err}) }
	r.Engine.ConfirmedAt = func() time.Time { return r.mirror.ConfirmedAt(w.ConfigKind) }
	r.Engine.EndpointsListed = func() bool { return r.mirror.Revision(w.EndpointKind) >= 0 }
	r.Engine.CopiesCurrent = func() bool { return r.mirror.IsCurrent(w.ConfigKind, w.ClosingKind, w.TrialKind, w.EndpointKind) }
	r.Engine.EndpointsKnownUntil = r.mirror.KnownUntil
	r.Engine.RouterCount = r.fleet.SenderCount
	r.Engine.Senders = r.senders
	if err := r.listen(); err != nil {
		return nil, err
	}
	transport, err := peers.NewTransport(log, r.fleet, s.Peers, &r.secret, func(report peers.AttemptReport) {
		r.Engine.ReceiveEndpointReport(report.From, relay.EndpointReport{Endpoint: report.Endpoint, Busy: report.Busy, Failed: report.Failed, Silent: report.Silent, Prefix: report.Prefix})
	})
	if err != nil {
		return nil, err
	}
	r.transport = transport
	r.transport.Traffic, r.puller.Traffic = &r.traffic, &r.traffic
	transport.OnVerdicts, r.puller.OnVerdicts = r.Engine.ReceiveVerdicts, r.Engine.ReceiveVerdicts
	transport.Verdicts = r.Engine.StartupVerdicts
	transport.OnCrashReport = func(report peers.CrashReport) {
		r.Engine.ReceiveCrash(relay.CrashReport{Fingerprint: report.Fingerprint, Endpoint: report.Endpoint, Age: time.Duration(report.AgeMs) * time.Millisecond, Answered: report.Completed})
	}
	transport.OnPartReports = r.Engine.ReceiveParts
	r.Engine.Quarantines = relay.QuarantineHooks{
		SendCrash: func(report relay.CrashReport) {
			transport.SendCrashReport(peers.CrashReport{Fingerprint: report.Fingerprint, Endpoint: report.Endpoint, AgeMs: uint32(report.Age.Milliseconds()), Completed: report.Answered})
		},
		SendParts: transport.SendPartReports, PartCollectors: peers.PartCollectors,
		SendVerdicts: transport.SendVerdicts, ResendVerdicts: transport.ResendVerdicts, MaxResend: peers.MaxResentVerdicts, Rank: r.fleet.CollectorRank, Alone: r.Alone,
	}
	r.connectNotices(transport)
	r.duties = newDuties(r, rand.Uint64())
	transport.OnTrialReport, r.Engine.SendTrialReport = r.Engine.ReceiveTrialReport, transport.SendTrialReport
	r.Engine.SendEndpointReport = func(report relay.EndpointReport) {
		transport.SendAttemptReport(peers.AttemptReport{Endpoint: report.Endpoint, Busy: report.Busy, Failed: report.Failed, Silent: report.Silent, Prefix: report.Prefix}, peers.Recipients{Zone: report.Zone, OtherZones: report.OtherZones})
	}
	return r, nil
}

// senders returns the routers that share the load limit of endpoints that warm up, and the generation
// of the fleet that they belong to. changed is false if the generation is still have, or if the
// registrations of routers have not been listed yet.
func (r *Router) senders(have uint64) (s pool.Senders, generation uint64, changed bool) {
	if r.mirror.Revision(r.wire.RouterKind) < 0 || r.fleet.Generation() == have {
		return s, have, false
	}
	s.Self, s.All, generation = r.fleet.SenderHashes()
	return s, generation, true
}

// recordStoreCall logs and counts a call to the store, as each call costs money. Whatever the call was for, its
// response tells the epoch that the store is in.
func (r *Router) recordStoreCall(c StoreCall) {
	r.mirror.ObserveEpoch(c.Epoch)
	r.Log.Info("store: A call has ended.", zap.String("verb", string(c.Verb)), zap.String("kind", c.Kind), zap.Int("status", c.Status), zap.Int64("epoch", c.Epoch),
		zap.Int64("tookMs", c.Ended.Sub(c.Sent).Milliseconds()))
	r.admin.Scope.Tagged(map[string]string{"verb": string(c.Verb), "kind": c.Kind, "status": strconv.Itoa(c.Status)}).Counter("store_calls").Inc(1)
}

// millicoresPerCore converts processor cores to thousandths of a core, the unit in which a
// registration states what the VM can bear.
const millicoresPerCore = 1000

// memoryLimitPercent is the percentage of Settings.MemoryMB above which the garbage collector runs
// more often. The rest is for the program itself and for bytes that wait in receive buffers.
const memoryLimitPercent = 55

// Main runs a router with the settings in a file until a signal ends it. wire returns the protocols of
// the platform for the settings. Main returns errors of the settings file and of New.
func Main(ctx context.Context, file string, wire func(s *Settings) *Wire) error {
	reloads := notifyReloads()
	var s Settings
	if err := proc.Load(file, &s); err != nil {
		return err
	}
	stages, release := (&proc.Common{StopWithin: s.abortWithin()}).Signals(ctx)
	defer release()
	r, err := New(file, s, wire(&s))
	if err != nil {
		return err
	}
	r.reloads = reloads
	return r.Run(stages)
}

// Run serves requests until stages.Stop is done, and then stops as planned; once stages.Kill is done, it
// aborts the requests that are left. It always returns nil.
func (r *Router) Run(stages proc.Stages) error {
	// The tasks go on while the last requests are aborted.
	ctx, end := context.WithCancel(context.WithoutCancel(stages.Kill))
	defer end()
	r.Log.Info("router: Started.", zap.String("vm", r.settings.VM), zap.String("availabilityZone", r.settings.AvailabilityZone),
		zap.Stringer("listen", r.settings.Listen), zap.Stringer("store", r.settings.Store), zap.Any("limits", r.settings.limits(r.wire.ContentionRule)))
	r.follow(ctx)
	r.tasks.Go(ctx, "notes", r.transport.Run)
	r.tasks.Go(ctx, "tend", r.Engine.RunMaintenance)
	r.tasks.Go(ctx, "clock", r.Engine.WatchClock)
	r.tasks.Go(ctx, "silence", r.Engine.WatchSilence)
	r.tasks.Go(ctx, "silence probes", r.Engine.ProbeSilence)
	r.tasks.Go(ctx, "crashes of endpoints", r.Engine.WatchCrashes)
	r.tasks.Go(ctx, "settings", r.watchSettings)
	r.tasks.Go(ctx, "account of callers", r.accountRecorder.Run)
	if r.duties != nil {
		r.tasks.Go(ctx, "duties", r.duties.run)
		r.tasks.Go(ctx, "usage", r.duties.sendReports)
	}
	peerHandler := peers.NewServer(r.Log, r.mirror, r.wire.ConfigKind, &r.secret)
	peerHandler.Traffic, peerHandler.OnStartingPeer, peerHandler.Verdicts = &r.traffic, r.puller.RecordStartingPeer, r.Engine.StartupVerdicts
	peerHandler.Age = r.Engine.Age
	r.tasks.Go(ctx, "traffic", func(ctx context.Context) error { return r.traffic.Run(ctx, r.Log) })
	peerServer := r.newSmallServer("peers", peerHandler)
	r.tasks.Go(ctx, "answers to peers", func(context.Context) error { return peerServer.Serve(r.peer) })
	readinessServer := r.newSmallServer("readiness", http.HandlerFunc(r.serveReady))
	r.tasks.Go(ctx, "readiness", func(context.Context) error { return readinessServer.Serve(r.ready) })
	if r.metrics != nil {
		r.tasks.Go(ctx, "metrics", func(context.Context) error { return r.admin.Serve(r.metrics) })
	}
	r.awaitConfig(ctx)
	r.callers = r.newCallers(ctx)
	r.tasks.Go(ctx, "callers", func(context.Context) error { return r.callers.Serve(r.caller) })
	<-stages.Stop.Done()
	r.stop(ctx, stages)
	end()
	r.close(readinessServer, peerServer)
	return nil
}

const (
	// configWaitTimeout is how long connections of callers wait for the configuration before they are
	// served without one. The server for callers takes its bounds from the configuration.
	configWaitTimeout = config.Span(500 * time.Millisecond)
)

// awaitConfig blocks until a configuration is in force, configWaitTimeout has passed or ctx is done.
func (r *Router) awaitConfig(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, configWaitTimeout.After(time.Now()))
	defer cancel()
	select {
	case <-r.configured:
	case <-ctx.Done():
	}
}

// serveReady answers the readiness check of the balancer: 200 if the router accepts new connections,
// otherwise 503 with the reason as text.
func (r *Router) serveReady(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != r.wire.ReadyPath {
		http.NotFound(w, q)
		return
	}
	ready, why := r.Engine.Ready()
	if was := r.lastReady.Swap(ready); was != ready {
		r.Log.Info("router: The readiness has changed.", zap.Bool("ready", ready), zap.String("why", why))
	}
	if !ready {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// unconditional returns the registration of this router without its revision, so that Wire.Unregister
// removes it in any case.
func (r *Router) unconditional() peers.Peer {
	p := r.registration()
	p.Revision = 0
	return p
}

// close closes the listeners and waits until all tasks have ended.
func (r *Router) close(servers ...*http.Server) {
	_ = r.callers.Close()
	unlogged := r.Engine.LogLeft("the connection was closed")
	for _, s := range servers {
		_ = s.Close()
	}
	r.admin.Close()
	r.tasks.Wait(func(e tasks.End) {
		r.Log.Debug("router: A task has ended.", zap.String("task", e.Name), logs.Err(e.Err))
	})
	r.Log.Info("router: Stopped.", zap.Int64("linesDropped", r.lines.Dropped()), zap.Int64("requestsUnlogged", r.Engine.UnloggedStops()+int64(unlogged)))
	r.lines.Close()
}
