// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package stall

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// minPauseFraction and maxPauseFraction bound the threshold of overdue streams, as fractions of the
	// longest pause with which a stream is in time. The lower one and a tick detect silence at about a
	// third of that pause; the upper one leaves half of it to read the prompt again elsewhere.
	minPauseFraction = 0.28
	maxPauseFraction = 0.5
	// minOverdue is the shortest threshold: a lost packet delays an event by 0.2 s and more, on top of
	// usual gaps of up to 60 ms and a tick that a busy processor delays by 0.1 s.
	minOverdue = 360 * time.Millisecond
	// defaultPause is the limit of a stream without one. Callers abandon a stream after 2 s at the
	// earliest.
	defaultPause = 2 * time.Second
	// gapFactor times the longest usual gap is the threshold. Joint pauses of an endpoint that reads
	// prompts vary: single gaps of up to 0.5 s are measured where 0.3 s are usual.
	gapFactor = 1.6
	// minOthers is how many other processes must report an endpoint at which this process has overdue
	// streams, so that one that sends false reports and one that lost a packet are not enough together.
	minOthers = 2
	// minOthersAlone and aloneFraction, of the processes that send reports here, are how many must report
	// an endpoint at which no stream of this process pauses. A quarter of the processes is in one zone and
	// may be cut off from an endpoint that works for the others.
	minOthersAlone = 4
	aloneFraction  = 1.0 / 3
	// MaxRecipients is how many processes receive one report at most.
	MaxRecipients = 32
	// maxReporters bounds the stored reports of an endpoint: as many as aloneFraction of MaxRecipients.
	maxReporters = 11
	// reportTTL is how long a report counts: five repeats, of which one arrives though half are lost. The longer it
	// is, the more reports of routers whose streams have gone on since are counted together.
	reportTTL = 500 * time.Millisecond
	// repeatInterval is the time between reports on one endpoint, as they may be lost; after
	// repeatFor it is slowRepeatInterval. Within repeatFor, other processes become overdue as well.
	repeatInterval     = 100 * time.Millisecond
	repeatFor          = time.Second
	slowRepeatInterval = time.Second
	// reportsPerSecond is the maximum rate of reports of a process, which may have 50 streams at different
	// endpoints. A report of 40 bytes to 32 routers makes 64 kB/s of that, a twentieth of a 10 Mbit/s link.
	reportsPerSecond = 50
	// maxTickGap is the longest time between ticks after which this process counts as having been
	// running: a busy processor delays a tick by 0.1 s. suspendFor is how long after a longer gap or a cut
	// of its own the process trusts no pause: what arrived meanwhile is read within some milliseconds,
	// and packets that were lost are sent again within 0.2 s.
	maxTickGap = 300 * time.Millisecond
	suspendFor = 300 * time.Millisecond
	// ownCutFraction is the fraction of the endpoints with streams of this process above which overdue
	// streams mean that its own network is cut; more than half of all endpoints may be silent at once.
	// Below minCutEndpoints the fraction says nothing.
	ownCutFraction  = 0.85
	minCutEndpoints = 5
	// maxSilentFraction is the maximum fraction of the endpoints of a service that count as silent at a
	// time: the others could not serve all streams, so that moving them gains nothing. Three quarters of
	// the endpoints were lost in the worst measured load.
	maxSilentFraction = 0.75
	// falseAlarmWithin is the time after an alarm within which a sign of the endpoint makes it a false one:
	// the first attempt at an ejected endpoint follows after 1.6 s.
	falseAlarmWithin = 2500 * time.Millisecond
	// maxEjection is the longest time for which pool.Trust ejects an endpoint.
	maxEjection = 6 * time.Second
	// idleTTL is how long the state of an endpoint without streams is kept. One that is heard after a longer
	// outage is not logged as heard again.
	idleTTL = 30 * time.Second
	// maxEndpoints bounds the endpoints with state: 1,400 are in use. maxModels bounds the models whose gaps
	// are learned separately; further ones share one estimate.
	maxEndpoints = 2048
	maxModels    = 32
)

// Verdict is what a Detector concluded on an endpoint.
type Verdict struct {
	Endpoint uint64
	// Inform says that other processes are to be informed that streams of this process are overdue.
	Inform bool
	// Silent says that the endpoint has just been found silent.
	Silent bool
	// Reporters is the number of other processes whose reports count, and Quiet the time since the
	// endpoint was last heard here; 0 for never.
	Reporters int
	Quiet     time.Duration
}

// Recovery is the result of Receive: whether an endpoint that had been found silent was heard again.
type Recovery struct {
	// After is the time since the alarm; 0 if the endpoint was not silent. FalseAlarm says that it was
	// so short that the alarm was false.
	After      time.Duration
	FalseAlarm bool
}

