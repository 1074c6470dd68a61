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
	Name      string
	Kind      string
	Endpoints int
	Slots     int
	Waiting   int
	Engine    fakes.EngineOptions
	// ServiceTime is how long a call of a plain service takes.
	ServiceTime config.Span
}

// Options describe a fleet.
type Options struct {
	// Dir holds the files of the fleet.
	Dir string
	// Zones are gone through in turn; at least one.
	Zones   []string
	Entries int
	Pools   []Pool
	// Settings is the tree in force from the beginning, as YAML.
	Settings string
	// CallerTLS says that Entry names TLS files for callers, so that readiness
	// is asked for over TLS.
	CallerTLS bool
	// PartialLinks says that not every entry links to every guard.
	PartialLinks bool
	// EntrySettings and GuardSettings are added to the process settings, as YAML.
	EntrySettings, GuardSettings string
	Seed                         uint64
}

// Fleet is a running fleet.
type Fleet struct {
	Objects *fakes.Objects
	Store   *store.Client
	VMs     *store.VMs
	Keys    *seal.Keyring
	Entries []*Node
	Guards  []*Node
	// Engines, Plains and Relays are by the name of their VM.
	Engines    map[string]*fakes.Engine
	Services   map[string]*fakes.Plain
	Relays     map[string]*Relay
	Platform   netip.AddrPort
	opts       Options
	firstIP    netip.Addr
	lastOffset byte
	keyFile    string
	servers    []*fakes.Served
	vms        []store.VM
}

// fleetCount counts the fleets of this process.
var fleetCount atomic.Uint32

// newIPBlock returns the first IP number of a block for one fleet, of which no
// other fleet on this machine has listened on yet.
func newIPBlock() (netip.Addr, error) {
	const second, third = 200, 250
	for range second {
		pid, n := uint32(os.Getpid()), fleetCount.Add(1)
		a := netip.AddrFrom4([4]byte{127, byte(2 + (pid+n/third)%second), byte(1 + (pid/second+n)%third), 1})
		ln, err := net.Listen("tcp", netip.AddrPortFrom(a, portPlatform).String())
		if err == nil {
			return a, ln.Close()
		}
	}
	return netip.Addr{}, errors.New("rig: no free block of IP numbers")
}

// nextIP returns the next IP number of the block.
func (f *Fleet) nextIP() netip.Addr {
	b := f.firstIP.As4()
	f.lastOffset++
	b[3] += f.lastOffset
	return netip.AddrFrom4(b)
}

// Start starts a fleet and waits until its entries are ready.
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

// startTimeout bounds the start of a fleet.
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

// Apply puts settings in force and returns their revision.
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

// WaitRevision waits until every live VM's process has the revision.
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
	n.settingsFile = filepath.Join(f.opts.Dir, n.VM.Name+".yaml")
	n.logFile = filepath.Join(f.opts.Dir, n.VM.Name+".log")
	if err := os.WriteFile(n.settingsFile, []byte(text), 0o600); err != nil {
		return err
	}
	f.vms = append(f.vms, n.VM)
	f.Objects.SetVMs(f.vms)
	return n.Start()
}

// SetVMState changes the state of a VM in the VM list.
func (f *Fleet) SetVMState(vm, state string) {
	for i := range f.vms {
		if f.vms[i].Name == vm {
			f.vms[i].State = state
		}
	}
	f.Objects.SetVMs(f.vms)
}

// WaitReady waits until every entry is ready and may use every running guard.
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
		if err := f.caller(n, "", f.opts.CallerTLS).Ready(deadline); err != nil {
			return errors.Wrap(err, n.Log())
		}
		for n.usableEndpoints() < want && !f.opts.PartialLinks {
			if time.Now().After(deadline) {
				return errors.Newf("%s may use %d of %d guards", n.VM.Name, n.usableEndpoints(), want)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// readyPollInterval is how often an entry is asked for its links.
const readyPollInterval = 20 * time.Millisecond

// Caller returns a caller of the numbered entry.
func (f *Fleet) Caller(i int, key string) *drive.Caller {
	return f.caller(f.Entries[i], key, false)
}

// TLSCaller returns a caller of the numbered entry that uses TLS and takes
// any certificate.
func (f *Fleet) TLSCaller(i int, key string) *drive.Caller {
	return f.caller(f.Entries[i], key, true)
}

func (f *Fleet) caller(n *Node, key string, secured bool) *drive.Caller {
	c := drive.NewCaller(n.Callers, key)
	if secured {
		c.Secure()
	}
	return c
}

// EndpointAddr returns where the engine or service beside a guard listens.
func (f *Fleet) EndpointAddr(n *Node) netip.AddrPort {
	return netip.AddrPortFrom(n.Operators.Addr(), portEndpoint)
}

// Nodes returns every VM of the fleet.
func (f *Fleet) Nodes() []*Node { return append(append([]*Node(nil), f.Entries...), f.Guards...) }

// Close kills every process and ends the stand-ins.
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
