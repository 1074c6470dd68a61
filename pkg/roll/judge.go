// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import "time"

// Verdict is the result of comparing a new version with the old one.
type Verdict int

// The verdicts. Bad is final; the others may change with each answer.
const (
	// Unknown means too little evidence, Doubtful contradictory evidence.
	Unknown Verdict = iota
	Doubtful
	// Fair means that the version is as good as the old one, under a lighter load than
	// the old one had.
	Fair
	// Good means that the version is as good as the old one under the old one's load.
	Good
	// Bad means that the version is worse than the old one.
	Bad
)

// String returns the verdict's name in lower case.
func (v Verdict) String() string { return [...]string{"unknown", "doubtful", "fair", "good", "bad"}[v] }

// Judge compares the answers of a new version with those of the old one, by route and
// over all routes, using two sequential tests: a cumulative sum detects a bad version
// and a log likelihood ratio confirms a good one. Answers that other processes received
// are merged from their reports. The zero value is ready for use. A Judge is not safe
// for concurrent use.
type Judge struct {
	// Endpoints is the number of endpoints of the new version; the caller keeps it up to
	// date. With a single endpoint, a failure of the endpoint cannot be distinguished from
	// one of the version.
	Endpoints int
	// PeakAspect is the ID of the aspect that says whether answers failed in the peak phase of
	// the trial; 0 for none. It must be set before the first answer.
	PeakAspect uint32
	routes     map[uint32]*evidence
	// overall is the evidence over all routes.
	overall evidence
	// own holds the counts of this process, and received the last report of each process
	// by Report.Reporter. requests and exposed are the sums of Requests and Exposed over
	// own and received.
	own               Report
	received          map[uint64]Report
	requests, exposed int
	// bad is set once the version was found bad and never cleared.
	bad bool
}

// maxReporters bounds the processes whose reports are kept, some hundred bytes each. A router
// counts as a new process after each restart: there is room for four processes of each of 370
// routers, as many as restarting them one after another can make within a trial.
const maxReporters = 1480

// Answer is one answer, or one aspect of an answer, as evidence.
type Answer struct {
	// Route is made by RouteOf or AspectOf; Endpoint is a hash of the endpoint's name.
	Route, Endpoint uint32
	// New says that the new version gave the answer, not the old one.
	New bool
	// Bad says that the answer was a failure or later than expected.
	Bad bool
	// Loaded says that the new version's endpoint had a load like that of the old
	// version's endpoints.
	Loaded bool
}

// AddRequest counts a request that this process sent to the service; isNew says that it
// was sent to the new version.
func (j *Judge) AddRequest(isNew bool) {
	j.own.Requests++
	j.requests++
	if isNew {
		j.own.Exposed++
		j.exposed++
	}
}

// Add adds an answer that this process received.
func (j *Judge) Add(a Answer) {
	row := j.own.row(a.Route)
	c := j.own.countsFor(row)
	switch {
	case !a.New:
		n := &c.OldGood
		if a.Bad {
			n = &c.OldBad
		}
		*n++
		j.addOld(a.Route, a.Bad, 1)
	case a.Bad:
		j.own.addFault(row, a.Endpoint, a.Loaded)
		j.addNewBad(a.Route, a.Endpoint, a.Loaded, 1)
	default:
		n := &c.NewGoodLight
		if a.Loaded {
			n = &c.NewGood
		}
		*n++
		j.addNewGood(a.Route, a.Loaded, 1)
	}
	j.updateBad()
}

// LocalReport returns the counts of this process, without Trial and Reporter. The report
// shares memory with j and is valid until the next call of Add or AddRequest.
func (j *Judge) LocalReport() Report { return j.own }

// Merge adds what another process counted since its last merged report. Late, repeated
// and lost reports do no harm, as each report holds all counts of its process. Merge
// ignores a report with a count below that of the last one or with more entries than the
// bounds of a report allow, and reports of new processes beyond maxReporters.
func (j *Judge) Merge(r Report) {
	was, ok := j.received[r.Reporter]
	if !ok && len(j.received) >= maxReporters || !r.follows(&was) {
		return
	}
	if j.received == nil {
		j.received = make(map[uint64]Report)
	}
	j.received[r.Reporter] = r
	j.requests += int(r.Requests - was.Requests)
	j.exposed += int(r.Exposed - was.Exposed)
	for _, c := range r.Routes {
		w := was.countsOf(c.Route)
		j.addOld(c.Route, false, int(c.OldGood-w.OldGood))
		j.addOld(c.Route, true, int(c.OldBad-w.OldBad))
		j.addNewGood(c.Route, true, int(c.NewGood-w.NewGood))
		j.addNewGood(c.Route, false, int(c.NewGoodLight-w.NewGoodLight))
	}
	for _, f := range r.Faults {
		w := was.faultsOf(f.Route, f.Endpoint)
		j.addNewBad(f.Route, f.Endpoint, false, int(f.Light-w.Light))
		j.addNewBad(f.Route, f.Endpoint, true, int(f.Loaded-w.Loaded))
	}
	j.updateBad()
}

// maxJudgedRoutes bounds the routes and aspects of a Judge, some hundred bytes each. The
// evidence of further ones counts only in the overall evidence.
const maxJudgedRoutes = 256

