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

// run attempts a request at one endpoint after another until it is answered or may not be
// retried.
func (e *Entry) run(r *request) {
	if err := e.resolveSession(r); err != nil {
		e.finish(r, 0, err)
		return
	}
	var tried []string
	// failure is the error of the last attempt that may have run; nil before it.
	var failure *fault.Error
	for {
		length, err := e.attempt(r, &tried)
		if err == nil {
			e.recordSuccess(r)
		} else if err.Run != fault.NotRun {
			failure = err
		}
		if err == nil || !e.shouldRetry(r, err, len(tried)) {
			if err != nil && failure != nil {
				err = failure
			}
			e.finish(r, length, err)
			return
		}
	}
}

// shouldRetry reports whether the request is retried at another endpoint after err. A retry
// that adds work to the fleet is taken from the workspace's retry budget.
func (e *Entry) shouldRetry(r *request, err *fault.Error, attempts int) bool {
	rules := tries.Rules{Repeatable: r.repeatable, MaxAttempts: *r.effective.Values.MaxAttempts}
	ended := r.ctx.Err() != nil || r.buf.Ended() != nil
	switch tries.Next(rules, tries.State{Attempts: attempts, AnswerBegun: r.buf.Len() > 0, Finished: ended}, err) {
	case tries.Free:
		return true
	case tries.Paid:
		return e.limits.takeRetry(r.call.Workspace)
	default:
		return false
	}
}

// attempt makes one routing decision and sends the request to the chosen endpoint. It adds
// a step to the trail record, and a billed attempt unless the request did not run. It
// returns the length of the answer in bytes.
func (e *Entry) attempt(r *request, tried *[]string) (int, *fault.Error) {
	if err := e.checkQuarantine(r); err != nil {
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
			step.Err.WithRetryAt(defaultRetryAfter.After(now))
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
		e.removeUnbilled(r, step.Attempt)
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

// choose decides under the settings in force. A request that an endpoint returned as not
// run waits up to relinkTimeout for a usable endpoint, as a fault that breaks one link
// often breaks all links to a pool for a moment.
func (e *Entry) choose(r *request, tried []string) (*config.Snapshot, []*peer, route.Decision, *fault.Error) {
	until := capDeadline(e.Now(), r.call.Deadline, relinkTimeout)
	for {
		now := e.Now()
		view, list := e.peers.view(now)
		snap := e.Holder.Current()
		eff := snap.Effective(r.call.Workspace, r.call.Workload, r.call.District)
		if err := e.checkSettingsAge(eff, now); err != nil {
			return snap, list, route.Decision{}, err
		}
		d := e.decide(r, snap, eff, &view, list, tried)
		if d.Kind != fault.NoVersion || len(tried) == 0 || !now.Before(until) || r.ctx.Err() != nil {
			return snap, list, d, nil
		}
		tasks.Pause(r.ctx, relinkPollInterval.After(now))
	}
}

const (
	// relinkTimeout is how long a request that was returned as not run waits for a usable
	// endpoint, relinkPollInterval the interval between checks.
	relinkTimeout      = config.Span(time.Second)
	relinkPollInterval = config.Span(20 * time.Millisecond)
)

// defaultRetryAfter is the time after which a refused caller may retry, where no better
// estimate is known.
const defaultRetryAfter = config.Span(time.Second)

// checkSettingsAge refuses a request if the settings are older than StaleAfter and OnStale
// says to refuse.
func (e *Entry) checkSettingsAge(eff *config.Effective, now time.Time) *fault.Error {
	if *eff.Values.OnStale != config.Refuse || now.Before(eff.Values.StaleAfter.After(e.Holder.ConfirmedAt())) {
		return nil
	}
	return fault.New(fault.StaleSettings, fault.NotRun, "The settings are stale.").WithRetryAt(defaultRetryAfter.After(now))
}

// decide returns the routing decision for a request. v and list describe the same endpoints
// in the same order; those on the VMs in tried are avoided.
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

// addUnbilled records that the guard of p has to be informed once the bill line of the run
// is confirmed.
func (e *Entry) addUnbilled(key wire.RunKey, p *peer) {
	e.unbilledMu.Lock()
	defer e.unbilledMu.Unlock()
	e.unbilled[key] = p
}

// removeUnbilled removes an attempt that did not run and has no bill line.
func (e *Entry) removeUnbilled(r *request, attempt int) {
	e.unbilledMu.Lock()
	defer e.unbilledMu.Unlock()
	delete(e.unbilled, wire.RunKey{RunID: r.id, Attempt: attempt})
}

// markSettled queues the confirmed runs of bill lines for the next heartbeats to their
// guards.
func (e *Entry) markSettled(lines []bill.Line) {
	e.unbilledMu.Lock()
	defer e.unbilledMu.Unlock()
	for _, l := range lines {
		for _, a := range l.Attempts {
			key := wire.RunKey{RunID: a.RunID, Attempt: a.Attempt}
			p, ok := e.unbilled[key]
			if !ok {
				continue
			}
			delete(e.unbilled, key)
			p.mu.Lock()
			p.settled = append(p.settled, key)
			p.mu.Unlock()
		}
	}
}

// modelOf splits a name of the form model@version. version is empty without @.
func modelOf(name string) (model, version string) {
	model, version, _ = strings.Cut(name, "@")
	return model, version
}
