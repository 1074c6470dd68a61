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
	"github.com/traildrift/traildrift/pkg/epoch"
	"github.com/traildrift/traildrift/pkg/poison"
	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/roll"
	"github.com/traildrift/traildrift/pkg/sizes"
	"github.com/traildrift/traildrift/pkg/stall"
)

// Engine forwards requests. Create it with New and set its function fields before the first
// request. Its methods are safe for concurrent use.
type Engine struct {
	Log *zap.Logger
	// Now returns the current time, with a monotonic reading.
	Now func() time.Time
	// Draw returns a random number. It must be safe for concurrent use.
	Draw func() uint64
	// Send sends an attempt to its endpoint.
	Send Send
	// WriteTrial stores the next step of a roll-out. It fails if the stored trial has another
	// revision.
	WriteTrial func(ctx context.Context, t roll.Trial) error
	// SendEndpointReport sends other routers a report on an endpoint. SendTrialReport sends them
	// what this router has observed of a trial.
	SendEndpointReport func(w EndpointReport)
	SendTrialReport    func(r roll.Report)
	// CheckEnded reports whether the process of an endpoint has ended.
	CheckEnded CheckEnded
	// CheckAlive checks whether a process serves as an endpoint. OpenProbe opens a connection that tells whether it is
	// the same one all the while.
	CheckAlive CheckAlive
	OpenProbe  OpenProbe
	// Quarantines sends other routers reports on requests that crash endpoints.
	Quarantines QuarantineHooks
	// Notifier sends other routers the notices that endpoints gave about themselves.
	Notifier Notifier
	// OnRequestStarted is called once for each request of a workspace that an endpoint started to
	// run; at is the time of that start.
	OnRequestStarted func(workspace string, at time.Time)
	// Boot is a clock that also advances while the VM is suspended; see stalls.
	Boot func() time.Duration
	// ConfirmedAt returns the latest time at which the table in force was confirmed to be the
	// newest; zero if it never was.
	ConfirmedAt func() time.Time
	// EndpointsListed reports whether the list of endpoints has been received. CopiesCurrent reports whether
	// no copy of what requests are routed by is from before the store came back from an older copy.
	EndpointsListed, CopiesCurrent func() bool
	// EndpointsKnownUntil returns the time up to which it is known which endpoints are listed. It must not be called
	// with mu held, as it may wait for a call of PutEndpoint.
	EndpointsKnownUntil func() time.Time
	// RouterCount returns how many routers share the operator's limits: those that may send,
	// including routers that left the list a short time ago.
	RouterCount func() int
	// Senders returns the routers that share the requests allowed to endpoints that warm up, and a
	// generation that grows with each change. changed is false if the generation is still have, or
	// if the routers are not known.
	Senders func(have uint64) (s pool.Senders, generation uint64, changed bool)

	// stalls detects that the process stood still.
	stalls clock.StallDetector
	limits atomic.Pointer[Limits]
	table  atomic.Pointer[Table]
	// stopping is set by Stop, aborted by Abort. Neither is ever reset.
	stopping, aborted atomic.Bool
	// incarnation is a random number that identifies this start of the router.
	incarnation uint64
	// startedAt is when the router started. initialized says that it has received all that it needs
	// to serve; it is never reset.
	startedAt   time.Time
	initialized atomic.Bool
	// stopDeadline is when a stopping router aborts the requests that are left, and answerAt when it
	// answers those without the head of an answer. Both are set before stopping is.
	stopDeadline time.Time
	answerAt     time.Time
	stoppedAt    time.Time
	active       activeSet
	logLimits    logLimits
	// failureReports limits the rate of failure reports to other routers.
	failureReports *rate.Limiter
	metrics        metrics
	aliveChecks    aliveChecks
	lives          lives
	framings       framings

	// silenceUsed is closed, by startSilence, once silence is looked for.
	silenceUsed chan struct{}
	// silenceProbes holds the endpoints that were found silent and are to be probed.
	silenceProbes chan silenceProbe
	startSilence  sync.Once

	// sendersGeneration is the generation of the Senders that the book has; only RunMaintenance
	// uses it.
	sendersGeneration uint64

	// mu guards the fields below.
	mu   sync.Mutex
	book *pool.Book
	// crashes holds the requests under which endpoints crashed. expired holds those that were
	// dropped from it and are still stored.
	crashes *poison.Detector
	expired []poison.Fingerprint
	// judgeDue signals that suspects are to be judged once the crash reports have settled.
	judgeDue chan struct{}
	// limitAnswered is closed and replaced whenever another router has answered a query about a
	// limit. limitQueries limits the rate of these queries.
	limitAnswered chan struct{}
	limitQueries  *rate.Limiter
	// probes holds the endpoints that are to be checked for having ended.
	probes chan pool.Entry
	// inFlight holds, by the endpoint's hash, the requests that the endpoint may be running.
	inFlight map[uint64]*inFlight
	// budgets holds the retry budgets, by service.
	budgets map[string]*budget.Window
	// headTimes holds the mean time to the head, by sort of request; see timingKey.
	headTimes map[string]*timeMean
	// readSpeeds holds how long endpoints take to read a token, by model; see readKey.
	readSpeeds map[string]*readSpeed
	// promptRates holds how many prompts a second this router sends to each service.
	promptRates map[string]*rateMeter
	// avgUnits holds the mean worth of a request to each service, in units; see run.units.
	avgUnits map[string]*average
	// aheadRatios holds which fraction of an endpoint's backlog urgent prompts wait for, by sort of
	// request.
	aheadRatios map[string]*aheadRatio
	// homeHits is how often endpoints held a prefix that is theirs by its hash without any router
	// having reported it.
	homeHits homeHitRate
	// streamTimes holds how long answers go on after their head, by route.
	streamTimes map[string]*timeMean
	// streamPaces holds the usual times between the events of streams, by model. Versions on trial
	// are left out.
	streamPaces map[string]*usualPace
	// ends holds what was learned about when answers end.
	ends endStats
	// confidences holds statistics of the models' confidences.
	confidences sizes.ConfidenceStats
	// silence finds silent endpoints by streams of several routers.
	silence *stall.Detector
	// paceReported holds the services of which an endpoint has reported its pace.
	paceReported map[string]bool
	// prices holds the price of engine time and what it is learned from, by service; only for services with contention.
	prices map[string]*servicePrice
	// rooms holds the state of admission control, by service.
	rooms map[string]*serviceRoom
	// rollouts holds the trials, by service.
	rollouts map[string]*rollout
	// olderTable is the configuration that the store came back with while a newer one is in force; nil
	// for none. It is in force from olderTableAt on.
	olderTable   *Table
	olderTableAt time.Time
}

