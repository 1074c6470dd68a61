// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/rolls"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/config"
)

// orderTimeout bounds an order to a guard, which may have to fetch model weights.
const orderTimeout = config.Span(time.Minute)

// probeTimeout bounds a heartbeat to a guard that is not among the peers.
const probeTimeout = config.Span(time.Second)

// newDriver returns this entry's driver of roll-outs. It is active on the entries that
// watch the platform.
func (e *Entry) newDriver() *rolls.Driver {
	return &rolls.Driver{
		Log:        e.Log,
		Store:      e.Store,
		Now:        e.Now,
		Active:     e.peers.watching,
		VMs:        e.peers.pools,
		HasVersion: e.hasVersion,
		SendOrder:  e.order,
	}
}

// pools returns the names of the live endpoint VMs of each pool, sorted.
func (ps *peers) pools() map[string][]string {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	out := make(map[string][]string)
	for name, vm := range ps.endpoints {
		out[vm.Pool] = append(out[vm.Pool], name)
	}
	for _, names := range out {
		slices.Sort(names)
	}
	return out
}

// hasVersion reports whether a VM's engine has loaded a version, and whether that is known.
// An engine that does not report its versions counts as having all.
func (e *Entry) hasVersion(vm, version string) (has, known bool) {
	load, known := e.loadOf(vm)
	if !known {
		return false, false
	}
	return load.Versions == nil || slices.Contains(load.Versions, version), true
}

// loadOf returns the load of a VM: the latest one of a peer, or the reply to a heartbeat to
// a guard that is not a peer. It returns false for a peer that is not usable or a guard
// that does not answer.
func (e *Entry) loadOf(vm string) (wire.Load, bool) {
	e.peers.mu.Lock()
	p := e.peers.byVM[vm]
	e.peers.mu.Unlock()
	if p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.load, p.usable(e.Now())
	}
	ctx, cancel := context.WithDeadline(e.kill, probeTimeout.After(time.Now()))
	defer cancel()
	c, err := e.linkTo(ctx, vm)
	if err != nil {
		return wire.Load{}, false
	}
	var reply wire.HeartbeatReply
	err = c.Call(ctx, wire.MethodHeartbeat, wire.Heartbeat{Stamp: e.Stamp()}, &reply)
	return reply.Load, err == nil
}

// order sends an order to the guard of a VM in the worker pool and returns at once. An
// order that is being sent is not sent again.
func (e *Entry) order(vm string, o wire.Order) {
	key := vm + "/" + o.Model + "@" + o.Version
	if _, active := e.activeOrders.LoadOrStore(key, true); active {
		return
	}
	o.Stamp = e.Stamp()
	err := e.submit(func() {
		defer e.activeOrders.Delete(key)
		if err := e.sendOrder(vm, &o); err != nil {
			e.Log.Warn("rollouts: An order to a guard failed.", zap.String("vm", vm), logs.Err(err))
		}
	})
	if err != nil {
		e.activeOrders.Delete(key)
	}
}

// sendOrder sends an order and waits for the guard's reply.
func (e *Entry) sendOrder(vm string, o *wire.Order) error {
	ctx, cancel := context.WithDeadline(e.kill, orderTimeout.After(time.Now()))
	defer cancel()
	c, err := e.linkTo(ctx, vm)
	if err != nil {
		return err
	}
	return c.Call(ctx, wire.MethodOrder, o, &wire.Empty{})
}

// linkTo returns the link of a peer, or a link that is opened on demand. A second link to a
// peer's guard must not be opened: it would supersede the first one there and orphan its
// runs.
func (e *Entry) linkTo(ctx context.Context, vm string) (*link.Conn, error) {
	e.peers.mu.Lock()
	p := e.peers.byVM[vm]
	addr := e.peers.endpoints[vm].Link
	e.peers.mu.Unlock()
	if p != nil {
		return p.link(ctx)
	}
	return e.linkCache.get(ctx, e.Local, addr, "")
}

// endpointVMs returns the live endpoint VMs of a VM list, by name.
func endpointVMs(vms []store.VM) map[string]store.VM {
	out := make(map[string]store.VM)
	for _, vm := range vms {
		if vm.Role == store.RoleEndpoint && vm.State == store.VMLive {
			out[vm.Name] = vm
		}
	}
	return out
}
