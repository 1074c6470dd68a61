// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/traildrift/traildrift/internal/clock"
	"github.com/traildrift/traildrift/pkg/budget"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/poison"
	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/roll"
	"github.com/traildrift/traildrift/pkg/sizes"
)

// Engine forwards requests. Use New; set the function fields before the first
// request.
type Engine struct {
	Log *zap.Logger
	// Now is the clock, with a monotonic reading.
	Now func() time.Time
	// Send makes an attempt.
	Send Send
	// WriteTrial stores the next step of a roll-out, unless the stored one has
	// another revision.
	WriteTrial func(ctx context.Context, t roll.Trial) error
	// SendEndpointReport tells the other routers of an endpoint, TellReport what this one saw of
	// a trial.
	SendEndpointReport func(w Word)
	SendTrialReport    func(r roll.Report)
	// CheckEnded reports whether an endpoint has ended.
	CheckEnded Gone
	// Quarantines tells other routers of requests that crash endpoints.
	Quarantines Quarantines
	// Notifier tells other routers what endpoints said of themselves.
	Notifier Notifier
	// OnRequestStarted is called once for each request of a workspace that an endpoint began to run, with
	// when it did.
	OnRequestStarted func(workspace string, at time.Time)
	// Boot is a clock that counts the time for which the VM was suspended; see still.
	Boot func() time.Duration
	// ConfirmedAt returns when the table in force was the newest, for sure.
	ConfirmedAt func() time.Time
	// EndpointsListed reports whether the endpoints are known.
	EndpointsListed func() bool
	// RouterCount returns how many routers share the operator's bounds: those that may send, also
	// for a while after they have left the list.
	RouterCount func() int
	// Senders returns the routers that share endpoints which warm up, and a number that
	// grows as they change; changed is false if that is still have, or nothing is known.
	Senders func(have uint64) (s pool.Senders, generation uint64, changed bool)

	// stalls notices that the process stood stalls.
	stalls   clock.StallDetector
	limits   atomic.Pointer[Limits]
	table    atomic.Pointer[Table]
	stopping atomic.Bool
	// incarnation names this incarnation of the router.
	incarnation uint64
	// startedAt is when the router began, and known says that it knew all it
	// needs to serve since; it never goes back.
	startedAt   time.Time
	initialized atomic.Bool
	// stopDeadline is when a stopping router breaks off what is left; it is set
	// before stopping is.
	stopDeadline time.Time
	stoppedAt    time.Time
	active       atomic.Int64
	logLimits    logLimits
	// failureReports bounds what is told of failureReports.
	failureReports *rate.Limiter
	metrics        metrics

	// sendersGeneration is the number of the Senders that the book has; Tend alone uses it.
	sendersGeneration uint64

	// mu guards what follows.
	mu   sync.Mutex
	book *pool.Book
	// crashes holds the requests under which endpoints crashed, and lapsed those that were
	// forgotten and are still stored.
	crashes *poison.Detector
	expired []poison.Fingerprint
	// judgeDue says that suspects are to be judged once word of crashes has settled.
	judgeDue chan struct{}
	// limitAnswered is closed, and made anew, whenever another router has answered a question about a
	// limit; asks bounds these questions.
	limitAnswered chan struct{}
	limitQueries  *rate.Limiter
	// probes are the endpoints of which it is to be asked whether they have ended.
	probes chan pool.Entry
	// inFlight holds what endpoints may be running, by their hashes.
	inFlight map[uint64]*inFlight
	budgets  map[string]*budget.Window
	// headTimes holds the times to the head by sort.
	headTimes map[string]*timeMean
	// readSpeeds holds how fast prompts are read, by model.
	readSpeeds map[string]*readSpeed
	// promptRates holds how many prompts this router sends to each service.
	promptRates map[string]*rateMeter
	// avgUnits holds what requests to a service earn on average, in units.
	avgUnits map[string]*average
	// aheadRatios holds what prompts that go before others wait for, by sort.
	aheadRatios map[string]*aheadRatio
	// homeHits is how often endpoints hold a prefix that homeHits to them unheard of.
	homeHits homeHitRate
	// streamTimes holds how long the streamTimes of a route go on after their head.
	streamTimes map[string]*timeMean
	// streamPaces holds the times between the events of streams by model, of versions
	// that are not on trial.
	streamPaces map[string]*usualPace
	// confidences is what the models' confidences tell of them.
	confidences sizes.ConfidenceStats
	rollouts    map[string]*rollout
}

