// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package link

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/fault"
)

// route handles one method.
type route struct {
	// inline routes run in the reading goroutine, in order; they never wait.
	inline bool
	handle func(ctx context.Context, c *Conn, raw json.RawMessage) (any, error)
}

// Mux finds the handler of a method.
type Mux struct {
	routes map[string]route
	// Submit runs a handler outside the reading goroutine, in a bounded pool;
	// it returns an error when the pool is full.
	Submit func(task func()) error
	// OnNewerRevision is called before a handler when the peer has a newer revision;
	// it returns once the settings have caught up or cannot.
	OnNewerRevision func(ctx context.Context, c *Conn, revision int64)
}

// NewMux returns a Mux without routes.
func NewMux(submit func(func()) error, newer func(context.Context, *Conn, int64)) *Mux {
	return &Mux{routes: make(map[string]route), Submit: submit, OnNewerRevision: newer}
}

// Handle handles a method with fn in the pool, after the settings have caught up
// with the peer's revision.
func Handle[P wire.Stamped, R any](m *Mux, method string, fn func(ctx context.Context, c *Conn, p P) (R, error)) {
	m.routes[method] = route{handle: func(ctx context.Context, c *Conn, raw json.RawMessage) (any, error) {
		p, err := decode[P](raw)
		if err != nil {
			return nil, err
		}
		if p.StampedRevision() > c.local.Revision() && m.OnNewerRevision != nil {
			m.OnNewerRevision(ctx, c, p.StampedRevision())
		}
		return fn(ctx, c, p)
	}}
}

// HandleInline handles a method with fn in the reading goroutine, so that messages
// keep their order. fn must not wait.
func HandleInline[P wire.Stamped](m *Mux, method string, fn func(c *Conn, p P)) {
	m.routes[method] = route{inline: true, handle: func(_ context.Context, c *Conn, raw json.RawMessage) (any, error) {
		p, err := decode[P](raw)
		if err != nil {
			return nil, err
		}
		fn(c, p)
		return nil, nil
	}}
}

func decode[P any](raw json.RawMessage) (P, error) {
	var p P
	if err := json.Unmarshal(raw, &p); err != nil {
		return p, fault.New(fault.BadRequest, fault.NotRun, "The message does not decode.")
	}
	return p, nil
}

// handler takes the messages of one link.
type handler struct {
	conn  *Conn
	ready <-chan struct{}
}

// Handle takes one message in the reading goroutine.
func (h handler) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-h.ready
	c := h.conn
	c.local.Messages.Add(1)
	var raw json.RawMessage
	if req.Params != nil {
		raw = *req.Params
	}
	if !c.Proven() {
		c.reply(ctx, req, func() (any, error) { return c.handleHandshake(req.Method, raw) })
		return
	}
	r, ok := c.local.Mux.routes[req.Method]
	if !ok {
		c.reply(ctx, req, func() (any, error) {
			return nil, fault.New(fault.NotFound, fault.NotRun, "There is no method %s.", req.Method)
		})
		return
	}
	c.local.Handling.Add(1)
	work := func() {
		defer c.local.Handling.Add(-1)
		c.reply(ctx, req, func() (any, error) { return r.handle(ctx, c, raw) })
	}
	if r.inline {
		work()
		return
	}
	if err := c.local.Mux.Submit(work); err != nil {
		defer c.local.Handling.Add(-1)
		c.reply(ctx, req, func() (any, error) {
			return nil, fault.New(fault.Overloaded, fault.NotRun, "Too many messages are being handled.")
		})
	}
}

func (c *Conn) reply(ctx context.Context, req *jsonrpc2.Request, fn func() (any, error)) {
	result, err := fn()
	if req.Notif {
		return
	}
	if err != nil {
		_ = c.rpc.ReplyWithError(ctx, req.ID, encodeFault(fault.From(err, fault.MayHaveRun)))
		return
	}
	_ = c.rpc.Reply(ctx, req.ID, result)
}

// handleHandshake handles the handshake of a taken link; anything else ends it.
func (c *Conn) handleHandshake(method string, raw json.RawMessage) (any, error) {
	l := c.local
	if c.onProven == nil {
		return nil, fault.New(fault.Unauthorized, fault.NotRun, "The link is not open yet.")
	}
	switch method {
	case wire.MethodHello:
		p, err := decode[wire.Hello](raw)
		if err != nil {
			return nil, err
		}
		c.Peer = p.Identity
		return wire.HelloReply{
			Stamp:    l.stamp(),
			Identity: l.Identity,
			Nonce:    c.nonce,
			MAC:      l.Keys.MAC(proofText("answer", p.Nonce, l.Identity)),
		}, nil
	case wire.MethodProve:
		p, err := decode[wire.Prove](raw)
		if err == nil && l.Keys.Verifies(proofText("call", c.nonce, c.Peer), p.MAC) {
			c.onProven(c)
			c.proven.Store(true)
			return wire.Empty{Stamp: l.stamp()}, nil
		}
	}
	return nil, fault.New(fault.Unauthorized, fault.NotRun, "The link key is not proven.")
}
