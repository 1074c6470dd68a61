// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/desk"
	"github.com/traildrift/traildrift/internal/fakes"
	"github.com/traildrift/traildrift/internal/rig"
	"github.com/traildrift/traildrift/pkg/bill"
	"github.com/traildrift/traildrift/pkg/config"
)

// soakKey is the API key of the callers.
const soakKey = "soak-key"

var settings = `
models:
  mapcore:
    versions:
      "1": {pool: mapcore, cost: 1, quality: 0.8}
      "2": {pool: mapcore, cost: 2, quality: 0.8}
services:
  register: {pool: register}
values: {answerWithin: 4s}
workspaces:
  kahurangi:
    keyHashes: ["` + config.APIKeyHash(soakKey) + `"]
    values: {allow: [mapcore], answerKept: 5m}
    workloads:
      tags: {}
      notes: {serves: register, values: {repeatable: false}}
`

// Options are the options of a soak test.
type Options struct {
	// Seed determines the faults, the requests and the behaviour of the fakes. Their timing
	// still differs from run to run.
	Seed uint64
	// Duration is how long callers send requests and faults are injected.
	Duration config.Span
	// Callers is the number of concurrent callers.
	Callers int
	// Dir is the folder for the files of the fleet.
	Dir string
	// Out receives one line at the start and one with the counts at the end.
	Out io.Writer
}

// run is the state of one soak test.
type run struct {
	opts       Options
	f          *rig.Fleet
	tally      *tally
	mu         sync.Mutex
	violations []string
	// unavoidableLosses is the number of whole answers without a bill line for which an entry
	// and a guard were both killed before either can be sure to have written it.
	unavoidableLosses int
}

