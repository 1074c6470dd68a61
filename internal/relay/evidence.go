// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/roll"
)

// activeTrial returns the trial under way of a service, and nil if there is none; mu is
// held.
func (e *Engine) activeTrial(service string) *rollout {
	r := e.rollouts[service]
	if r == nil || r.trial.State != roll.Trying {
		return nil
	}
	return r
}

// judgedRollout returns the roll-out of a service whose answers are weighed, and nil if there is
// none; mu is held. A version that was proven is weighed on, as it may turn bad later. Nothing
// is left then to send requests to, so that all that follows is a warning: the operator must
// know at once. What is slow or silent says nothing then: the endpoints get all requests at
// once and hold little of their prompts yet.
func (e *Engine) judgedRollout(service string) *rollout {
	r := e.rollouts[service]
	if r == nil || r.trial.State != roll.Trying && r.trial.State != roll.Proven {
		return nil
	}
	return r
}

// isNew reports whether an endpoint has the version on trial.
func (r *rollout) isNew(p *pool.Entry) bool { return r.hasVersion(p.Version) }

func (r *rollout) hasVersion(v string) bool { return v == r.trial.Version }

// recordTrialRequest notes an attempt for the trial of its service; mu is held.
func (x *run) recordTrialRequest(a *Attempt, now time.Time) {
	if r := x.e.judgedRollout(a.Endpoint.Service); r != nil {
		r.judge.AddRequest(r.isNew(&a.Endpoint))
		a.loaded = x.loaded(r, now)
		a.inPeak = r.trial.InPeakPhase(now) && x.lastWant.PickedFirst()
	}
}

// loaded reports whether the endpoint of the version on trial that serves this session
// bears the load that the old version's usually do: its share of the sessions says so once
// the step has lasted as long as a run does. mu is held.
func (x *run) loaded(r *rollout, now time.Time) bool {
	runTime := time.Duration(x.e.streamTimes[x.route.Name].expect(0) * float64(time.Second))
	return now.Sub(r.stepAt) >= runTime && (r.trial.Share() == 1 || x.e.inLoadedShare(r, x.draw))
}

// addHeadEvidence notes what the head of an answer, or a failure in its place, says about a new
// version; mu is held. How long the head of a stream took depends on what its endpoint
// holds in memory and on what it reads, so that only its pace tells a slow version. An
// endpoint that warms up may be slow, but does not fail for it.
func (e *Engine) addHeadEvidence(a *Attempt, route *Route, failed bool, head time.Duration) {
	r := e.judgedRollout(a.Endpoint.Service)
	if r == nil {
		return
	}
	e.addPeakEvidence(r, a, failed)
	slow := r.trial.State != roll.Proven && route.Kind != Stream && !a.warming && roll.Slow(head, time.Duration(a.expectedHead*float64(time.Second)))
	if a.inPeak && (failed || slow) {
		return
	}
	e.addRoute(r, a, route, failed, slow)
}

// addFailureEvidence notes what an attempt that failed says about a new version; mu is held. An answer
// that never came, broke off or could not be passed on counts as much as a failure that came
// signed: else a version is judged by those of its answers alone that went well, and one that
// hangs on four of ten requests is proven.
func (e *Engine) addFailureEvidence(a *Attempt, route *Route, err *fault.Error, t *attemptRecord, now time.Time) {
	r := e.judgedRollout(a.Endpoint.Service)
	if r == nil || a.inPeak && err.Run != fault.Ran || !a.failureCounts(route, err, t, now) || r.trial.State == roll.Proven && t.Outcome == outcomeSilent {
		return
	}
	if a.gotHead {
		e.addAspect(r, a, endsOfAnswers, true, false)
		return
	}
	e.addPeakEvidence(r, a, true)
	if !a.inPeak {
		e.addRoute(r, a, route, true, false)
	}
}

// addPeakEvidence notes whether an answer failed under a peak, in a row of its own: what the version did
// under lighter loads would outweigh it. Old answers of the same seconds stand beside it. mu is held.
func (e *Engine) addPeakEvidence(r *rollout, a *Attempt, failed bool) {
	if a.inPeak || r.trial.InPeakPhase(e.Now()) && !r.isNew(&a.Endpoint) {
		e.addAspect(r, a, answersInPeak, failed, false)
	}
}

// What is compared between the versions beside routes: the paces of streams, by a single
// time between pieces and by some in a row, whether answers came whole whose head came, and whether
// they failed under a peak.
const (
	answersInPeak = "answers in a peak"
	paceOfStreams = "pace of streams"
	paceInARow    = "pace in a row"
	endsOfAnswers = "ends of answers"
)

// failureCounts reports whether an endpoint failureCounts the answer of an attempt that failed with err: not
// where it proved that it did not run the request, and where nobody waited any more only if
// it had been silent for longer than answers are waited for. One that warms up may be slow.
func (a *Attempt) failureCounts(route *Route, err *fault.Error, t *attemptRecord, now time.Time) bool {
	switch {
	case err.Run == fault.Ran:
		return true
	case err.Run == fault.NotRun || a.warming && t.Outcome == outcomeSilent:
		return false
	case err.Kind == fault.CallerGone || err.Kind == fault.DeadlinePassed:
		return !a.gotHead && !a.warming && now.Sub(t.At) > a.headTimeout(route)
	default:
		return true
	}
}

