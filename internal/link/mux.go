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

// route is the registered handler of one method.
type route struct {
	// inline reports whether handle runs in the goroutine that reads the link.
	// It must not block then.
	inline bool
	// handle decodes the parameters and returns the reply.
	handle func(ctx context.Context, c *Conn, raw json.RawMessage) (any, error)
}

// Mux dispatches received messages to handlers by method. Handlers must be
// registered before the first link is opened.
type Mux struct {
	// routes holds the handlers by method.
	routes map[string]route
	// Submit runs a handler in a bounded pool of goroutines, without blocking.
	// It returns an error if the pool is full.
	Submit func(task func()) error
	// OnNewerRevision is called before a handler if the message carries a newer
	// settings revision than the one in force here. It fetches the settings from
	// the peer and returns when they are in force or could not be fetched. It may
	// be nil.
	OnNewerRevision func(ctx context.Context, c *Conn, revision int64)
}

// NewMux returns a Mux without handlers. newer is its OnNewerRevision.
func NewMux(submit func(func()) error, newer func(context.Context, *Conn, int64)) *Mux {
	return &Mux{routes: make(map[string]route), Submit: submit, OnNewerRevision: newer}
}

// Handle registers fn for a method. fn runs in the pool, after
// Mux.OnNewerRevision if the peer has newer settings. Its error is sent to the
// peer as a fault.Error.
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

// HandleInline registers fn for a method without a reply. fn runs in the
// goroutine that reads the link, so that messages are handled in the order in
// which they were sent. It must not block.
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

// decode decodes the parameters of a message.
func decode[P any](raw json.RawMessage) (P, error) {
	var p P
	if err := json.Unmarshal(raw, &p); err != nil {
		return p, fault.New(fault.BadRequest, fault.NotRun, "The parameters of the message could not be decoded.")
	}
	return p, nil
}

// handler receives the messages of one link.
type handler struct {
	conn *Conn
	// ready is closed once all fields of conn are set.
	ready <-chan struct{}
}

// Handle dispatches one message; it is called in the goroutine that reads the
// link. Until the peer has proved the link key, only the handshake is handled.
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
			return nil, fault.New(fault.NotFound, fault.NotRun, "The method %s is not known.", req.Method)
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

// reply calls fn and sends its result or error, unless the message is a
// notification.
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

// handleHandshake handles a message of an accepted link whose peer has not proved
// the link key yet. Any message but those of the handshake is refused with
// Unauthorized, as is every message of a dialled link before its handshake ends.
func (c *Conn) handleHandshake(method string, raw json.RawMessage) (any, error) {
	l := c.local
	if c.onProven == nil {
		return nil, fault.New(fault.Unauthorized, fault.NotRun, "The handshake of the link is not complete.")
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
	return nil, fault.New(fault.Unauthorized, fault.NotRun, "The peer has not proved the link key.")
}
