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

// activeTrial returns the roll-out of a service whose trial is under way, and nil if there is none; mu is
// held.
func (e *Engine) activeTrial(service string) *rollout {
	r := e.rollouts[service]
	if r == nil || r.trial.State != roll.Trying {
		return nil
	}
	return r
}

// judgedRollout returns the roll-out of a service whose answers are judged, and nil if there is
// none; mu is held. A proven version is still judged, as it may turn bad later. No other version is
// left then to send requests to, so a bad verdict only warns the operator, at once. Slow and silent
// answers do not count then: the endpoints get all requests at once and have few of their
// prompts cached yet.
func (e *Engine) judgedRollout(service string) *rollout {
	r := e.rollouts[service]
	if r == nil || r.trial.State != roll.Trying && r.trial.State != roll.Proven {
		return nil
	}
	return r
}

// isNew reports whether an endpoint runs the version on trial.
func (r *rollout) isNew(p *pool.Entry) bool { return r.hasVersion(p.Version) }

func (r *rollout) hasVersion(v string) bool { return v == r.trial.Version }

// recordTrialRequest counts an attempt for the roll-out of its service, if there is one, and sets the
// attempt's loaded and inPeak; mu is held.
func (x *run) recordTrialRequest(a *Attempt, now time.Time) {
	if r := x.e.judgedRollout(a.Endpoint.Service); r != nil {
		r.judge.AddRequest(r.isNew(&a.Endpoint))
		a.loaded = x.loaded(r, now)
		a.inPeak = r.trial.InPeakPhase(now) && x.lastWant.PickedFirst()
	}
}

// loaded reports whether the endpoint of the version on trial that serves this session has the load
// that endpoints of the old version usually have. Its share of the sessions determines the load once
// the step has lasted as long as a run does. mu is held.
func (x *run) loaded(r *rollout, now time.Time) bool {
	runTime := time.Duration(x.e.streamTimes[x.route.Name].expect(0) * float64(time.Second))
	return now.Sub(r.stepAt) >= runTime && (r.trial.Share() == 1 || x.e.inLoadedShare(r, x.draw))
}

// addHeadEvidence adds the head of an answer, or a failure in its place, to the evidence on a new
// version; mu is held. The time to the head of a stream depends on the prompts that the endpoint
// has cached and on those it reads, so only the pace of a stream shows that a version is slow. An
// endpoint that warms up may be slow, but its failures count.
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

// addFailureEvidence adds a failed attempt to the evidence on a new version; mu is held. An answer
// that never came, broke off or could not be passed on counts as much as a signed failure.
// Otherwise a version would be judged by its good answers alone, and one that does not answer four
// of ten requests would be proven.
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

// addPeakEvidence adds whether an answer failed in the peak phase, as an aspect of its own: good answers
// under lighter loads would outweigh it. Answers of the old version in that phase are added for
// comparison. mu is held.
func (e *Engine) addPeakEvidence(r *rollout, a *Attempt, failed bool) {
	if a.inPeak || r.trial.InPeakPhase(e.Now()) && !r.isNew(&a.Endpoint) {
		e.addAspect(r, a, answersInPeak, failed, false)
	}
}

// The aspects that are compared between the versions in addition to routes: whether answers
// failed in the peak phase, the pace of streams by a single time between pieces and by
// several in a row, and whether answers were complete after their head.
const (
	answersInPeak = "answers in a peak"
	paceOfStreams = "pace of streams"
	paceInARow    = "pace in a row"
	endsOfAnswers = "ends of answers"
)

// failureCounts reports whether an attempt that failed with err counts as a failure of its endpoint. It
// does not if the endpoint proved that it did not run the request. If the attempt was abandoned, it counts
// only if the endpoint had been silent for longer than the head timeout. An endpoint that warms up may be
// slow.
func (a *Attempt) failureCounts(route *Route, err *fault.Error, t *attemptRecord, now time.Time) bool {
	switch {
	case err.Run == fault.Ran:
		return true
	case err.Run == fault.NotRun || a.warming && t.Outcome == outcomeSilent:
		return false
	case abandoned(err):
		return !a.gotHead && !a.warming && now.Sub(t.At) > a.headTimeout(route)
	default:
		return true
	}
}

// addCompletion adds a complete answer to the evidence on a new version.
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

// addPaceEvidence adds the pace of a stream to the evidence on a new version. It leaves out the
// endpoint that gets the old version's load before the others: that one has few prompts cached yet and
// reads much.
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

// addRoute adds an answer to the evidence on its route, addAspect to that on an aspect that is compared
// between the versions.
func (e *Engine) addRoute(r *rollout, a *Attempt, route *Route, failed, slow bool) {
	e.addEvidence(r, a, route.Name, roll.RouteOf(pool.Hash(route.Name)), failed, slow)
}

func (e *Engine) addAspect(r *rollout, a *Attempt, aspect string, failed, slow bool) {
	e.addEvidence(r, a, aspect, aspectID(aspect), failed, slow)
}

// aspectID returns the ID of an aspect in reports.
func aspectID(aspect string) uint32 { return roll.AspectOf(pool.Hash(aspect)) }

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

// evidenceLabel returns the name under which an answer is counted.
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

// setName stores the name of a route or an aspect for logs.
func (r *rollout) setName(route uint32, name string) {
	if r.names == nil {
		r.names = make(map[uint32]string)
	}
	if len(r.names) < roll.MaxRows {
		r.names[route] = name
	}
}

// routeEvidence is the evidence on one route or aspect as it is logged.
type routeEvidence struct {
	Route  string  `json:"route"`
	Old    int     `json:"old"`
	OldBad float64 `json:"oldBad"`
	Good   int     `json:"good"`
	Bad    int     `json:"bad"`
	Sum    float64 `json:"sum"`
	Ratio  float64 `json:"ratio"`
}

// evidenceField returns the log field for a roll-out's evidence by route. It holds the counts, so that a
// verdict from few answers can be recognised.
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

// updateJudge calls add with the judge of a roll-out, and logs if the version is found bad by that; mu is
// held.
func (e *Engine) updateJudge(r *rollout, by string, add func(j *roll.Judge)) {
	wasBad := r.judge.Bad()
	r.judge.Endpoints = e.book.Count(r.trial.Service, r.hasVersion)
	add(&r.judge)
	if wasBad || !r.judge.Bad() {
		return
	}
	n, total := r.judge.Exposed()
	e.metrics.count("versions_found_bad", r.trial.Service, string(r.trial.State))
	e.Log.Warn("relay: A new version was found bad.", zap.String("state", string(r.trial.State)), zap.String("service", r.trial.Service), zap.String("version", r.trial.Version),
		zap.String("by", by), zap.Float64("evidence", r.judge.MaxSum()), r.evidenceField(), zap.Int("exposed", n), zap.Int("requests", total))
}

const (
	// reportInterval is the time between a router's reports on a trial to the others. It grows by as
	// much for each reportIntervalRouters routers, so that the bytes sent grow with the number of
	// routers, not with its square: with 32 routers, reports of 200 bytes take 5 KB/s per router.
	reportInterval        = 300 * time.Millisecond
	reportIntervalRouters = 8
)

// dueReports returns the reports on trials that are to be sent to the other routers at now.
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

// hash identifies the trial; it is the same in every process.
func (r *rollout) hash() uint64 { return pool.Hash(r.trial.Service + "/" + r.trial.Version) }

// ReceiveTrialReport merges another router's report into the evidence on its trial. It ignores reports on
// trials that are not under way here, and this router's own.
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