// addCompletion notes an answer that came to its end.
func (e *Engine) addCompletion(a *Attempt) {
	if !a.gotHead {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.judgedRollout(a.Endpoint.Service); r != nil {
		e.addAspect(r, a, endsOfAnswers, false, false)
	}
}

// addPaceEvidence notes the pace of a stream. The endpoint that has the old load before the others
// holds little yet and reads much, so that its pace is left out.
func (e *Engine) addPaceEvidence(a *Attempt, p *pace) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.activeTrial(a.Endpoint.Service)
	if r == nil || a.loaded || a.warming {
		return
	}
	usual := getOrCreate(e.streamPaces, a.Model)
	e.addAspect(r, a, paceOfStreams, false, roll.Slow(p.minGap, usual.single.mean()))
	e.addAspect(r, a, paceInARow, false, roll.Slow(p.minRow, usual.row.mean()))
	if !r.isNew(&a.Endpoint) {
		usual.add(p)
	}
}

// addRoute adds an answer to the evidence of its route, addAspect to that of an aspect
// which is compared between the versions.
func (e *Engine) addRoute(r *rollout, a *Attempt, route *Route, failed, slow bool) {
	e.addEvidence(r, a, route.Name, roll.RouteOf(pool.Hash(route.Name)), failed, slow)
}

func (e *Engine) addAspect(r *rollout, a *Attempt, aspect string, failed, slow bool) {
	e.addEvidence(r, a, aspect, roll.AspectOf(pool.Hash(aspect)), failed, slow)
}

func (e *Engine) addEvidence(r *rollout, a *Attempt, name string, route uint32, failed, slow bool) {
	r.setName(route, name)
	a.countedAs = evidenceLabel(failed, slow)
	if r.isNew(&a.Endpoint) {
		e.metrics.count("trial_answers", name, a.countedAs)
	}
	e.updateJudge(r, name, func(j *roll.Judge) {
		j.Add(roll.Answer{Route: route, Endpoint: uint32(a.hash), New: r.isNew(&a.Endpoint), Bad: failed || slow, Loaded: a.loaded})
	})
}

// evidenceLabel names what an answer counts as.
func evidenceLabel(failed, slow bool) string {
	switch {
	case failed:
		return "failed"
	case slow:
		return "slow"
	default:
		return "good"
	}
}

// setName keeps the setName of a route or an aspect.
func (r *rollout) setName(route uint32, name string) {
	if r.names == nil {
		r.names = make(map[uint32]string)
	}
	if len(r.names) < roll.MaxRows {
		r.names[route] = name
	}
}

// routeEvidence is what the log tells of the evidence on one route.
type routeEvidence struct {
	Route  string  `json:"route"`
	Old    int     `json:"old"`
	OldBad float64 `json:"oldBad"`
	Good   int     `json:"good"`
	Bad    int     `json:"bad"`
	Sum    float64 `json:"sum"`
	Ratio  float64 `json:"ratio"`
}

// evidenceField returns what the log tells of a trial's evidence by route: what was counted, so
// that a verdict can be told from one that little was seen for.
func (r *rollout) evidenceField() zap.Field {
	list := make([]routeEvidence, 0, len(r.names))
	for _, w := range r.judge.Summaries() {
		name, ok := r.names[w.Route]
		if !ok {
			name = strconv.FormatUint(uint64(w.Route), 16)
		}
		list = append(list, routeEvidence{name, w.OldAnswers, round(w.OldBadShare), w.NewGood, w.NewBad, round(w.Sum), round(w.LLR)})
	}
	return zap.Any("routes", list)
}

// updateJudge lets the judge of a trial take something in, and logs if that finds the version bad.
func (e *Engine) updateJudge(r *rollout, by string, add func(j *roll.Judge)) {
	was := r.judge.Bad()
	r.judge.Endpoints = e.book.Count(r.trial.Service, r.hasVersion)
	add(&r.judge)
	if was || !r.judge.Bad() {
		return
	}
	n, total := r.judge.Exposed()
	e.metrics.count("versions_found_bad", r.trial.Service, string(r.trial.State))
	e.Log.Warn("relay: A new version was found bad.", zap.String("state", string(r.trial.State)), zap.String("service", r.trial.Service), zap.String("version", r.trial.Version),
		zap.String("by", by), zap.Float64("evidence", r.judge.MaxSum()), r.evidenceField(), zap.Int("exposed", n), zap.Int("requests", total))
}

const (
	// reportInterval is how often a router tells the others what it saw of a trial, and
	// reportEveryOf how many routers lengthen that by as much again, so that the bytes
	// grow with the routers, not with their square: at 32 routers a report of 200
	// bytes takes 5 KB/s of each.
	reportInterval        = 300 * time.Millisecond
	reportIntervalRouters = 8
)

// dueReports returns the reports on trials that the other routers should hear now.
func (e *Engine) dueReports(now time.Time) (due []roll.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	interval := reportInterval * time.Duration(1+e.RouterCount()/reportIntervalRouters)
	for _, r := range e.rollouts {
		if r.trial.State != roll.Trying || r.trial.Step == 0 || now.Sub(r.reportedAt) < interval {
			continue
		}
		report := r.judge.LocalReport()
		if report.Requests == r.reportedRequests {
			continue
		}
		r.reportedAt, r.reportedRequests = now, report.Requests
		report = report.Copy()
		report.Trial, report.Reporter = r.hash(), e.incarnation
		due = append(due, report)
	}
	return due
}

// hash names the trial the same in every process.
func (r *rollout) hash() uint64 { return pool.Hash(r.trial.Service + "/" + r.trial.Version) }

// ReceiveTrialReport takes over what another router saw of a trial.
func (e *Engine) ReceiveTrialReport(report roll.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.rollouts {
		if r.trial.State != roll.Trying || r.hash() != report.Trial || report.Reporter == e.incarnation {
			continue
		}
		e.updateJudge(r, "reports", func(j *roll.Judge) { j.Merge(report) })
	}
}
