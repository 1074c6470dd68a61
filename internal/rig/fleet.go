// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/internal/commit"
	"github.com/traildrift/traildrift/internal/desk"
	"github.com/traildrift/traildrift/internal/drive"
	"github.com/traildrift/traildrift/internal/fakes"
	"github.com/traildrift/traildrift/internal/proc"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/seal"
)

// Pool describes the endpoints of one pool.
type Pool struct {
	Name string
	// Kind is "engine" or "service", as in the guard's process settings.
	Kind string
	// Endpoints is the number of endpoints, each with a guard.
	Endpoints int
	// Slots is how many runs an endpoint executes at a time, and Waiting how many more its
	// guard queues.
	Slots   int
	Waiting int
	// Engine holds the options of the fake engines. Its Seed is ignored, and Slots of 0
	// means the Slots of the pool.
	Engine fakes.EngineOptions
	// ServiceTime is how long a call to a plain service takes.
	ServiceTime config.Span
}

// Options describe a fleet.
type Options struct {
	// Dir is the folder of the process settings, keys and logs of the fleet.
	Dir string
	// Zones are the availability zones, assigned to the VMs in turn; at least one.
	Zones []string
	// Entries is the number of entries.
	Entries int
	Pools   []Pool
	// Settings is the settings tree that Start puts in force, as YAML; none if empty.
	Settings string
	// CallerTLS says that EntrySettings names TLS files for callers, so that readiness is
	// queried over TLS.
	CallerTLS bool
	// PartialLinks says that not every entry links to every guard, so that WaitReady does
	// not wait for all links.
	PartialLinks bool
	// EntrySettings and GuardSettings are appended to the process settings of entries and
	// guards, as YAML.
	EntrySettings, GuardSettings string
	// Descriptors is the limit of file descriptors of each process; 0 for that of the test.
	Descriptors uint64
	// Seed is the base of the seeds of the fakes that Start creates.
	Seed uint64
}

// Fleet is a running fleet. Its exported fields are set by Start and not changed afterwards.
type Fleet struct {
	// Objects is the fake platform. Store and VMs are clients of it.
	Objects *fakes.Objects
	Store   *store.Client
	VMs     *store.VMs
	// Keys holds the link keys of the fleet.
	Keys    *seal.Keyring
	Entries []*Node
	Guards  []*Node
	// Engines, Services and Relays are keyed by the name of their VM.
	Engines  map[string]*fakes.Engine
	Services map[string]*fakes.Plain
	Relays   map[string]*Relay
	// Platform is the address of the fake platform.
	Platform netip.AddrPort
	opts     Options
	// firstIP is the first IP number of the fleet's block, and lastOffset the offset of the
	// last one that was assigned.
	firstIP    netip.Addr
	lastOffset byte
	// keyFile is the path of the key file that all processes read.
	keyFile string
	servers []*fakes.Server
	// vms is the VM list that the fake platform serves.
	vms []store.VM
}

// blockCount counts the IP blocks that were tried in this process.
var blockCount atomic.Uint32

// newIPBlock returns the first IP number of a block for one fleet. It skips blocks whose
// platform port is in use by another fleet on this machine.
func newIPBlock() (netip.Addr, error) {
	const second, third = 200, 250
	for range second {
		pid, n := uint32(os.Getpid()), blockCount.Add(1)
		a := netip.AddrFrom4([4]byte{127, byte(2 + (pid+n/third)%second), byte(1 + (pid/second+n)%third), 1})
		ln, err := net.Listen("tcp", netip.AddrPortFrom(a, portPlatform).String())
		if err == nil {
			return a, ln.Close()
		}
	}
	return netip.Addr{}, errors.New("rig: found no free block of loopback IP numbers")
}

// nextIP assigns the next IP number of the block.
func (f *Fleet) nextIP() netip.Addr {
	b := f.firstIP.As4()
	f.lastOffset++
	b[3] += f.lastOffset
	return netip.AddrFrom4(b)
}