// Detector finds silent endpoints. Use NewDetector. It is not safe for concurrent use. Times that are
// passed to its methods must not decrease.
type Detector struct {
	// Endpoints returns the number of endpoints of a service, and Processes the number of processes that
	// exchange reports, including this one.
	Endpoints func(service string) int
	Processes func() int
	// Act is called with each Verdict that informs others or finds an endpoint silent, by Tick and Report. It
	// must not call methods of the Detector.
	Act func(Verdict)

	// list holds the endpoints with state in the order of their hashes, at most maxEndpoints.
	list []*endpoint
	// usual holds the usual gaps by model, at most maxModels.
	usual map[string]*gapQuantile
	// rest holds the usual gaps of all models beyond maxModels.
	rest gapQuantile
	// reports limits the rate of reports.
	reports  *rate.Limiter
	lastTick time.Time
	// suspendedUntil is when pauses count again after a stall of this process or a cut of its network.
	suspendedUntil time.Time
}

// NewDetector returns a detector without streams. The arguments set its function fields.
func NewDetector(endpoints func(service string) int, processes func() int, act func(Verdict)) *Detector {
	return &Detector{Endpoints: endpoints, Processes: processes, Act: act, usual: make(map[string]*gapQuantile), reports: rate.NewLimiter(reportsPerSecond, reportsPerSecond)}
}

// Add adds an attempt that is sent now. If there is no room for its endpoint, the attempt is not observed.
func (d *Detector) Add(now time.Time, s *Stream) {
	e := d.get(now, s.Endpoint, s.Service)
	if e == nil {
		return
	}
	if s.Pause <= 0 {
		s.Pause = defaultPause
	}
	if !(s.Pace > 0) {
		s.Pace = 1
	}
	s.endpoint, s.usual, s.waitsSince = e, d.gapsOf(s.Model), now
	e.streams = append(e.streams, s)
}

// gapsOf returns the usual gaps of a model.
func (d *Detector) gapsOf(model string) *gapQuantile {
	q, ok := d.usual[model]
	switch {
	case ok:
		return q
	case len(d.usual) >= maxModels:
		return &d.rest
	}
	q = new(gapQuantile)
	d.usual[model] = q
	return q
}

// Remove removes an attempt that has ended. It does nothing for one that is not observed.
func (d *Detector) Remove(now time.Time, s *Stream) {
	if s.endpoint == nil {
		return
	}
	e := s.endpoint
	e.usedAt = now
	if i := slices.Index(e.streams, s); i >= 0 {
		e.streams = slices.Delete(e.streams, i, i+1)
	}
	if !e.hasBegun() {
		e.overdueSince = time.Time{}
	}
	s.endpoint = nil
}

// Receive records that an attempt received its head or a part of a stream, which is now passed on until
// Wait is called.
func (d *Detector) Receive(now time.Time, s *Stream) Recovery {
	e := s.endpoint
	if e == nil {
		return Recovery{}
	}
	if s.begun && !s.delivering && !d.suspended(now) {
		gap := min(max(now.Sub(s.waitsSince), minLearnedGap), maxLearnedGap)
		e.peak.add(now, gap)
		s.usual.add(time.Duration(float64(gap) / s.Pace))
	}
	s.begun, s.delivering = !s.Passive, true
	return e.hear(now)
}

// hear records that something was received from the endpoint.
func (e *endpoint) hear(now time.Time) (r Recovery) {
	if !e.silentAt.IsZero() {
		r.After = max(now.Sub(e.silentAt), 1)
		r.FalseAlarm = r.After <= falseAlarmWithin
	}
	e.heardAt, e.usedAt, e.overdueSince, e.silentAt = now, now, time.Time{}, time.Time{}
	return r
}

// Heard records that the endpoint with a hash was found alive by other means than its streams.
func (d *Detector) Heard(now time.Time, hash uint64) {
	if i, ok := d.find(hash); ok {
		d.list[i].hear(now)
	}
}

// IsSilent reports whether the endpoint with a hash was found silent and not heard since.
func (d *Detector) IsSilent(hash uint64) bool {
	i, ok := d.find(hash)
	return ok && !d.list[i].silentAt.IsZero()
}

// Wait records that what an attempt received was passed on, and that the process waits for more.
func (d *Detector) Wait(now time.Time, s *Stream) {
	if s.endpoint == nil || !s.delivering {
		return
	}
	s.delivering, s.waitsSince = false, now
	// While the process did not read, silence could not be told.
	s.endpoint.heardAt = now
}

// Report records a report of the process at address by that its streams at an endpoint are overdue. Reports
// that arrive while this process trusts no pause are ignored, as they may have waited for long.
func (d *Detector) Report(now time.Time, hash uint64, service string, by netip.Addr) {
	if d.suspended(now) {
		return
	}
	if e := d.get(now, hash, service); e != nil {
		e.record(now, by)
		d.judge(now, e)
	}
}

