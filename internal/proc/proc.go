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
	"runtime/debug"
	"strings"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/admin"
	"github.com/traildrift/traildrift/internal/assert"
	"github.com/traildrift/traildrift/internal/elems"
	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/quota"
	"github.com/traildrift/traildrift/internal/secure"
	"github.com/traildrift/traildrift/internal/spread"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/seal"
)

// Proc is the part of a process that does not depend on its role. It must be created with
// New, which sets all fields.
type Proc struct {
	// Common holds the process settings, with the default of WriteEvery filled in.
	Common Common
	// Identity identifies the process to its peers. Its incarnation is new at each start.
	Identity wire.Identity
	Log      *zap.Logger
	// Now returns the time.
	Now func() time.Time
	// Store and VMs are the clients of the platform's objects and VM list.
	Store *store.Client
	VMs   *store.VMs
	// Local is the local side of all links.
	Local *link.Local
	// Holder holds the fleet settings in force in this process.
	Holder *spread.Holder
	// Tokens holds the keys of session tokens and tickets.
	Tokens *seal.Keyring
	// Scope is the root scope of the metrics that Admin serves.
	Scope tally.Scope
	// Admin serves operators.
	Admin *admin.Server
	// Pool runs the handlers of received messages, at most Options.Handlers at a time.
	Pool *ants.Pool
	// Tasks owns every goroutine of the process that is not a handler.
	Tasks tasks.Group
	// Callers is what callers of an entry hold, others what operators and strangers on links do, Limits their bounds.
	Callers, others *quota.Account
	Limits          quota.Limits
	// doors are the listeners on both. They do not change after Start.
	doors []*quota.Door
	// linkLn and adminLn are the listeners for peers and for operators.
	linkLn   net.Listener
	adminLn  net.Listener
	onProven func(*link.Conn)
}

// Options holds what a role adds to the shared part of a process.
type Options struct {
	// Role is store.RoleEntry or store.RoleEndpoint.
	Role string
	// Handlers is the maximum number of message handlers that run at a time.
	Handlers int
	// OnSettingsChange, if not nil, is called with each settings revision that comes
	// into force in this process.
	OnSettingsChange func(*config.Snapshot)
	// OnProven is called for each link that a peer opened, once the peer has proved the
	// link key. It is required.
	OnProven func(*link.Conn)
	// State returns the state of the role for the dump. It may be nil.
	State func() any
	// Explain returns the trail record of a request as JSON, or false if there is none.
	// It may be nil.
	Explain func(requestID string) ([]byte, bool)
}

// New reads the key and token files, opens the listeners for peers and operators and
// builds the shared part of a process. Nothing is served until Start is called. The error
// is config.Problems if the key file is not valid.
func New(c Common, o Options) (*Proc, error) {
	if c.WriteEvery == 0 {
		c.WriteEvery = defaultWriteEvery
	}
	if c.MemoryMB == 0 {
		c.MemoryMB = defaultMemoryMB
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
	unreadable := &elems.Reporter{Log: p.Log}
	p.VMs.OnUnreadable = func(name string, err error) { unreadable.Report("vms", name, err) }
	p.Holder = spread.New(p.Log, p.Now, o.OnSettingsChange)
	if p.Pool, err = ants.NewPool(o.Handlers, ants.WithNonblocking(true)); err != nil {
		return nil, err
	}
	p.Local = &link.Local{Identity: p.Identity, Keys: linkKeys, Revision: p.Holder.Revision}
	if c.LinkTLS.IsSet() {
		source, err := secure.NewSource(c.LinkTLS)
		if err != nil {
			return nil, err
		}
		p.Local.TLS = source.Mutual()
	}
	p.Local.Mux = link.NewMux(p.Pool.Submit, p.Holder.CatchUp)
	link.Handle(p.Local.Mux, wire.MethodDelta, p.Holder.Serve)
	p.Limits = quota.Settings{MemoryMB: c.MemoryMB, CallersMB: c.CallersMB, Descriptors: c.MaxDescriptors, CallersConns: c.CallersConns}.Limits()
	p.Callers, p.others = quota.NewAccount("callers", p.Limits.CallersBytes), quota.NewAccount("others", p.Limits.OthersBytes)
	debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * memoryLimitPercent / 100)
	if err := p.listen(o); err != nil {
		return nil, err
	}
	return p, nil
}

// memoryLimitPercent is the percentage of Common.MemoryMB above which the garbage collector runs more often. The rest is for
// the program itself and for bytes that wait in receive buffers.
const memoryLimitPercent = 55