// Start starts a fleet and waits until it is ready, as WaitReady does. On an error nothing of
// the fleet keeps running.
func Start(o Options) (*Fleet, error) {
	block, err := newIPBlock()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		opts:     o,
		firstIP:  block,
		Engines:  make(map[string]*fakes.Engine),
		Services: make(map[string]*fakes.Plain),
		Relays:   make(map[string]*Relay),
		Platform: netip.AddrPortFrom(block, portPlatform),
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	if err := f.writeKeys(); err != nil {
		return err
	}
	f.Objects = fakes.NewObjects(f.opts.Seed)
	if _, err := f.serve(f.Platform, f.Objects.Handle); err != nil {
		return err
	}
	f.Store, f.VMs = store.New(f.Platform), store.NewVMs(f.Platform)
	if f.opts.Settings != "" {
		if _, err := f.Apply(f.opts.Settings, "rig"); err != nil {
			return err
		}
	}
	for _, p := range f.opts.Pools {
		for range p.Endpoints {
			if err := f.addGuard(p); err != nil {
				return err
			}
		}
	}
	for range f.opts.Entries {
		if err := f.addEntry(); err != nil {
			return err
		}
	}
	return f.WaitReady(time.Now().Add(startTimeout))
}

// startTimeout bounds the wait for readiness in Start, and each access to the settings.
const startTimeout = 20 * time.Second

func (f *Fleet) serve(addr netip.AddrPort, handle fasthttp.RequestHandler) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	f.servers = append(f.servers, fakes.Serve(ln, handle))
	return ln, nil
}

func (f *Fleet) writeKeys() error {
	f.keyFile = filepath.Join(f.opts.Dir, "keys.yaml")
	text := fmt.Sprintf("link: [{id: l1, hex: %s}]\ntoken: [{id: t1, hex: %s}]\n", proc.NewID()+proc.NewID(), proc.NewID()+proc.NewID())
	if err := os.WriteFile(f.keyFile, []byte(text), 0o600); err != nil {
		return err
	}
	var keys proc.Keys
	if err := proc.Load(f.keyFile, &keys); err != nil {
		return err
	}
	var err error
	f.Keys, err = seal.NewKeyring(keys.Link)
	return err
}

// Apply writes a settings tree, given as YAML, to the store whatever revision is there, and
// returns the new revision. WaitRevision waits until it is in force.
func (f *Fleet) Apply(text, author string) (int64, error) {
	file, err := config.ParseFile("rig", []byte(text))
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	c, err := commit.Apply(ctx, f.Store, commit.Edit{ID: proc.NewID(), Author: author, At: time.Now(), Base: -1, Nodes: file.Nodes()})
	return c.Revision, err
}

// WaitRevision waits until the process of every live VM reports the revision. It returns an
// error that names the other VMs if the deadline passes first.
func (f *Fleet) WaitRevision(revision int64, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return desk.Wait(ctx, f.VMs, f.Keys, revision)
}

func (f *Fleet) nextZone() string { return f.opts.Zones[int(f.lastOffset)%len(f.opts.Zones)] }

func (f *Fleet) commonSettings(n *Node, zone string, ip netip.Addr) string {
	n.VM.AvailabilityZone = zone
	n.Operators = netip.AddrPortFrom(ip, portOperators)
	return fmt.Sprintf("vm: %s\navailabilityZone: %s\nlink: %s\noperators: %s\nplatform: %s\nkeys: %s\nstopWithin: 30s\nwriteEvery: 500ms\n",
		n.VM.Name, zone, netip.AddrPortFrom(ip, portLink), n.Operators, f.Platform, f.keyFile)
}

func (f *Fleet) addGuard(p Pool) error {
	zone, ip := f.nextZone(), f.nextIP()
	n := &Node{VM: store.VM{Name: fmt.Sprintf("%s-%d", p.Name, len(f.Guards)+1), Role: store.RoleEndpoint, Pool: p.Name, State: store.VMLive}}
	endpoint := netip.AddrPortFrom(ip, portEndpoint)
	text := f.commonSettings(n, zone, ip) + fmt.Sprintf("pool: %s\nkind: %s\nendpoint: %s\nslots: %d\nwaiting: %d\n", p.Name, p.Kind, endpoint, p.Slots, p.Waiting) + f.opts.GuardSettings
	if err := f.serveEndpoint(p, n.VM.Name, endpoint); err != nil {
		return err
	}
	relay := netip.AddrPortFrom(ip, portRelay)
	ln, err := net.Listen("tcp", relay.String())
	if err != nil {
		return err
	}
	f.Relays[n.VM.Name] = NewRelay(ln, netip.AddrPortFrom(ip, portLink).String())
	n.VM.Link = relay
	f.Guards = append(f.Guards, n)
	return f.launch(n, text)
}

