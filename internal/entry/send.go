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
	"github.com/traildrift/traildrift/internal/upconn"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/route"
)

// work returns the work to send to a guard for a routing decision.
func (r *request) work(d *route.Decision) wire.Work {
	w := wire.Work{
		Call:       r.call,
		Version:    d.Version,
		Repeatable: r.repeatable,
		BillID:     r.billID(),
		Cost:       d.Cost,
		// It is computed from the caller's body: the body that is sent names the
		// version, which may differ between repeats.
		Fingerprint: r.fingerprint().String(),
	}
	w.Model, w.Session = d.Model, ""
	if d.Model != "" {
		w.Body = engineBody(w.Body, d.Model, d.Version, w.Stream)
	}
	return w
}

// engineBody sets the chosen version in the body of a chat request, and requests usage at
// the end of a stream. It returns a body that is not a JSON object unchanged.
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

// send sends one attempt of the request to p and returns its outcome. If the link breaks,
// it queries the outcome.
func (e *Entry) send(r *request, p *peer, attempt int, d *route.Decision) wire.RunReply {
	c := p.beginRun()
	if c == nil {
		return wire.RunReply{Err: fault.New(fault.EndpointLost, fault.NotRun, "The endpoint takes no work.")}
	}
	defer p.endRun()
	key := wire.RunKey{RunID: r.id, Attempt: attempt}
	if !r.buf.SelectAttempt(attempt) {
		return wire.RunReply{Err: fault.New(fault.Internal, fault.MayHaveRun, "The answer was begun by another attempt.")}
	}
	e.sinks.add(key, r.buf)
	defer e.sinks.remove(key)
	stop := context.AfterFunc(r.ctx, func() { _ = c.Notify(context.Background(), wire.MethodCancel, wire.Cancel{Key: key}) })
	defer stop()
	e.addUnbilled(key, p)
	ctx, cancel := context.WithDeadline(e.kill, r.call.Deadline.Add(replyGrace))
	defer cancel()
	var reply wire.RunReply
	run := wire.Run{Stamp: e.Stamp(), Key: key, Work: r.work(d), Guard: c.Peer.Incarnation}
	err := c.Call(ctx, wire.MethodRun, run, &reply)
	if errors.Is(err, link.ErrBroken) {
		reply, err = e.queryRun(ctx, r, p, key, c.Peer.Incarnation)
	}
	if err != nil {
		return wire.RunReply{Err: sendFault(err)}
	}
	e.Holder.CatchUp(ctx, c, reply.Revision)
	return reply
}

// replyGrace is how long after a request's deadline the entry waits for the guard's reply.
const replyGrace = 500 * time.Millisecond

// sendFault returns the error for the caller of a run without a reply. The run may have run
// unless the error says otherwise.
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

// runQueryTimeout bounds the wait for a new link after a link broke. After it the run
// counts as one that may have run.
const runQueryTimeout = config.Span(3 * time.Second)

// queryRun queries the outcome of a run after its link broke. Only the incarnation of the
// guard that received the run knows it. queryRun returns an error with fault.MayHaveRun if
// no link opens within runQueryTimeout or the guard was restarted.
func (e *Entry) queryRun(ctx context.Context, r *request, p *peer, key wire.RunKey, incarnation string) (wire.RunReply, error) {
	ctx, cancel := context.WithDeadline(ctx, capDeadline(e.Now(), r.call.Deadline, runQueryTimeout))
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
		// The answer itself may take until the request's deadline.
		callCtx, cancelCall := context.WithDeadline(e.kill, r.call.Deadline.Add(replyGrace))
		err = c.Call(callCtx, wire.MethodRunQuery, wire.RunQuery{Stamp: e.Stamp(), Key: key, Guard: incarnation, Offset: r.buf.Len(), Deadline: r.call.Deadline}, &reply)
		cancelCall()
		if !errors.Is(err, link.ErrBroken) {
			e.Log.Info("entry: The outcome of a run was queried after its link broke.", zap.String("request", r.id), zap.String("vm", p.vm.Name))
			return reply, err
		}
	}
}

// link returns the open link to p, or waits until one opens. It returns an error if ctx is
// done or the peer is dropped first.
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
		case <-p.ctx.Done():
			return nil, fault.EndpointLost
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// handleChunk adds a chunk to the answer of its run. Chunks of attempts that have ended are
// dropped and counted. An answer beyond maxAnswerBytes ends with fault.TooLarge.
func (e *Entry) handleChunk(_ *link.Conn, p wire.Chunk) {
	b := e.sinks.get(p.Key)
	if b == nil {
		e.counts.lateChunks.Inc(1)
		return
	}
	if p.Head != nil {
		// Guards of earlier releases pass on what their endpoints call a status.
		if n := p.Head.Status; n != 0 && !upconn.IsStatus(n) {
			b.Finish(0, fault.New(fault.EndpointFailed, fault.MayHaveRun, "The endpoint answered with status %d.", n))
			return
		}
		b.SetHead(p.Key.Attempt, *p.Head)
	}
	if err := b.Append(p.Key.Attempt, p.Offset, p.Data); err != nil {
		b.Finish(0, fault.New(fault.TooLarge, fault.Ran, "The answer is too large."))
	}
}