// New returns an engine without a configuration.
func New(log *zap.Logger, scope tally.Scope, l Limits) *Engine {
	e := &Engine{
		Log:                log,
		Now:                time.Now,
		Draw:               rand.Uint64,
		SendEndpointReport: func(EndpointReport) {},
		SendTrialReport:    func(roll.Report) {},
		incarnation:        rand.Uint64(),
		ConfirmedAt:        func() time.Time { return time.Time{} },
		EndpointsListed:    func() bool { return false },
		CopiesCurrent:      func() bool { return true },
		RouterCount:        func() int { return 1 },
		Senders:            func(uint64) (pool.Senders, uint64, bool) { return pool.Senders{}, 0, false },
		failureReports:     rate.NewLimiter(failureReportsPerSecond, failureReportsPerSecond),
		book:               pool.NewBook(),
		crashes:            poison.NewDetector(),
		judgeDue:           make(chan struct{}, 1),
		probes:             make(chan pool.Entry, maxPendingProbes),
		Quarantines:        standaloneQuarantines,
		Notifier:           noopNotifier,
		limitAnswered:      make(chan struct{}),
		limitQueries:       rate.NewLimiter(limitQueriesPerSecond, limitQueriesPerSecond),
		inFlight:           make(map[uint64]*inFlight),
		Boot:               clock.Boot,
		OnRequestStarted:   func(string, time.Time) {},
		CheckEnded:         func(context.Context, pool.Entry) (gone, known bool) { return false, true },
		CheckAlive:         func(context.Context, pool.Entry, string) Liveness { return Alive },
		OpenProbe:          func(context.Context, pool.Entry, string) (*ProbeConn, error) { return nil, errNoProbe },
		budgets:            make(map[string]*budget.Window),
		headTimes:          make(map[string]*timeMean),
		readSpeeds:         make(map[string]*readSpeed),
		promptRates:        make(map[string]*rateMeter),
		avgUnits:           make(map[string]*average),
		aheadRatios:        make(map[string]*aheadRatio),
		streamTimes:        make(map[string]*timeMean),
		streamPaces:        make(map[string]*usualPace),
		ends:               newEndStats(),
		paceReported:       make(map[string]bool),
		silenceUsed:        make(chan struct{}),
		silenceProbes:      make(chan silenceProbe, maxPendingProbes),
		prices:             make(map[string]*servicePrice),
		rooms:              make(map[string]*serviceRoom),
		rollouts:           make(map[string]*rollout),
		metrics:            newMetrics(scope),
	}
	e.EndpointsKnownUntil = func() time.Time { return e.Now() }
	e.crashes.OnJudged, e.crashes.MayJudge = e.logJudgement, e.mayJudge
	e.silence = e.newSilenceDetector()
	e.logLimits.init()
	e.stalls = clock.StallDetector{Boot: func() time.Duration { return e.Boot() }, Now: func() time.Time { return e.Now() }, MinGap: minStall}
	e.startedAt = time.Now()
	e.limits.Store(&l)
	return e
}