// Tick judges all endpoints. It must be called at intervals of a fraction of maxTickGap.
func (d *Detector) Tick(now time.Time) {
	if now.Sub(d.lastTick) > maxTickGap {
		d.suspendedUntil = now.Add(suspendFor)
	}
	d.lastTick = now
	begun, overdue := 0, 0
	for _, e := range d.list {
		if !e.hasBegun() {
			continue
		}
		begun++
		if e.overdue(now) {
			overdue++
		}
	}
	if begun >= minCutEndpoints && float64(overdue) > ownCutFraction*float64(begun) {
		d.suspendedUntil = now.Add(suspendFor)
	}
	for _, e := range d.list {
		d.judge(now, e)
	}
	d.list = slices.DeleteFunc(d.list, func(e *endpoint) bool { return len(e.streams) == 0 && now.Sub(e.usedAt) > idleTTL })
}

// Suspend makes the detector trust no pause for suspendFor, as after a stall of this process that ticks did not
// show.
func (d *Detector) Suspend(now time.Time) { d.suspendedUntil = now.Add(suspendFor) }

// suspended reports whether pauses say nothing of endpoints: this process stood still or its network was cut.
func (d *Detector) suspended(now time.Time) bool {
	return now.Before(d.suspendedUntil) || now.Sub(d.lastTick) > maxTickGap
}

// judge calls Act if others are to be informed of an endpoint or if it is found silent.
func (d *Detector) judge(now time.Time, e *endpoint) {
	if d.suspended(now) {
		return
	}
	overdue := e.overdue(now)
	switch {
	case !overdue:
		e.overdueSince = time.Time{}
	case e.overdueSince.IsZero():
		e.overdueSince = now
	}
	v := Verdict{Endpoint: e.hash, Reporters: e.reporters(now)}
	if !e.heardAt.IsZero() {
		v.Quiet = e.quiet(now)
	}
	v.Inform = d.informs(now, e, overdue)
	v.Silent = e.silentAt.IsZero() && d.isSilent(now, e, overdue, v.Reporters)
	if v.Silent {
		e.silentAt, e.byOwn = now, overdue
	}
	if v.Inform || v.Silent {
		d.Act(v)
	}
}

// isSilent reports whether so many other processes that reported an endpoint, with the streams of this one, are
// enough to find it silent.
func (d *Detector) isSilent(now time.Time, e *endpoint, overdue bool, reporters int) bool {
	switch {
	case overdue:
		return reporters >= minOthers && d.mayAdd(now, e.service)
	case e.hasBegun():
		return false
	default:
		return reporters >= d.needAlone() && d.mayAdd(now, e.service)
	}
}

// informs reports whether other processes are to be informed now. Those whose streams stop a little later
// depend on reports of this one after its streams have been moved.
func (d *Detector) informs(now time.Time, e *endpoint, overdue bool) bool {
	interval := repeatInterval
	switch {
	case overdue && now.Sub(e.overdueSince) > repeatFor:
		interval = slowRepeatInterval
	case overdue:
	case e.silentAt.IsZero() || !e.byOwn || now.Sub(e.silentAt) > repeatFor:
		return false
	}
	if !e.informedAt.IsZero() && now.Sub(e.informedAt) < interval || !d.reports.AllowN(now, 1) {
		return false
	}
	e.informedAt = now
	return true
}

// needAlone returns how many other processes must report an endpoint at which no stream of this process
// pauses.
func (d *Detector) needAlone() int {
	senders := min(d.Processes()-1, MaxRecipients)
	return max(minOthersAlone, int(math.Ceil(aloneFraction*float64(senders))))
}

// mayAdd reports whether another endpoint of a service may count as silent. Silent ones to which nothing was
// sent since their ejection ended do not count: they may have been removed.
func (d *Detector) mayAdd(now time.Time, service string) bool {
	silent := 0
	for _, e := range d.list {
		if !e.silentAt.IsZero() && e.service == service && (len(e.streams) > 0 || now.Sub(e.usedAt) <= maxEjection) {
			silent++
		}
	}
	return float64(silent+1) <= maxSilentFraction*float64(d.Endpoints(service))
}

// get returns the state of an endpoint, which is created if there is room; nil otherwise.
func (d *Detector) get(now time.Time, hash uint64, service string) *endpoint {
	i, ok := d.find(hash)
	if !ok {
		if len(d.list) >= maxEndpoints {
			return nil
		}
		d.list = slices.Insert(d.list, i, &endpoint{hash: hash, service: service})
	}
	e := d.list[i]
	e.usedAt = now
	return e
}

// find returns the index of the endpoint with a hash, or where it belongs if ok is false.
func (d *Detector) find(hash uint64) (i int, ok bool) {
	return slices.BinarySearchFunc(d.list, hash, func(e *endpoint, h uint64) int { return cmp.Compare(e.hash, h) })
}

// Len returns the number of endpoints with state.
func (d *Detector) Len() int { return len(d.list) }
