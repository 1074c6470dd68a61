// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"strings"
	"time"

	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/bill"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/route"
	"github.com/traildrift/traildrift/pkg/trail"
	"github.com/traildrift/traildrift/pkg/tries"
)

// run takes a request from endpoint to endpoint until it is answered.
func (e *Entry) run(r *request) {
	if err := e.sessionOf(r); err != nil {
		e.finish(r, 0, err)
		return
	}
	var tried []string
	for {
		length, err := e.attempt(r, &tried)
		if err == nil {
			e.answeredWhole(r)
		}
		if err == nil || !e.again(r, err, len(tried)) {
			e.finish(r, length, err)
			return
		}
	}
}

// again reports whether the request goes to another endpoint after err, and pays
// for it where the fleet has to.
func (e *Entry) again(r *request, err *fault.Error, attempts int) bool {
	rules := tries.Rules{Repeatable: r.repeatable, MaxAttempts: *r.effective.Values.MaxAttempts}
	over := r.ctx.Err() != nil || r.buf.Ended() != nil
	switch tries.Next(rules, tries.State{Attempts: attempts, AnswerBegun: r.buf.Len() > 0, Finished: over}, err) {
	case tries.Free:
		return true
	case tries.Paid:
		return e.limits.retry(r.call.Workspace)
	default:
		return false
	}
}

// attempt decides once and sends the request there.
func (e *Entry) attempt(r *request, tried *[]string) (int, *fault.Error) {
	if err := e.quarantined(r); err != nil {
		return 0, err
	}
	now := e.Now()
	snap, list, d, err := e.choose(r, *tried)
	if err != nil {
		return 0, err
	}
	step := trail.Step{Attempt: len(r.record.Steps) + 1, At: now, Revision: snap.Head.Revision, Model: d.Model, Version: d.Version, Candidates: d.Candidates}
	if d.Kind != "" {
		step.Err = fault.New(d.Kind, fault.NotRun, "%s", d.Kind.Answer().Advice)
		if d.Kind.Answer().RetryLater {
			step.Err.WithRetryAt(comeBackAfter.After(now))
		}
		r.record.Steps = append(r.record.Steps, step)
		return 0, step.Err
	}
	p := list[d.Endpoint]
	*tried = append(*tried, p.vm.Name)
	step.VM = p.vm.Name
	reply := e.send(r, p, step.Attempt, &d)
	step.Err = reply.Err
	r.record.Steps = append(r.record.Steps, step)
	if reply.Err != nil && reply.Err.Run == fault.NotRun {
		e.disown(r, step.Attempt)
	} else {
		r.attempts = append(r.attempts, bill.Attempt{
			RunID:            r.id,
			Attempt:          step.Attempt,
			VM:               p.vm.Name,
			Model:            d.Model,
			Version:          d.Version,
			PromptTokens:     reply.Usage.PromptTokens,
			CompletionTokens: reply.Usage.CompletionTokens,
			Cost:             bill.CostOf(d.Cost, reply.Usage.PromptTokens, reply.Usage.CompletionTokens),
		})
	}
	return reply.Length, reply.Err
}

// choose decides under the settings in force. A request that was sent back by
// an endpoint as not run waits a little for another one to be linked again:
// a fault that breaks one link often breaks all of a pool for a moment.
func (e *Entry) choose(r *request, tried []string) (*config.Snapshot, []*peer, route.Decision, *fault.Error) {
	until := given(e.Now(), r.call.Deadline, relinkWithin)
	for {
		now := e.Now()
		view, list := e.peers.view(now)
		snap := e.Holder.Current()
		eff := snap.Effective(r.call.Workspace, r.call.Workload, r.call.District)
		if err := e.fresh(eff, now); err != nil {
			return snap, list, route.Decision{}, err
		}
		d := e.decide(r, snap, eff, &view, list, tried)
		if d.Kind != fault.NoVersion || len(tried) == 0 || !now.Before(until) || r.ctx.Err() != nil {
			return snap, list, d, nil
		}
		tasks.Pause(r.ctx, relinkPoll.After(now))
	}
}

const (
	// relinkWithin is how long a request that was sent back waits for another
	// endpoint, relinkPoll how often it looks.
	relinkWithin = config.Span(time.Second)
	relinkPoll   = config.Span(20 * time.Millisecond)
)

// comeBackAfter is when a caller is asked to come back where nothing better is
// known.
const comeBackAfter = config.Span(time.Second)

// fresh refuses under stale settings where the settings say so.
func (e *Entry) fresh(eff *config.Effective, now time.Time) *fault.Error {
	if *eff.Values.OnStale != config.Refuse || now.Before(eff.Values.StaleAfter.After(e.Holder.ConfirmedAt())) {
		return nil
	}
	return fault.New(fault.StaleSettings, fault.NotRun, "The settings are stale.").WithRetryAt(comeBackAfter.After(now))
}

func (e *Entry) decide(r *request, snap *config.Snapshot, eff *config.Effective, v *route.View, list []*peer, tried []string) route.Decision {
	var avoid []int
	for i, p := range list {
		for _, vm := range tried {
			if p.vm.Name == vm {
				avoid = append(avoid, i)
			}
		}
	}
	req := r.routeRequest(e.Common.AvailabilityZone, avoid)
	var d route.Decision
	if r.call.Service != "" {
		s, _ := snap.Service(r.call.Service)
		route.DecideService(&d, s.Pool, &req, v)
		return d
	}
	route.Decide(&d, eff, snap.Candidates(eff), &req, v)
	if d.Kind == "" && d.Endpoint < 0 {
		d.Kind = fault.NoVersion
	}
	return d
}

// owe notes that the guard of p must hear when the run's bill is confirmed.
func (e *Entry) owe(key wire.RunKey, p *peer) {
	e.owedMu.Lock()
	defer e.owedMu.Unlock()
	e.owed[key] = p
}

// disown forgets a run that did not run and so has no bill.
func (e *Entry) disown(r *request, attempt int) {
	e.owedMu.Lock()
	defer e.owedMu.Unlock()
	delete(e.owed, wire.RunKey{RunID: r.id, Attempt: attempt})
}

// settle tells the guards which runs are billed.
func (e *Entry) settle(lines []bill.Line) {
	e.owedMu.Lock()
	defer e.owedMu.Unlock()
	for _, l := range lines {
		for _, a := range l.Attempts {
			key := wire.RunKey{RunID: a.RunID, Attempt: a.Attempt}
			p, ok := e.owed[key]
			if !ok {
				continue
			}
			delete(e.owed, key)
			p.mu.Lock()
			p.settled = append(p.settled, key)
			p.mu.Unlock()
		}
	}
}

// modelOf splits a model@version name.
func modelOf(name string) (model, version string) {
	model, version, _ = strings.Cut(name, "@")
	return model, version
}