// age returns how long ago the table in force was confirmed to be the newest.
func (e *Engine) age(now time.Time) time.Duration { return e.Age(e.ConfirmedAt(), now) }

// Age returns the time from at to now, including time for which the VM was suspended.
func (e *Engine) Age(at, now time.Time) time.Duration { return e.stalls.Age(at, now) }

// PutEndpoint adds or updates a listed endpoint.
func (e *Engine) PutEndpoint(p pool.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var last pool.Entry
	if known := e.book.Get(p.ID); known != nil {
		last = known.Entry
	}
	changed := e.book.Put(p)
	if changed && e.book.Restarted(&last) {
		if b := e.inFlight[pool.HashOf(p.ID)]; b != nil {
			e.countRestart(&last, b, e.Now())
		}
	}
	// The first list is logged as a whole.
	if changed && e.initialized.Load() {
		e.Log.Info("relay: An endpoint has changed.", zap.String("endpoint", p.ID), zap.String("service", p.Service),
			zap.String("version", p.Version), zap.Bool("leaving", p.Leaving), zap.Stringer("revision", p.Revision))
	}
	e.wakeWaiting(&p)
}

// RemoveEndpoint removes an endpoint. It counts as gone from lapsesAt on.
func (e *Engine) RemoveEndpoint(id string, revision epoch.Revision, lapsesAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.book.Remove(id, revision, e.Now(), lapsesAt)
	e.wakeAllWaiting()
	e.Log.Info("relay: An endpoint was removed.", zap.String("endpoint", id), zap.Stringer("revision", revision), zap.Time("lapsesAt", lapsesAt))
}

// Ready reports whether the router should get new connections, and if not, why.
func (e *Engine) Ready() (ready bool, why string) {
	switch {
	case e.stopping.Load():
		return false, "stopping"
	case e.table.Load() == nil:
		return false, "no configuration yet"
	case !e.EndpointsListed():
		return false, "no endpoints yet"
	case !e.CopiesCurrent():
		return false, "the store has come back, and not all was read from it yet"
	}
	if maxAge := e.maxConfirmAge(); maxAge > 0 && e.age(e.Now()) > maxAge-readyMargin {
		return false, "the configuration is not proven to be the newest"
	}
	return true, ""
}

