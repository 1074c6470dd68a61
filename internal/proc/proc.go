// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package proc

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/admin"
	"github.com/traildrift/traildrift/internal/assert"
	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/secure"
	"github.com/traildrift/traildrift/internal/spread"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/seal"
)

// Proc is the part of a process that does not depend on its role.
type Proc struct {
	Common   Common
	Identity wire.Identity
	Log      *zap.Logger
	Now      func() time.Time
	Store    *store.Client
	VMs      *store.VMs
	Local    *link.Local
	Holder   *spread.Holder
	Tokens   *seal.Keyring
	Scope    tally.Scope
	Admin    *admin.Server
	// Pool runs the handlers of the links; it is bounded.
	Pool *ants.Pool
	// Tasks owns every goroutine of the process that is not a handler.
	Tasks    tasks.Group
	linkLn   net.Listener
	adminLn  net.Listener
	onProven func(*link.Conn)
}

// Options are what a role adds.
type Options struct {
	Role string
	// Handlers bounds the handlers of the links that run at a time.
	Handlers int
	// OnMove hears of every settings revision that is taken over.
	OnMove func(*config.Snapshot)
	// OnProven hears of every link that a peer opened and proved.
	OnProven func(*link.Conn)
	// State returns what the dump shows of the role.
	State func() any
	// Explain returns the trail record of a request as JSON, or false.
	Explain func(requestID string) ([]byte, bool)
}

// New opens the listeners and builds the shared part. Nothing runs until
// Start.
func New(c Common, o Options) (*Proc, error) {
	if c.WriteEvery == 0 {
		c.WriteEvery = defaultWriteEvery
	}
	var keys Keys
	if err := Load(c.Keys, &keys); err != nil {
		return nil, err
	}
	linkKeys, err := seal.NewKeyring(keys.Link)
	if err != nil {
		return nil, err
	}
	tokens, err := seal.NewKeyring(keys.Token)
	if err != nil {
		return nil, err
	}
	p := &Proc{Common: c, Log: logs.New(c.LogLevel), Now: time.Now, Tokens: tokens, onProven: o.OnProven}
	assert.SetLogger(p.Log)
	p.Identity = wire.Identity{VM: c.VM, Role: o.Role, Incarnation: NewID(), AvailabilityZone: c.AvailabilityZone, Link: c.Link}
	p.Store = store.New(c.Platform)
	p.VMs = store.NewVMs(c.Platform)
	p.Holder = spread.New(p.Log, p.Now, o.OnMove)
	if p.Pool, err = ants.NewPool(o.Handlers, ants.WithNonblocking(true)); err != nil {
		return nil, err
	}
	p.Local = &link.Local{Identity: p.Identity, Keys: linkKeys, Revision: p.Holder.Revision}
	if c.LinkTLS.Set() {
		source, err := secure.NewSource(c.LinkTLS)
		if err != nil {
			return nil, err
		}
		p.Local.TLS = source.Mutual()
	}
	p.Local.Mux = link.NewMux(p.Pool.Submit, p.Holder.CatchUp)
	link.Handle(p.Local.Mux, wire.MethodDelta, p.Holder.Serve)
	if err := p.listen(o); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Proc) listen(o Options) error {
	token, err := readToken(p.Common.OperatorsToken)
	if err != nil {
		return err
	}
	if p.linkLn, err = net.Listen("tcp", p.Common.Link.String()); err != nil {
		return err
	}
	if p.adminLn, err = net.Listen("tcp", p.Common.Operators.String()); err != nil {
		_ = p.linkLn.Close()
		return err
	}
	p.Admin = admin.New(token, func() any { return p.state(o.State) }, o.Explain)
	p.Scope = p.Admin.Scope
	return nil
}

func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	text, err := os.ReadFile(file)
	return strings.TrimSpace(string(text)), err
}

// Start runs the listeners of links and operators.
func (p *Proc) Start(ctx context.Context) {
	p.Tasks.Go(ctx, "links", func(ctx context.Context) error {
		return p.Local.Serve(ctx, p.linkLn, p.onProven)
	})
	p.Tasks.Go(ctx, "operators", func(context.Context) error {
		return p.Admin.Serve(p.adminLn)
	})
}

// quietPoll is how often a stopping process looks for open messages.
const quietPoll = time.Millisecond

// Quiet waits until every message that peers sent is answered, or ctx is done.
func (p *Proc) Quiet(ctx context.Context) error {
	t := time.NewTicker(quietPoll)
	defer t.Stop()
	for p.Local.Handling.Load() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close ends the listeners and waiting calls and waits for every goroutine.
// The context that Start got must be done.
func (p *Proc) Close() {
	_ = p.linkLn.Close()
	p.Admin.Close()
	p.Store.Close()
	p.Tasks.Wait(func(e tasks.End) {
		p.Log.Debug("process: A task has ended.", zap.String("task", e.Name), logs.Err(e.Err))
	})
	p.Pool.Release()
	_ = p.Log.Sync()
}

// sharedState is what every dump shows.
type sharedState struct {
	Identity   wire.Identity   `json:"identity"`
	Now        time.Time       `json:"now"`
	Revision   int64           `json:"revision"`
	HeardAt    time.Time       `json:"heardAt"`
	Violations int64           `json:"violations"`
	LinkBytes  int64           `json:"linkBytes"`
	LinkMsgs   int64           `json:"linkMessages"`
	Handlers   int             `json:"handlers"`
	Memory     admin.Memory    `json:"memory"`
	Role       any             `json:"role"`
	Changes    []config.Change `json:"changes"`
}

func (p *Proc) state(role func() any) any {
	s := sharedState{
		Identity:   p.Identity,
		Now:        p.Now(),
		Revision:   p.Holder.Revision(),
		HeardAt:    p.Holder.ConfirmedAt(),
		Violations: assert.Violations(),
		LinkBytes:  p.Local.Bytes.Load(),
		LinkMsgs:   p.Local.Messages.Load(),
		Handlers:   p.Pool.Running(),
		Memory:     admin.ReadMemory(),
		Changes:    p.Holder.Current().Head.Changes,
	}
	if len(s.Changes) > dumpedChanges {
		s.Changes = s.Changes[:dumpedChanges]
	}
	if role != nil {
		s.Role = role()
	}
	return s
}

// defaultWriteEvery keeps the platform's writes few: 370 entries that write two
// kinds make 148 a second.
const defaultWriteEvery = config.Span(5 * time.Second)

// dumpedChanges is how many settings changes a dump shows.
const dumpedChanges = 5

// LinkAddr returns where the process listens for its peers.
func (p *Proc) LinkAddr() netip.AddrPort { return p.linkLn.Addr().(*net.TCPAddr).AddrPort() }

// Stamp returns the stamp of an outgoing message.
func (p *Proc) Stamp() wire.Stamp { return wire.Stamp{Revision: p.Holder.Revision()} }

// NewID returns a fresh random name of 16 hexadecimal digits.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
