// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/route"
)

// work is what the guard is asked to do.
func (r *request) work(d *route.Decision) wire.Work {
	w := wire.Work{
		Call:       r.call,
		Version:    d.Version,
		Repeatable: r.repeatable,
		BillID:     r.billID(),
		Cost:       d.Cost,
		// The body that is sent names the version, so that repeats differ there.
		Fingerprint: r.fingerprint().String(),
	}
	w.Model, w.Session = d.Model, ""
	if d.Model != "" {
		w.Body = engineBody(w.Body, d.Model, d.Version, w.Stream)
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
	if !r.buf.SelectAttempt(attempt) {
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
	e.Holder.CatchUp(ctx, c, reply.Revision)
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
		err = c.Call(whole, wire.MethodRunQuery, wire.RunQuery{Stamp: e.Stamp(), Key: key, Guard: incarnation, Offset: r.buf.Len(), Deadline: r.call.Deadline}, &reply)
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
		if c != nil && !tasks.IsDone(c.Done()) {
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
