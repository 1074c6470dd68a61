// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/roll"
)

// onTrial returns an engine with a trial of version v2 at a step, and the endpoints of the old and
// the new version.
func onTrial(step int) (e *Engine, route *Route, old, latest []pool.Entry) {
	route = &Route{Name: "r", Kind: Stream, Resume: true, Backends: []Backend{{Service: "s", Weight: 1}}}
	e = engine(*route, nil)
	now := time.Now()
	e.PutTrial(roll.Trial{Service: "s", Version: "v2", State: roll.Trying, Step: step, Begun: now.Add(-15 * time.Second), Ends: now.Add(9 * time.Second), Revision: 1})
	for i := range 8 {
		o := pool.Entry{ID: fmt.Sprint("old", i), Service: "s", Version: "v1", Slots: 8, Revision: 1}
		n := pool.Entry{ID: fmt.Sprint("new", i), Service: "s", Version: "v2", Slots: 8, Revision: 1}
		e.PutEndpoint(o)
		e.PutEndpoint(n)
		old, latest = append(old, o), append(latest, n)
	}
	return e, route, old, latest
}

func attemptAt(p pool.Entry) *Attempt {
	return &Attempt{Request: &Request{}, Endpoint: p, Model: "m", hash: pool.Hash(p.ID)}
}

// A version whose streams are slower is found bad by their pace, though their heads come as fast as the
// old version's. One that is as fast is not.
func TestSlowStreamsFindVersionBad(t *testing.T) {
	for _, c := range []struct {
		times int
		want  bool
	}{{1, false}, {3, true}} {
		e, _, old, latest := onTrial(2)
		for i := range 200 {
			gap := time.Duration(15+i%10) * time.Millisecond
			e.addPaceEvidence(attemptAt(old[i%len(old)]), &pace{minGap: gap, minRow: 3 * gap})
			if i%4 == 0 {
				gap *= time.Duration(c.times)
				e.addPaceEvidence(attemptAt(latest[i/4%len(latest)]), &pace{minGap: gap, minRow: 3 * gap})
			}
		}
		if got := e.rollouts["s"].judge.Verdict() == roll.Bad; got != c.want {
			t.Errorf("streams %d times as long between pieces: found bad: got %v, want %v", c.times, got, c.want)
		}
	}
}

// A long time to the head of a stream, as on an endpoint with no prompts cached yet, is no evidence.
func TestLongStreamHeadsAreNoEvidence(t *testing.T) {
	e, route, old, latest := onTrial(2)
	for i := range 200 {
		a := attemptAt(old[i%len(old)])
		e.mu.Lock()
		e.addHeadEvidence(a, route, false, 50*time.Millisecond)
		a = attemptAt(latest[i%len(latest)])
		a.expectedHead = 0.05
		e.addHeadEvidence(a, route, false, 2*time.Second)
		e.mu.Unlock()
	}
	if got := e.rollouts["s"].judge.Verdict(); got == roll.Bad {
		t.Errorf("verdict: got %v, want another one", got)
	}
}

// Reports of another router make a version bad at a router that got no answers of it.
func TestPeerReportsFindVersionBad(t *testing.T) {
	reporter, route, old, latest := onTrial(2)
	receiver, _, _, _ := onTrial(2)
	for i := range 60 {
		reporter.mu.Lock()
		reporter.addHeadEvidence(attemptAt(old[i%len(old)]), route, false, time.Millisecond)
		reporter.addHeadEvidence(attemptAt(latest[i%len(latest)]), route, i%2 == 0, time.Millisecond)
		reporter.rollouts["s"].judge.AddRequest(true)
		reporter.mu.Unlock()
	}
	due := reporter.dueReports(time.Now())
	if len(due) != 1 {
		t.Fatalf("reports: got %d, want 1", len(due))
	}
	receiver.ReceiveTrialReport(due[0])
	if got := receiver.rollouts["s"].judge.Verdict(); got != roll.Bad {
		t.Errorf("verdict of the receiver: got %v, want %v", got, roll.Bad)
	}
	if again := reporter.dueReports(time.Now()); len(again) != 0 {
		t.Errorf("reports right after the first: got %d, want none", len(again))
	}
}

// Part of the share of the version on trial goes to one of its endpoints, the rest to all.
func TestLoadedShareGoesToOneEndpoint(t *testing.T) {
	e, route, _, _ := onTrial(2)
	loaded, all := make(map[string]int), make(map[string]int)
	for i := range 4000 {
		x := &run{e: e, r: &Request{ID: fmt.Sprint(i)}, route: route}
		x.begin()
		e.mu.Lock()
		p, _ := x.pick(e.Now())
		one := e.inLoadedShare(e.rollouts["s"], x.draw)
		e.mu.Unlock()
		switch {
		case p.Version != "v2":
		case one:
			loaded[p.ID]++
		default:
			all[p.ID]++
		}
	}
	if len(loaded) != 1 || len(all) != 8 {
		t.Errorf("endpoints: got %d loaded and %d others, want 1 and 8", len(loaded), len(all))
	}
	for id, n := range loaded {
		if n < 250 || n > 450 {
			t.Errorf("sessions at %s: got %d of 4000, want about 360", id, n)
		}
	}
}