// New returns an engine that knows no configuration yet.
func New(log *zap.Logger, scope tally.Scope, l Limits) *Engine {
	e := &Engine{
		Log:                log,
		Now:                time.Now,
		SendEndpointReport: func(Word) {},
		SendTrialReport:    func(roll.Report) {},
		incarnation:        rand.Uint64(),
		ConfirmedAt:        func() time.Time { return time.Time{} },
		EndpointsListed:    func() bool { return false },
		RouterCount:        func() int { return 1 },
		Senders:            func(uint64) (pool.Senders, uint64, bool) { return pool.Senders{}, 0, false },
		failureReports:     rate.NewLimiter(failuresPerSecond, failuresPerSecond),
		book:               pool.NewBook(),
		crashes:            poison.NewDetector(),
		judgeDue:           make(chan struct{}, 1),
		probes:             make(chan pool.Entry, probesMost),
		Quarantines:        aloneQuarantines,
		Notifier:           silentNotifier,
		limitAnswered:      make(chan struct{}),
		limitQueries:       rate.NewLimiter(asksPerSecond, asksPerSecond),
		inFlight:           make(map[uint64]*inFlight),
		Boot:               clock.Boot,
		OnRequestStarted:   func(string, time.Time) {},
		CheckEnded:         func(context.Context, pool.Entry) (gone, known bool) { return false, true },
		budgets:            make(map[string]*budget.Window),
		headTimes:          make(map[string]*timeMean),
		readSpeeds:         make(map[string]*readSpeed),
		promptRates:        make(map[string]*rateMeter),
		avgUnits:           make(map[string]*average),
		aheadRatios:        make(map[string]*aheadRatio),
		streamTimes:        make(map[string]*timeMean),
		streamPaces:        make(map[string]*usualPace),
		rollouts:           make(map[string]*rollout),
		metrics:            newMetrics(scope),
	}
	e.crashes.OnHeld = e.logHeld
	e.logLimits.init()
	e.stalls = clock.StallDetector{Boot: func() time.Duration { return e.Boot() }, Now: func() time.Time { return e.Now() }, MinGap: minStall}
	e.startedAt = time.Now()
	e.limits.Store(&l)
	return e
}

// SetTable puts a configuration in force, unless it is older than the one that
// is.
func (e *Engine) SetTable(t *Table) {
	old := e.table.Load()
	if old != nil && t.Version <= old.Version {
		return
	}
	e.table.Store(t)
	e.setWarmups()
	e.Log.Info("relay: A configuration is in force.", zap.Int64("version", t.Version), zap.Int("workspaces", len(t.Workspaces)))
}

// age returns how long ago the table in force was proven to be the newest.
func (e *Engine) age(now time.Time) time.Duration { return e.Age(e.ConfirmedAt(), now) }

// Age returns how old what was true at a time is now, the time included for which the VM was
// suspended.
func (e *Engine) Age(at, now time.Time) time.Duration { return e.stalls.Age(at, now) }

// PutEndpoint takes over one listed endpoint.
func (e *Engine) PutEndpoint(p pool.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// The first list is told of as a whole.
	if e.book.Put(p) && e.initialized.Load() {
		e.Log.Info("relay: An endpoint has changed.", zap.String("endpoint", p.ID), zap.String("service", p.Service),
			zap.String("version", p.Version), zap.Bool("leaving", p.Leaving), zap.Int64("revision", p.Revision))
	}
}

// RemoveEndpoint takes an endpoint out; it counts as gone at lapsesAt.
func (e *Engine) RemoveEndpoint(id string, revision int64, lapsesAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.book.Remove(id, revision, e.Now(), lapsesAt)
	e.Log.Info("relay: An endpoint was removed.", zap.String("endpoint", id), zap.Int64("revision", revision), zap.Time("lapsesAt", lapsesAt))
}

// Ready reports whether the router should get new connections, and why not.
func (e *Engine) Ready() (ready bool, why string) {
	switch {
	case e.stopping.Load():
		return false, "stopping"
	case e.table.Load() == nil:
		return false, "no configuration yet"
	case !e.EndpointsListed():
		return false, "no endpoints yet"
	}
	if most := e.maxConfirmAge(); most > 0 && e.age(e.Now()) > most-readyMargin {
		return false, "the configuration is not proven to be the newest"
	}
	return true, ""
}

