// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/bill"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/route"
	"github.com/traildrift/traildrift/pkg/trail"
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
		if err == nil || !e.again(r, err, len(tried)) {
			e.finish(r, length, err)
			return
		}
	}
}

// again reports whether the request goes to another endpoint after err. One
// that may have run goes on only if it is repeatable and nothing of an answer
// was taken; one that did not run, always.
func (e *Entry) again(r *request, err *fault.Error, attempts int) bool {
	switch {
	case r.ctx.Err() != nil || r.buf.Len() > 0 || r.buf.Ended() != nil:
		return false
	case !err.Kind.Answer().Again || attempts >= *r.effective.Values.MaxAttempts:
		return false
	case err.Run != fault.NotRun && !r.repeatable:
		return false
	case free(err):
		return true
	default:
		return e.limits.retry(r.call.Workspace)
	}
}

// free reports whether going on after err costs the fleet nothing, so that it
// is not taken from the retry budget: the endpoint refused before any work,
// and not for want of room.
func free(err *fault.Error) bool {
	return err.Run == fault.NotRun && err.Kind != fault.Overloaded && err.Kind != fault.DeadlineTooSoon
}

// attempt decides once and sends the request there.
func (e *Entry) attempt(r *request, tried *[]string) (int, *fault.Error) {
	now := e.Now()
	snap, list, d, err := e.choose(r, *tried)
	if err != nil {
		return 0, err
	}
	step := trail.Step{Attempt: len(r.record.Steps) + 1, At: now, Revision: snap.Head.Revision, Model: d.Model, Version: d.Version, Candidates: d.Candidates}
	if d.Kind != "" {
		step.Err = fault.New(d.Kind, fault.NotRun, "%s", d.Kind.Answer().Advice)
		if d.Kind.Answer().ComeBack {
			step.Err.At(comeBackAfter.After(now))
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
		pause(r.ctx, relinkPoll.After(now))
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
	if *eff.Values.OnStale != config.Refuse || now.Before(eff.Values.StaleAfter.After(e.Holder.HeardAt())) {
		return nil
	}
	return fault.New(fault.StaleSettings, fault.NotRun, "The settings are stale.").At(comeBackAfter.After(now))
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

// work is what the guard is asked to do.
func (r *request) work(d *route.Decision) wire.Work {
	c := &r.call
	w := wire.Work{
		Workspace:   c.Workspace,
		Workload:    c.Workload,
		District:    c.District,
		Model:       d.Model,
		Version:     d.Version,
		Service:     c.Service,
		Method:      c.Method,
		Path:        c.Path,
		ContentType: c.ContentType,
		Body:        c.Body,
		Stream:      c.Stream,
		MaxTokens:   c.MaxTokens,
		Priority:    c.Priority,
		Deadline:    c.Deadline,
		Repeatable:  r.repeatable,
		BillID:      r.billID(),
		Cost:        d.Cost,
	}
	if d.Model != "" {
		w.Body = engineBody(c.Body, d.Model, d.Version, c.Stream)
	}
	return w
}

// engineBody names the chosen version in a chat request, and asks for usage at
// the end of a stream.
func engineBody(body []byte, model, version string, streamed bool) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		return body
	}
	fields["model"], _ = json.Marshal(model + "@" + version)
	if streamed {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return out
}

// send runs the request at p once and returns what came of it.
func (e *Entry) send(r *request, p *peer, attempt int, d *route.Decision) wire.RunReply {
	c := p.begin()
	if c == nil {
		return wire.RunReply{Err: fault.New(fault.EndpointLost, fault.NotRun, "The endpoint takes no work.")}
	}
	defer p.done()
	key := wire.RunKey{RunID: r.id, Attempt: attempt}
	if !r.buf.Begin(attempt) {
		return wire.RunReply{Err: fault.New(fault.Internal, fault.MayHaveRun, "The answer was begun by another attempt.")}
	}
	e.sinks.add(key, r.buf)
	defer e.sinks.remove(key)
	stop := context.AfterFunc(r.ctx, func() { _ = c.Notify(context.Background(), wire.MethodCancel, wire.Cancel{Key: key}) })
	defer stop()
	e.owe(key, p)
	ctx, cancel := context.WithDeadline(e.kill, r.call.Deadline.Add(replyGrace))
	defer cancel()
	var reply wire.RunReply
	run := wire.Run{Stamp: e.Stamp(), Key: key, Work: r.work(d), Guard: c.Peer.Incarnation}
	err := c.Call(ctx, wire.MethodRun, run, &reply)
	if errors.Is(err, link.ErrBroken) {
		reply, err = e.ask(ctx, r, p, key, c.Peer.Incarnation)
	}
	if err != nil {
		return wire.RunReply{Err: sendFault(err)}
	}
	e.Holder.Newer(ctx, c, reply.Revision)
	return reply
}

// replyGrace is how long after a request's deadline the guard's own word of it
// is waited for.
const replyGrace = 500 * time.Millisecond

func sendFault(err error) *fault.Error {
	var f *fault.Error
	if errors.As(err, &f) {
		return f
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.New(fault.DeadlinePassed, fault.MayHaveRun, "The deadline passed.")
	}
	return fault.New(fault.EndpointLost, fault.MayHaveRun, "The endpoint was lost while it had the request.")
}

// askWithin is how long a broken link's VM is waited for before a request
// counts as one that may have run.
const askWithin = config.Span(3 * time.Second)

// ask finds out what became of a run after its link broke. Only the guard
// incarnation that was sent the request can tell.
func (e *Entry) ask(ctx context.Context, r *request, p *peer, key wire.RunKey, incarnation string) (wire.RunReply, error) {
	ctx, cancel := context.WithDeadline(ctx, given(e.Now(), r.call.Deadline, askWithin))
	defer cancel()
	for {
		c, err := p.link(ctx)
		if err != nil {
			return wire.RunReply{}, fault.New(fault.EndpointLost, fault.MayHaveRun, "The endpoint was lost while it had the request.")
		}
		if c.Peer.Incarnation != incarnation {
			return wire.RunReply{}, fault.New(fault.EndpointLost, fault.MayHaveRun, "The endpoint was restarted while it had the request.")
		}
		var reply wire.RunReply
		// The answer itself may take until the request's own deadline.
		whole, done := context.WithDeadline(e.kill, r.call.Deadline.Add(replyGrace))
		err = c.Call(whole, wire.MethodAsk, wire.Ask{Stamp: e.Stamp(), Key: key, Guard: incarnation, Offset: r.buf.Len(), Deadline: r.call.Deadline}, &reply)
		done()
		if !errors.Is(err, link.ErrBroken) {
			e.Log.Info("entry: Asked about a run after a broken link.", zap.String("request", r.id), zap.String("vm", p.vm.Name))
			return reply, err
		}
	}
}

// link returns the open link to p, or waits for one.
func (p *peer) link(ctx context.Context) (*link.Conn, error) {
	for {
		p.mu.Lock()
		c, opened := p.conn, p.opened
		p.mu.Unlock()
		if c != nil && !isDone(c.Done()) {
			return c, nil
		}
		select {
		case <-opened:
		case <-p.gone.Done():
			return nil, fault.EndpointLost
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// handleChunk takes a piece of an answer; pieces of ended attempts are
// dropped.
func (e *Entry) handleChunk(_ *link.Conn, p wire.Chunk) {
	b := e.sinks.get(p.Key)
	if b == nil {
		e.counts.lateChunks.Inc(1)
		return
	}
	if p.Head != nil {
		b.SetHead(p.Key.Attempt, *p.Head)
	}
	if err := b.Append(p.Key.Attempt, p.Offset, p.Data); err != nil {
		b.Finish(0, fault.New(fault.TooLarge, fault.Ran, "The answer is too large."))
	}
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
