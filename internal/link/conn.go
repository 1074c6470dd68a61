// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package link carries the messages of internal/wire between entries and guards.
// A link is a persistent TCP connection, optionally with TLS, that carries
// JSON-RPC 2.0. It starts with a handshake in which both sides prove that they
// hold the link key: each authenticates a nonce of the other with a MAC.
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
	"github.com/traildrift/traildrift/internal/quota"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/seal"
)

// Errors of this package.
const (
	// ErrBroken is returned if the link could not be opened or ended before
	// the reply. Whether the peer has received the message is not known.
	ErrBroken fault.Const = "link: the link is broken"
	// ErrFrameTooLarge is the error of a link that has received a frame of more
	// than MaxFrame bytes; the link then ends.
	ErrFrameTooLarge fault.Const = "link: a frame is too large"
	// ErrProof is returned by Dial if the peer does not hold the link key.
	ErrProof fault.Const = "link: the other side does not prove the link key"
)

const (
	// MaxFrame is the maximum length of an encoded message, in bytes.
	MaxFrame = 16 << 20
	// maxStrangerFrame is the maximum length of a message from a process that has not proved the link key.
	maxStrangerFrame = 16 << 10
	// dialTimeout bounds the opening of a connection, and then its handshake.
	dialTimeout = 2 * time.Second
	// writeTimeout bounds one write, as a peer may have stopped reading.
	writeTimeout = 5 * time.Second
)

// codeFault is the JSON-RPC error code of a reply whose data is a fault.Error.
const codeFault = -32000

// Local is the local side of all links of a process. Its fields must be set
// before the first link is dialled or served; the counters start at zero.
type Local struct {
	// Identity is sent to each peer in the handshake.
	Identity wire.Identity
	// Keys holds the link keys.
	Keys *seal.Keyring
	// Mux handles the messages that peers send.
	Mux *Mux
	// TLS is used for every link that is dialled or accepted; nil means plain
	// TCP.
	TLS *tls.Config
	// Revision returns the settings revision in force in this process.
	Revision func() int64
	// Bytes counts the bytes that were sent and received, without those of TLS.
	Bytes atomic.Int64
	// Messages counts the calls and notifications that were sent and received.
	Messages atomic.Int64
	// Handling is the number of received messages that are being handled and
	// not yet replied to.
	Handling atomic.Int64
}

// Conn is an open link. It is safe for concurrent use.
type Conn struct {
	local *Local
	rpc   *jsonrpc2.Conn
	raw   *meteredConn
	// Peer is the identity that the peer sent in the handshake. It is set before
	// Dial returns or onProven is called, and not changed later.
	Peer wire.Identity
	// proven reports that the peer has proved the link key; it is never reset.
	proven atomic.Bool
	// superseded reports that the peer has opened a newer link; it is never
	// reset.
	superseded atomic.Bool
	// nonce is the challenge for the peer.
	nonce string
	// onProven is called once the peer has proved the link key; nil for a link
	// that this process dialled.
	onProven func(*Conn)
}

// Proven reports whether the peer has proved the link key.
func (c *Conn) Proven() bool { return c.proven.Load() }

// Superseded reports whether Supersede was called.
func (c *Conn) Superseded() bool { return c.superseded.Load() }

// Supersede marks the link as replaced by a newer one of the same peer. It does
// not close the link.
func (c *Conn) Supersede() { c.superseded.Store(true) }

// Done returns a channel that is closed when the link has ended.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Close ends the link. Waiting calls return ErrBroken.
func (c *Conn) Close() { _ = c.rpc.Close() }

// meteredConn is a connection that counts its bytes in Local.Bytes and bounds
// the time of each write.
type meteredConn struct {
	net.Conn
	local *Local
	// closed is set by Close. expiry closes the connection of a stranger; nil for none.
	closed atomic.Bool
	expiry atomic.Pointer[time.Timer]
}

// Close closes the connection, and drops the timer, which would keep the link in memory.
func (m *meteredConn) Close() error {
	m.closed.Store(true)
	if t := m.expiry.Load(); t != nil {
		t.Stop()
	}
	return m.Conn.Close()
}