// evidenceFor returns the evidence of a route or an aspect, and creates it if needed.
func (j *Judge) evidenceFor(route uint32) *evidence {
	e, ok := j.routes[route]
	if !ok && len(j.routes) >= maxJudgedRoutes {
		return &evidence{}
	}
	if !ok {
		if j.routes == nil {
			j.routes = make(map[uint32]*evidence)
		}
		e = j.newEvidence(route)
		j.routes[route] = e
	}
	return e
}

// newEvidence returns the evidence of a route or an aspect without answers. Answers in the peak
// phase fail for the same reasons as those on the routes, of which many are known by then, so the
// old version's share is theirs.
func (j *Judge) newEvidence(route uint32) *evidence {
	if j.PeakAspect == 0 || route != j.PeakAspect {
		return &evidence{}
	}
	return &evidence{prior: j.overall.oldShare(), peak: true}
}

// aspectBit is set in the IDs of aspects and cleared in those of routes.
const aspectBit uint32 = 1 << 31

// RouteOf returns the ID of a route, given the hash of its name.
func RouteOf(hash uint64) uint32 { return uint32(hash) &^ aspectBit }

// AspectOf returns the ID of an aspect, given the hash of its name. An aspect is a
// property of answers, such as the pace of a stream, that is compared between the versions
// in addition to the routes. Several aspects of one answer are not independent: good ones
// are evidence for their aspect only, bad ones also count in the overall evidence, so that
// an answer is good overall only if all its aspects are.
func AspectOf(hash uint64) uint32 { return uint32(hash) | aspectBit }

func isAspect(route uint32) bool { return route&aspectBit != 0 }

func (j *Judge) addOld(route uint32, bad bool, n int) {
	j.evidenceFor(route).addOld(bad, n)
	if bad || !isAspect(route) {
		j.overall.addOld(bad, n)
	}
}

func (j *Judge) addNewGood(route uint32, loaded bool, n int) {
	j.evidenceFor(route).addGood(loaded, n)
	if !isAspect(route) {
		j.overall.addGood(loaded, n)
	}
}

func (j *Judge) addNewBad(route, endpoint uint32, loaded bool, n int) {
	j.evidenceFor(route).addBad(endpoint, loaded, n)
	j.overall.addBad(endpoint, loaded, n)
}

// updateBad sets bad once the evidence reaches badThreshold.
func (j *Judge) updateBad() { j.bad = j.bad || j.MaxSum() >= badThreshold }

// Bad reports whether the version was found bad. Once true, it stays true.
func (j *Judge) Bad() bool { return j.bad }

// MaxSum returns the highest cumulative sum of the log likelihood ratio, over all routes
// together and over each route with enough answers of the old version: the strongest
// evidence against the new version.
func (j *Judge) MaxSum() float64 {
	most := j.adjustedSum(&j.overall)
	for _, e := range j.routes {
		// With few answers of the old version there is nothing to compare with.
		if e.oldAnswers >= minOldAnswers {
			most = max(most, j.adjustedSum(e))
		}
	}
	return most
}

// adjustedSum returns the cumulative sum without the part that a single failing endpoint
// may have caused.
func (j *Judge) adjustedSum(e *evidence) float64 { return max(j.adjusted(e, e.cusum), 0) }

// adjusted returns ratio, a sum or log likelihood ratio of e, without the part that a single
// failing endpoint may have caused. It returns ratio if the version has only one endpoint.
func (j *Judge) adjusted(e *evidence, ratio float64) float64 {
	if j.Endpoints == 1 {
		return ratio
	}
	return e.withoutOneEndpoint(ratio)
}

// Verdict returns the verdict on the present evidence.
func (j *Judge) Verdict() Verdict {
	switch {
	case j.bad:
		return Bad
	case j.MaxSum() >= doubtfulThreshold || j.llrDoubtful():
		return Doubtful
	case j.adjustedLLR() > -fairLLR:
		return Unknown
	case j.overall.loadedLLR <= -goodLoadedLLR && j.adjustedLLR() <= -goodLLR:
		return Good
	default:
		return Fair
	}
}

// adjustedLLR returns the log likelihood ratio over all routes, without the part that a
// single failing endpoint may have caused.
func (j *Judge) adjustedLLR() float64 { return j.adjusted(&j.overall, j.overall.llr) }

// llrDoubtful reports whether the log likelihood ratio of the answers under load, or that
// of any route with enough answers of the old version, exceeds doubtfulLLR.
func (j *Judge) llrDoubtful() bool {
	if j.overall.loadedLLR > doubtfulLLR {
		return true
	}
	for _, e := range j.routes {
		if e.oldAnswers >= minOldAnswers && j.adjusted(e, e.llr) > doubtfulLLR {
			return true
		}
	}
	return false
}

// Exposed returns the number n of requests sent to the new version, of the number of
// requests to the service, over this process and those whose reports were merged.
func (j *Judge) Exposed() (n, of int) { return j.exposed, j.requests }

const (
	// slowFactor is the multiple of the usual time beyond which an answer is slow. Up to a
	// tenth of the old version's answers take as long. They count as bad as well, so that
	// a disturbance of both versions is no evidence against either.
	slowFactor = 1.75
	// minSlowDelay is how much longer than usual a slow answer takes at least: less is the
	// jitter of busy processes.
	minSlowDelay = 10 * time.Millisecond
)

// Slow reports whether d is longer than an answer of the old version usually takes. It
// returns false if the usual time is unknown, that is 0.
func Slow(d, usual time.Duration) bool {
	return usual > 0 && d > usual+minSlowDelay && float64(d) > slowFactor*float64(usual)
}