func TestPaceLeavesOutPauses(t *testing.T) {
	var p pace
	for i, ms := range []int{900, 20, 21, 300, 19, 22, 400, 23, 5000} {
		done := p.add(time.Duration(ms) * time.Millisecond)
		if done != (i == paceGaps) {
			t.Errorf("piece %d: done: got %v", i, done)
		}
	}
	if got, want := p.minGap, 19*time.Millisecond; got != want {
		t.Errorf("pace: got %v, want %v", got, want)
	}
	if got, want := p.minRow, 340*time.Millisecond; got != want {
		t.Errorf("pace in a row: got %v, want %v", got, want)
	}
}

// A failure counts if the endpoint should have answered. It does not if the endpoint proved that it did not
// run the request, or if nobody waited long enough.
func TestFailuresThatCount(t *testing.T) {
	route := &Route{Name: "r", Kind: Stream, Aim: config.Span(time.Second)}
	now := time.Now()
	lost := fault.New(fault.EndpointLost, fault.MayHaveRun, "lost")
	left := fault.New(fault.CallerGone, fault.MayHaveRun, "left")
	late := fault.New(fault.DeadlinePassed, fault.MayHaveRun, "late")
	for _, c := range []struct {
		name            string
		err             *fault.Error
		outcome         string
		after           time.Duration
		warming, headed bool
		want            bool
	}{
		{"a failure of its own", fault.New(fault.EndpointFailed, fault.Ran, "500"), "", 0, false, false, true},
		{"a refusal with proof", fault.New(fault.Overloaded, fault.NotRun, "full"), "", 0, false, false, false},
		{"no connection", fault.New(fault.EndpointLost, fault.NotRun, "refused"), "", 0, false, false, false},
		{"silence", lost, outcomeSilent, time.Second, false, false, true},
		{"silence while warming up", lost, outcomeSilent, time.Second, true, false, false},
		{"a reset while warming up", lost, "", 0, true, false, true},
		{"an answer that broke off", lost, "", 0, false, true, true},
		{"an unsigned answer", fault.New(fault.EndpointFailed, fault.MayHaveRun, "unsigned"), "", 0, false, false, true},
		{"a caller that left at once", left, "", 100 * time.Millisecond, false, false, false},
		{"a caller that left after a long silence", left, "", time.Second, false, false, true},
		{"a caller that left after the head", left, "", time.Second, false, true, false},
		{"a deadline soon after", late, "", 100 * time.Millisecond, false, false, false},
		{"a deadline after a long silence", late, "", time.Second, false, false, true},
	} {
		a := &Attempt{warming: c.warming, gotHead: c.headed, expectedHead: 0.05}
		if got := a.failureCounts(route, c.err, &attemptRecord{At: now.Add(-c.after), Outcome: c.outcome}, now); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// In the peak phase an endpoint of the new version may be slow, and silent for long, which is no
// evidence. Its failures are, also after good answers under lighter loads. The old version's failures in
// the same phase are compared with them.
func TestPeakShowsFailures(t *testing.T) {
	failed := fault.New(fault.EndpointFailed, fault.Ran, "failed")
	silent := fault.New(fault.EndpointLost, fault.MayHaveRun, "silent")
	for _, c := range []struct {
		name   string
		kind   Kind
		answer func(e *Engine, a *Attempt, route *Route)
		want   roll.Verdict
	}{
		{"good", Stream, func(e *Engine, a *Attempt, route *Route) { e.addHeadEvidence(a, route, false, time.Millisecond) }, roll.Good},
		{"slow", Safe, func(e *Engine, a *Attempt, route *Route) {
			a.expectedHead = 0.01
			e.addHeadEvidence(a, route, false, time.Second)
		}, roll.Good},
		{"silent", Stream, func(e *Engine, a *Attempt, route *Route) {
			e.addFailureEvidence(a, route, silent, &attemptRecord{At: e.Now(), Outcome: outcomeSilent}, e.Now())
		}, roll.Good},
		{"failing", Stream, func(e *Engine, a *Attempt, route *Route) {
			e.addFailureEvidence(a, route, failed, &attemptRecord{At: e.Now()}, e.Now())
		}, roll.Doubtful},
	} {
		e, route, old, latest := onTrial(2)
		route.Kind = c.kind
		begun := e.rollouts["s"].trial.Begun
		for i := range 200 {
			a := attemptAt(latest[i%8])
			a.loaded = i%2 == 0
			e.addHeadEvidence(a, route, false, time.Millisecond)
			e.addHeadEvidence(attemptAt(old[i%8]), route, false, time.Millisecond)
		}
		e.Now = func() time.Time { return begun.Add(20 * time.Second) }
		for i := range 60 {
			e.addHeadEvidence(attemptAt(old[i%8]), route, false, time.Millisecond)
			a := attemptAt(latest[0])
			a.loaded, a.inPeak = true, true
			if i%3 == 0 {
				c.answer(e, a, route)
			} else {
				e.addHeadEvidence(a, route, false, time.Millisecond)
			}
		}
		if got := e.rollouts["s"].judge.Verdict(); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