// Read reads from the connection and counts the bytes.
func (m *meteredConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	m.local.Bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes. It fails after
// writeTimeout if the peer does not read.
func (m *meteredConn) Write(p []byte) (int, error) {
	if err := m.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := m.Conn.Write(p)
	m.local.Bytes.Add(int64(n))
	return n, err
}

// open starts to read messages from raw. The handshake is still to come.
func (l *Local) open(ctx context.Context, raw net.Conn, onProven func(*Conn)) *Conn {
	c := &Conn{local: l, raw: &meteredConn{Conn: raw, local: l}, nonce: newNonce(), onProven: onProven}
	s := jsonrpc2.NewBufferedStream(c.raw, frameCodec{limit: c.maxFrame})
	ready := make(chan struct{})
	c.rpc = jsonrpc2.NewConn(ctx, s, handler{conn: c, ready: ready}, jsonrpc2.SetLogger(logs.LibraryLogger{}))
	close(ready)
	return c
}

// maxFrame returns the maximum length of a frame of the peer.
func (c *Conn) maxFrame() uint64 {
	if c.onProven != nil && !c.Proven() {
		return maxStrangerFrame
	}
	return MaxFrame
}

func newNonce() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Dial opens a link to addr and performs the handshake. It takes at most
// dialTimeout for each of the two. It returns ErrBroken if the connection cannot
// be made or breaks, ErrProof if the peer does not prove the link key, a
// *fault.Error of kind Unauthorized if the peer rejects the key of this process,
// and the error of the context if the handshake times out.
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

// handshake performs the handshake of a link that this process dialled.
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

// proofText returns the text that a MAC of the handshake authenticates. side is
// "answer" for the process that accepted the link and "call" for the one that
// dialled, so that a MAC of one side cannot be replayed as that of the other. id
// is the identity of the process that makes the MAC.
func proofText(side, nonce string, id wire.Identity) string {
	return "traildrift link " + side + " " + nonce + " " + id.Incarnation
}

func (l *Local) stamp() wire.Stamp { return wire.Stamp{Revision: l.Revision()} }

// Serve accepts links from ln until ln is closed, and returns the error of
// Accept. Links that have not proved the link key within dialTimeout are closed.
// onProven is called for each link that has proved it, before any other message
// of the link is handled.
func (l *Local) Serve(ctx context.Context, ln net.Listener, onProven func(*Conn)) error {
	for {
		raw, err := ln.Accept()
		if err != nil {
			return err
		}
		if l.TLS != nil {
			raw = tls.Server(raw, l.TLS)
		}
		c := l.open(ctx, raw, func(c *Conn) {
			if q := quota.Of(raw); q != nil {
				q.Keep()
			}
			onProven(c)
		})
		c.raw.expiry.Store(time.AfterFunc(dialTimeout, func() {
			if !c.Proven() {
				c.Close()
			}
		}))
		if c.raw.closed.Load() {
			_ = c.raw.Close()
		}
	}
}

// Call sends a message, waits for the reply and decodes it into reply. It returns
// the *fault.Error that the peer replied with, the cause of ctx if ctx is done
// first, or else ErrBroken.
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

// Notify sends a message that has no reply. It returns ErrBroken if the message
// could not be written; a nil error does not mean that the peer received it.
func (c *Conn) Notify(ctx context.Context, method string, params any) error {
	c.local.Messages.Add(1)
	if err := c.rpc.Notify(ctx, method, params); err != nil {
		return errors.Mark(err, ErrBroken)
	}
	return nil
}

// decodeFault returns the fault.Error in an error reply. Any other error reply
// becomes a fault of kind Internal that may have run.
func decodeFault(e *jsonrpc2.Error) error {
	var f fault.Error
	if e.Code == codeFault && e.Data != nil && json.Unmarshal(*e.Data, &f) == nil {
		return &f
	}
	return fault.New(fault.Internal, fault.MayHaveRun, "%s", e.Message)
}

// encodeFault returns the error reply that carries f.
func encodeFault(f *fault.Error) *jsonrpc2.Error {
	e := &jsonrpc2.Error{Code: codeFault, Message: f.Message}
	e.SetError(f)
	return e
}