func (f *Fleet) serveEndpoint(p Pool, vm string, addr netip.AddrPort) error {
	seed := f.opts.Seed + uint64(len(f.Guards))
	if p.Kind == "service" {
		s := fakes.NewPlain(seed, p.ServiceTime)
		f.Services[vm] = s
		_, err := f.serve(addr, s.Handle)
		return err
	}
	o := p.Engine
	o.Seed = seed
	if o.Slots == 0 {
		o.Slots = p.Slots
	}
	e := fakes.NewEngine(o)
	f.Engines[vm] = e
	ln, err := f.serve(addr, e.Handle)
	e.Crash = func() { _ = ln.Close() }
	return err
}

func (f *Fleet) addEntry() error {
	zone, ip := f.nextZone(), f.nextIP()
	n := &Node{VM: store.VM{Name: fmt.Sprintf("entry-%d", len(f.Entries)+1), Role: store.RoleEntry, State: store.VMLive, Link: netip.AddrPortFrom(ip, portLink)}}
	n.Callers = netip.AddrPortFrom(ip, portCallers)
	text := f.commonSettings(n, zone, ip) + fmt.Sprintf("listen: %s\n", n.Callers) + f.opts.EntrySettings
	f.Entries = append(f.Entries, n)
	return f.launch(n, text)
}

func (f *Fleet) launch(n *Node, text string) error {
	n.descriptors = f.opts.Descriptors
	n.settingsFile = filepath.Join(f.opts.Dir, n.VM.Name+".yaml")
	n.logFile = filepath.Join(f.opts.Dir, n.VM.Name+".log")
	if err := os.WriteFile(n.settingsFile, []byte(text), 0o600); err != nil {
		return err
	}
	f.vms = append(f.vms, n.VM)
	f.Objects.SetVMs(f.vms)
	return n.Start()
}

// SetVMState changes the state of the named VM in the VM list, such as to store.VMLeaving.
func (f *Fleet) SetVMState(vm, state string) {
	for i := range f.vms {
		if f.vms[i].Name == vm {
			f.vms[i].State = state
		}
	}
	f.Objects.SetVMs(f.vms)
}

// WaitReady waits until every running entry is ready and has as many usable endpoints as
// guards are running (not with Options.PartialLinks). It returns an error if the deadline
// passes first.
func (f *Fleet) WaitReady(deadline time.Time) error {
	want := 0
	for _, n := range f.Guards {
		if n.Running() {
			want++
		}
	}
	for _, n := range f.Entries {
		if !n.Running() {
			continue
		}
		if err := f.caller(n, "", f.opts.CallerTLS).WaitReady(deadline); err != nil {
			return errors.Wrap(err, n.Log())
		}
		for n.usableEndpoints() < want && !f.opts.PartialLinks {
			if time.Now().After(deadline) {
				return errors.Newf("rig: %s has %d usable endpoints of %d by the deadline", n.VM.Name, n.usableEndpoints(), want)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// readyPollInterval is the interval at which WaitReady reads an entry's usable endpoints.
const readyPollInterval = 20 * time.Millisecond

// Caller returns a caller of Entries[i] that sends the API key.
func (f *Fleet) Caller(i int, key string) *drive.Caller {
	return f.caller(f.Entries[i], key, false)
}

// TLSCaller returns a caller of Entries[i] that uses TLS, sends the API key and accepts any
// certificate.
func (f *Fleet) TLSCaller(i int, key string) *drive.Caller {
	return f.caller(f.Entries[i], key, true)
}

func (f *Fleet) caller(n *Node, key string, secured bool) *drive.Caller {
	c := drive.NewCaller(n.Callers, key)
	if secured {
		c.UseTLS()
	}
	return c
}

// EndpointAddr returns the address of the engine or service on a guard's VM.
func (f *Fleet) EndpointAddr(n *Node) netip.AddrPort {
	return netip.AddrPortFrom(n.Operators.Addr(), portEndpoint)
}

// Nodes returns every VM of the fleet, the entries before the guards.
func (f *Fleet) Nodes() []*Node { return append(append([]*Node(nil), f.Entries...), f.Guards...) }

// Close kills every process and closes the relays and the fakes.
func (f *Fleet) Close() {
	for _, n := range f.Nodes() {
		n.Kill()
	}
	for _, r := range f.Relays {
		r.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}