// report records a violation. It may be called concurrently.
func (r *run) report(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// Run runs one soak test. It returns an error if the fleet does not start, or if there are
// violations: their number and the first maxViolationsShown of them.
func Run(ctx context.Context, o Options) error {
	_, _ = fmt.Fprintf(o.Out, "soak: seed %d, for %s, %d callers\n", o.Seed, o.Duration, o.Callers)
	f, err := rig.Start(rig.Options{
		Dir: o.Dir, Zones: []string{"a", "b"}, Entries: 3, Settings: settings, Seed: o.Seed,
		EntrySettings: "listEvery: 500ms\nbeatEvery: 200ms\nsuspectAfter: 600ms\n",
		GuardSettings: "billAfter: 1s\n",
		Pools: []rig.Pool{
			{Name: "mapcore", Kind: "engine", Endpoints: 3, Slots: 8, Waiting: 16, Engine: fakes.EngineOptions{FirstToken: config.Span(5 * time.Millisecond), PerToken: config.Span(time.Millisecond)}},
			{Name: "register", Kind: "service", Endpoints: 3, Slots: 8, Waiting: 16, ServiceTime: config.Span(20 * time.Millisecond)},
		},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	r := &run{opts: o, f: f, tally: &tally{notes: make(map[string]*outcomes), chats: make(map[string]*outcomes), errors: make(map[string]int)}}
	in := &injector{f: f, rnd: rand.New(rand.NewPCG(o.Seed, 0)), counts: make(map[string]int), kills: make(map[string][]time.Time), busiest: new(atomic.Int64), report: r.report}
	r.drive(in)
	in.endFaults(ctx)
	if err := f.WaitReady(time.Now().Add(20 * time.Second)); err != nil {
		r.report("not ready after the faults: %v", err)
	}
	r.checkProcesses()
	r.checkRuns()
	r.checkBills(ctx, in)
	_, _ = fmt.Fprintf(o.Out, "soak: seed %d: %d answers, faults %v, failures %v, bills lost with both holders %d, violations %d\n", o.Seed, r.tally.sent, in.counts, r.tally.errors, r.unavoidableLosses, len(r.violations))
	if len(r.violations) > 0 {
		return errors.Newf("soak: seed %d: %d violations, such as %q", o.Seed, len(r.violations), r.violations[:min(len(r.violations), maxViolationsShown)])
	}
	return nil
}

// drive runs the callers and the injector for the duration of the test.
func (r *run) drive(in *injector) {
	until := r.opts.Duration.After(time.Now())
	var wg sync.WaitGroup
	for n := range r.opts.Callers {
		c := &caller{f: r.f, rnd: rand.New(rand.NewPCG(r.opts.Seed, uint64(n+1))), tally: r.tally, id: n, busiest: in.busiest}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.run(until)
		}()
	}
	in.run(until)
	wg.Wait()
}

// checkProcesses reports each process that does not answer or has counted broken invariants.
func (r *run) checkProcesses() {
	for _, n := range r.f.Nodes() {
		u, err := n.Usage()
		if err != nil {
			r.report("%s does not answer after the faults: %v", n.VM.Name, err)
			continue
		}
		if u.Violations > 0 {
			r.report("%s counted %d broken invariants", n.VM.Name, u.Violations)
		}
	}
}

// checkRuns compares the answers that callers received with the runs of the endpoints.
func (r *run) checkRuns() {
	for _, w := range r.tally.wrong {
		r.report("a wrong answer: %s", w)
	}
	bodies := r.f.ServiceCalls()
	for work, t := range r.tally.notes {
		n := bodies[work]
		switch {
		case n > 1:
			r.report("%q may not be repeated and ran %d times: %+v", work, n, *t)
		case t.whole > 0 && n != 1:
			r.report("%q was answered whole and ran %d times: %+v", work, n, *t)
		case t.whole+t.unsure+t.noAnswer == 0 && n != 0:
			r.report("%q was always said not to have run and ran: %+v", work, *t)
		}
	}
	for id, n := range r.f.EngineRuns() {
		if n > 1 {
			r.report("attempt %s ran %d times", id, n)
		}
	}
}

// maxViolationsShown is how many violations the error of Run quotes.
const maxViolationsShown = 8

// billsTimeout bounds the wait for the last bill line after the faults have ended.
const billsTimeout = config.Span(15 * time.Second)

// checkBills waits until every whole answer has a bill line, and then reports the lines for
// work items that did not run.
func (r *run) checkBills(ctx context.Context, in *injector) {
	deadline := billsTimeout.After(time.Now())
	for {
		var missing, wrong []string
		lines, err := desk.Bills(ctx, r.f.Store, "")
		if err == nil {
			missing, wrong = r.compareBills(lines, in)
		}
		complete := err == nil && len(missing) == 0
		if !complete && time.Now().Before(deadline) {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		if err != nil {
			r.report("bills could not be read: %v", err)
		}
		if len(missing) > 0 {
			r.report("bills: %d whole answers have no line, such as %q", len(missing), missing[:min(3, len(missing))])
		}
		for _, w := range wrong {
			r.report("%s", w)
		}
		return
	}
}

// compareBills returns the work items that have a whole answer and no bill line, and a
// description of each bill line for a work item that was always reported as not run.
func (r *run) compareBills(lines []bill.Line, in *injector) (missing, wrong []string) {
	r.unavoidableLosses = 0
	byID := make(map[string]bool, len(lines))
	for _, l := range lines {
		byID[l.ID] = true
	}
	for _, m := range []map[string]*outcomes{r.tally.notes, r.tally.chats} {
		for work, t := range m {
			id := t.request
			if t.key != "" {
				id = "kahurangi/" + t.key
			}
			if t.whole > 0 && !byID[id] {
				if in.bothBillersKilled(t.at) {
					r.unavoidableLosses++
				} else {
					missing = append(missing, work)
				}
			}
			if t.key != "" && t.whole+t.unsure+t.noAnswer == 0 && byID[id] {
				wrong = append(wrong, fmt.Sprintf("%q was always said not to have run and is billed", work))
			}
		}
	}
	return missing, wrong
}
