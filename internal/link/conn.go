// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package link carries typed messages between the system's own processes:
// jsonrpc2 over one kept TCP connection, opened by a handshake in which both
// sides prove that they hold the link key.
package link

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/seal"
)

// Errors of this package.
const (
	// ErrBroken says that the link ended before the answer; whether the
	// other side got the message is not known.
	ErrBroken fault.Const = "link: the link is broken"
	// ErrFrameTooLarge says that a frame was over the limit.
	ErrFrameTooLarge fault.Const = "link: a frame is too large"
	// ErrProof says that the other side does not hold the link key.
	ErrProof fault.Const = "link: the other side does not prove the link key"
)

const (
	// MaxFrame is the greatest size of a message, in bytes.
	MaxFrame = 16 << 20
	// dialTimeout bounds the opening of a connection and its handshake.
	dialTimeout = 2 * time.Second
	// writeTimeout bounds one write to a peer that does not read.
	writeTimeout = 5 * time.Second
)

// codeFault marks an error reply whose data is a fault.Error.
const codeFault = -32000

// Local is what a process brings to all of its links.
type Local struct {
	Identity wire.Identity
	Keys     *seal.Keyring
	Mux      *Mux
	// TLS secures every link from both sides; nil leaves them plain.
	TLS *tls.Config
	// Revision returns the settings revision in force.
	Revision func() int64
	// Bytes counts what the links carried, both ways.
	Bytes atomic.Int64
	// Messages counts messages sent and taken.
	Messages atomic.Int64
	// Handling counts the messages whose answer is not written yet.
	Handling atomic.Int64
}

// Conn is an open link.
type Conn struct {
	local *Local
	rpc   *jsonrpc2.Conn
	raw   net.Conn
	// Peer is who is on the other side; set before the link is used.
	Peer wire.Identity
	// proven says that the peer holds the key; it never goes back.
	proven atomic.Bool
	// superseded says that the peer has opened a newer link; it never goes
	// back.
	superseded atomic.Bool
	nonce      string
	onProven   func(*Conn)
}

// Proven reports whether the peer proved the link key.
func (c *Conn) Proven() bool { return c.proven.Load() }

// Superseded reports whether the peer has opened a newer link.
func (c *Conn) Superseded() bool { return c.superseded.Load() }

// Supersede marks the link as replaced by a newer one.
func (c *Conn) Supersede() { c.superseded.Store(true) }

// Done is closed when the link has ended.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Close ends the link.
func (c *Conn) Close() { _ = c.rpc.Close() }

// meteredConn counts bytes and bounds each write.
type meteredConn struct {
	net.Conn
	local *Local
}

// Read counts what it reads.
func (m *meteredConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	m.local.Bytes.Add(int64(n))
	return n, err
}

// Write counts what it writes and fails when the peer does not read.
func (m *meteredConn) Write(p []byte) (int, error) {
	if err := m.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := m.Conn.Write(p)
	m.local.Bytes.Add(int64(n))
	return n, err
}

func (l *Local) open(ctx context.Context, raw net.Conn, onProven func(*Conn)) *Conn {
	c := &Conn{local: l, raw: raw, nonce: newNonce(), onProven: onProven}
	s := jsonrpc2.NewBufferedStream(&meteredConn{Conn: raw, local: l}, frameCodec{limit: MaxFrame})
	ready := make(chan struct{})
	c.rpc = jsonrpc2.NewConn(ctx, s, handler{conn: c, ready: ready}, jsonrpc2.SetLogger(logs.LibraryLogger{}))
	close(ready)
	return c
}

func newNonce() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Dial opens a link and proves the key both ways.
func (l *Local) Dial(ctx context.Context, addr netip.AddrPort) (*Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Mark(err, ErrBroken)
	}
	if l.TLS != nil {
		raw = tls.Client(raw, l.TLS)
	}
	c := l.open(context.WithoutCancel(ctx), raw, nil)
	if err := c.handshake(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Conn) handshake(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l := c.local
	var reply wire.HelloReply
	hello := wire.Hello{Stamp: l.stamp(), Identity: l.Identity, Nonce: c.nonce}
	if err := c.Call(ctx, wire.MethodHello, hello, &reply); err != nil {
		return err
	}
	if !l.Keys.Verifies(proofText("answer", c.nonce, reply.Identity), reply.MAC) {
		return ErrProof
	}
	c.Peer = reply.Identity
	c.proven.Store(true)
	proof := wire.Prove{Stamp: l.stamp(), MAC: l.Keys.MAC(proofText("call", reply.Nonce, l.Identity))}
	return c.Call(ctx, wire.MethodProve, proof, &wire.Empty{})
}

func proofText(side, nonce string, id wire.Identity) string {
	return "traildrift link " + side + " " + nonce + " " + id.Incarnation
}

func (l *Local) stamp() wire.Stamp { return wire.Stamp{Revision: l.Revision()} }

// Serve takes links from ln until it is closed. onProven is called for each
// link whose peer proved the key, before any other message of it is handled.
func (l *Local) Serve(ctx context.Context, ln net.Listener, onProven func(*Conn)) error {
	for {
		raw, err := ln.Accept()
		if err != nil {
			return err
		}
		if l.TLS != nil {
			raw = tls.Server(raw, l.TLS)
		}
		c := l.open(ctx, raw, onProven)
		time.AfterFunc(dialTimeout, func() {
			if !c.Proven() {
				c.Close()
			}
		})
	}
}

// Call sends a message and waits for the reply. The error is a *fault.Error
// that the other side answered, ErrBroken, or that of ctx.
func (c *Conn) Call(ctx context.Context, method string, params, reply any) error {
	c.local.Messages.Add(1)
	err := c.rpc.Call(ctx, method, params, reply)
	if err == nil {
		return nil
	}
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return decodeFault(rpcErr)
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return errors.Mark(err, ErrBroken)
}

// Notify sends a message that has no reply.
func (c *Conn) Notify(ctx context.Context, method string, params any) error {
	c.local.Messages.Add(1)
	if err := c.rpc.Notify(ctx, method, params); err != nil {
		return errors.Mark(err, ErrBroken)
	}
	return nil
}

func decodeFault(e *jsonrpc2.Error) error {
	var f fault.Error
	if e.Code == codeFault && e.Data != nil && json.Unmarshal(*e.Data, &f) == nil {
		return &f
	}
	return fault.New(fault.Internal, fault.MayHaveRun, "%s", e.Message)
}

func encodeFault(f *fault.Error) *jsonrpc2.Error {
	e := &jsonrpc2.Error{Code: codeFault, Message: f.Message}
	e.SetError(f)
	return e
}