// maxConfirmAge returns how old the table may be for requests with keys; 0 for no
// bound.
func (e *Engine) maxConfirmAge() time.Duration {
	s := e.limits.Load().RevokeWithin
	if s == 0 {
		return 0
	}
	return time.Duration(s) - revokeMargin
}

// Stop makes the router not ready and every answer the last on its connection.
// What is left at the given time will be broken off. It is called once.
func (e *Engine) Stop(breaksOff time.Time) {
	e.stoppedAt, e.stopDeadline = e.Now(), breaksOff
	e.stopping.Store(true)
}

// StopGracePeriod is how long a stopping router still takes every request: the balancer
// sends new connections for two seconds, and callers that were told to leave
// theirs are gone by then. Later it takes those that end in time for sure.
const StopGracePeriod = config.Span(2500 * time.Millisecond)

// refusesWhileStopping reports whether a stopping router should leave a request of the route to
// another one, as it might not be finished in time.
func (e *Engine) refusesWhileStopping(route *Route, now time.Time) bool {
	if !e.stopping.Load() || !now.After(StopGracePeriod.After(e.stoppedAt)) {
		return false
	}
	return route.Kind == Stream || route.Timeout.After(now).After(e.stopDeadline)
}

// ActiveRequests returns how many requests are under way.
func (e *Engine) ActiveRequests() int64 { return e.active.Load() }

// RunMaintenance moves roll-outs on and drops endpoints that lapsed, until ctx is done.
func (e *Engine) RunMaintenance(ctx context.Context) error {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	for n := 1; ; n++ {
		select {
		case <-t.C:
			e.expire()
			e.takeSenders()
			e.moveRolls(ctx)
			for _, r := range e.dueReports(e.Now()) {
				e.SendTrialReport(r)
			}
			e.updateGauges()
			if n%ticksPerSweep == 0 {
				e.updateEndpointGauges()
				e.sweepInFlight(e.Now())
				e.tendQuarantines(e.Now())
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// maintenanceInterval is how often Tend looks: a fifth of the shortest bound it serves,
// the second within which a bad version must be left.
const maintenanceInterval = 100 * time.Millisecond

// ticksPerSweep is after how many looks it does what looks at every endpoint: telling how many
// warm up, and forgetting what they ran.
const ticksPerSweep = 10

// updateGauges tells the metrics what the router believes.
func (e *Engine) updateGauges() {
	e.mu.Lock()
	endpoints, closed := e.book.Len(), e.book.ClosedZones()
	e.mu.Unlock()
	e.metrics.closed.Update(float64(closed))
	e.metrics.active.Update(float64(e.active.Load()))
	e.metrics.endpoints.Update(float64(endpoints))
	e.metrics.routers.Update(float64(e.RouterCount()))
	if e.table.Load() != nil {
		e.metrics.age.Update(e.age(e.Now()).Seconds())
	}
}

// updateEndpointGauges tells the metrics how many endpoints bound what they get.
func (e *Engine) updateEndpointGauges() {
	now := e.Now()
	e.mu.Lock()
	warming, limited, resting := e.book.Warming(now), e.book.Limited(), e.book.Resting(now)
	e.mu.Unlock()
	e.metrics.warming.Update(float64(warming))
	e.metrics.limited.Update(float64(limited))
	e.metrics.resting.Update(float64(resting))
}

func (e *Engine) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range e.book.Expire(e.Now()) {
		e.Log.Info("relay: An endpoint lapsed and was not listed again.", zap.String("endpoint", id))
	}
}

// budget returns the retry budget of a service; mu is held.
func (e *Engine) budget(service string) *budget.Window {
	l := e.limits.Load()
	w := getOrCreate(e.budgets, service)
	w.SetLimits(time.Duration(l.RetryWindow), l.RetryRatio*retryRatioShare, l.RetrySlack*retrySlackShare/float64(max(e.RouterCount(), 1)))
	return w
}

// Bounds returns what callers may send under the table in force; zero values
// before there is one.
func (e *Engine) Bounds() Bounds {
	if t := e.table.Load(); t != nil {
		return t.Bounds
	}
	return Bounds{}
}