// Listen opens a listener whose connections are on an account. It must be called before Start.
func (p *Proc) Listen(a *quota.Account, addr netip.AddrPort, o quota.Options) (*quota.Door, error) {
	d, err := a.Listen(addr.String(), o)
	if err == nil {
		p.doors = append(p.doors, d)
	}
	return d, err
}

// listen opens the listeners and creates Admin and Scope.
func (p *Proc) listen(o Options) error {
	token, err := readToken(p.Common.OperatorsToken)
	if err != nil {
		return err
	}
	if p.linkLn, err = p.Listen(p.others, p.Common.Link, quota.Options{Name: "links", MaxConns: p.Limits.Links}); err != nil {
		return err
	}
	if p.adminLn, err = p.Listen(p.others, p.Common.Operators, quota.Options{Name: "operators", MaxConns: p.Limits.Few, Refusal: quota.HTTPRefusal()}); err != nil {
		_ = p.linkLn.Close()
		return err
	}
	p.Admin = admin.New(token, func() any { return p.state(o.State) }, o.Explain)
	p.Scope = p.Admin.Scope
	return nil
}

// readToken returns the operators' token in a file without surrounding white space, and
// an empty token if file is empty.
func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	text, err := os.ReadFile(file)
	return strings.TrimSpace(string(text)), err
}

// Start serves peers and operators in goroutines of p.Tasks. They end once ctx is done and
// Close is called.
func (p *Proc) Start(ctx context.Context) {
	p.Tasks.Go(ctx, "account of callers", quota.Record(p.Log, p.Scope, p.doors...).Run)
	p.Tasks.Go(ctx, "links", func(ctx context.Context) error {
		return p.Local.Serve(ctx, p.linkLn, p.onProven)
	})
	p.Tasks.Go(ctx, "operators", func(context.Context) error {
		return p.Admin.Serve(p.adminLn)
	})
}

// drainPollInterval is the interval at which Drain checks for messages in progress.
const drainPollInterval = time.Millisecond

// Drain waits until all messages received from peers have been replied to. It returns the
// error of ctx if ctx is done first.
func (p *Proc) Drain(ctx context.Context) error {
	t := time.NewTicker(drainPollInterval)
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

// Close closes the listeners, cancels calls to the platform that are waiting, and waits
// for all goroutines of p.Tasks. The context that was passed to Start must be done.
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

// sharedState is the dump of a process.
type sharedState struct {
	Identity wire.Identity `json:"identity"`
	Now      time.Time     `json:"now"`
	// Revision is the settings revision in force, ConfirmedAt the last time at which the
	// platform or a peer confirmed that there is no newer one.
	Revision    int64     `json:"revision"`
	ConfirmedAt time.Time `json:"heardAt"`
	// Violations counts broken invariants; see package assert.
	Violations int64 `json:"violations"`
	// LinkBytes and LinkMsgs count the bytes and messages sent and received on links.
	LinkBytes int64 `json:"linkBytes"`
	LinkMsgs  int64 `json:"linkMessages"`
	// Handlers is the number of message handlers that are running.
	Handlers int          `json:"handlers"`
	Memory   admin.Memory `json:"memory"`
	// Role is the state that Options.State returns.
	Role any `json:"role"`
	// Changes lists the last changes of the settings, newest first.
	Changes []config.Change `json:"changes"`
}

// state returns the dump; role may be nil.
func (p *Proc) state(role func() any) any {
	s := sharedState{
		Identity:    p.Identity,
		Now:         p.Now(),
		Revision:    p.Holder.Revision(),
		ConfirmedAt: p.Holder.ConfirmedAt(),
		Violations:  assert.Violations(),
		LinkBytes:   p.Local.Bytes.Load(),
		LinkMsgs:    p.Local.Messages.Load(),
		Handlers:    p.Pool.Running(),
		Memory:      admin.ReadMemory(),
		Changes:     p.Holder.Current().Head.Changes,
	}
	if len(s.Changes) > maxDumpedChanges {
		s.Changes = s.Changes[:maxDumpedChanges]
	}
	if role != nil {
		s.Role = role()
	}
	return s
}

// defaultWriteEvery is the default of the setting writeEvery. It limits the load on the
// platform: 370 entries that write two kinds of objects make 148 writes per second.
const defaultWriteEvery = config.Span(5 * time.Second)

// maxDumpedChanges is the maximum number of settings changes in a dump.
const maxDumpedChanges = 5

// LinkAddr returns the address at which the process accepts links.
func (p *Proc) LinkAddr() netip.AddrPort { return p.linkLn.Addr().(*net.TCPAddr).AddrPort() }

// Stamp returns the stamp of a message that is sent now.
func (p *Proc) Stamp() wire.Stamp { return wire.Stamp{Revision: p.Holder.Revision()} }

// NewID returns a random ID of 16 hexadecimal digits.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