// maxConfirmAge returns how long ago the table may have been confirmed for requests with keys to be
// served; 0 for no limit.
func (e *Engine) maxConfirmAge() time.Duration {
	s := e.limits.Load().RevokeWithin
	if s == 0 {
		return 0
	}
	return time.Duration(s) - revokeMargin
}

// RunMaintenance advances roll-outs, sends trial reports, drops endpoints whose grace period after
// their removal has ended and updates metrics, until ctx is done. It always returns nil.
func (e *Engine) RunMaintenance(ctx context.Context) error {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	for n := 1; ; n++ {
		select {
		case <-t.C:
			e.expire()
			e.expireLostTable()
			e.updateSenders()
			e.writeDueSteps(ctx)
			for _, r := range e.dueReports(e.Now()) {
				e.SendTrialReport(r)
			}
			e.updateGauges()
			e.updatePriceGauges()
			if n%ticksPerSweep == 0 {
				e.updateEndpointGauges()
				e.sweepInFlight(e.Now())
				e.maintainQuarantines(e.Now())
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// maintenanceInterval is the interval of RunMaintenance: a fifth of the shortest time limit that
// depends on it, the 1 s within which a bad version must get no more requests.
const maintenanceInterval = 100 * time.Millisecond

// ticksPerSweep is how many ticks of RunMaintenance pass between the tasks that visit every
// endpoint: counting those that warm up and dropping old requests in flight.
const ticksPerSweep = 10

// updateGauges updates the gauges that are cheap to compute.
func (e *Engine) updateGauges() {
	e.mu.Lock()
	endpoints, closed := e.book.Len(), e.book.ClosedZones()
	e.updateWaitingGauges()
	e.mu.Unlock()
	e.metrics.closed.Update(float64(closed))
	e.metrics.active.Update(float64(e.active.len()))
	e.metrics.endpoints.Update(float64(endpoints))
	e.metrics.routers.Update(float64(e.RouterCount()))
	if e.table.Load() != nil {
		e.metrics.age.Update(e.age(e.Now()).Seconds())
	}
}

// updateEndpointGauges updates the gauges of endpoints that get fewer requests than others.
func (e *Engine) updateEndpointGauges() {
	now := e.Now()
	e.mu.Lock()
	warming, limited, resting := e.book.Warming(now), e.book.Limited(), e.book.Resting(now)
	e.mu.Unlock()
	e.metrics.warming.Update(float64(warming))
	e.metrics.limited.Update(float64(limited))
	e.metrics.resting.Update(float64(resting))
}

// unknownGraceTicks is for how many ticks of RunMaintenance grace periods are extended at a time while it is not
// known which endpoints are listed.
const unknownGraceTicks = 3

// expire drops what is not in force any more because of the time that has passed.
func (e *Engine) expire() {
	now, knownUntil := e.Now(), e.EndpointsKnownUntil()
	e.mu.Lock()
	defer e.mu.Unlock()
	if knownUntil.Before(now) {
		// An endpoint may be listed again without this router hearing of it.
		e.book.ExtendGrace(now.Add(maintenanceInterval * unknownGraceTicks))
	}
	for _, id := range e.book.Expire(now) {
		e.Log.Info("relay: An endpoint was not listed again within its grace period.", zap.String("endpoint", id))
	}
	for _, name := range e.book.ExpireZones(now) {
		e.logZone(name, "the stored order was not written again")
	}
	e.expireLostTrials(now)
}

// budget returns the retry budget of a service. The caller must hold mu.
func (e *Engine) budget(service string) *budget.Window {
	l := e.limits.Load()
	w := getOrCreate(e.budgets, service)
	w.SetLimits(time.Duration(l.RetryWindow), l.RetryRatio*retryRatioShare, l.RetrySlack*retrySlackShare/float64(max(e.RouterCount(), 1)))
	return w
}

// Bounds returns what callers may send under the table in force; the zero value before there is a
// table.
func (e *Engine) Bounds() Bounds {
	if t := e.table.Load(); t != nil {
		return t.Bounds
	}
	return Bounds{}
}
