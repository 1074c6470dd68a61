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

// orderWithin bounds an order, which may fetch weights.
const orderWithin = config.Span(time.Minute)

// probeWithin bounds a question to a guard that no link is kept to.
const probeWithin = config.Span(time.Second)

// newDriver returns the driver of roll-outs of this entry. Those entries drive
// that watch the platform.
func (e *Entry) newDriver() *rolls.Driver {
	return &rolls.Driver{
		Log:    e.Log,
		Store:  e.Store,
		Now:    e.Now,
		Active: e.peers.watching,
		VMs:    e.peers.pools,
		Has:    e.hasVersion,
		Order:  e.order,
	}
}

// pools lists the live endpoint VMs of each pool.
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

// hasVersion reports whether a VM's engine has a version: from the last
// heartbeat, or by asking a guard that no link is kept to.
func (e *Entry) hasVersion(vm, version string) (has, known bool) {
	load, known := e.loadOf(vm)
	if !known {
		return false, false
	}
	return load.Versions == nil || slices.Contains(load.Versions, version), true
}

func (e *Entry) loadOf(vm string) (wire.Load, bool) {
	e.peers.mu.Lock()
	p := e.peers.byVM[vm]
	e.peers.mu.Unlock()
	if p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.load, p.usable(e.Now())
	}
	ctx, cancel := context.WithDeadline(e.kill, probeWithin.After(time.Now()))
	defer cancel()
	c, err := e.linkTo(ctx, vm)
	if err != nil {
		return wire.Load{}, false
	}
	var reply wire.HeartbeatReply
	err = c.Call(ctx, wire.MethodHeartbeat, wire.Heartbeat{Stamp: e.Stamp()}, &reply)
	return reply.Load, err == nil
}

// order gives an order to a guard in the bounded pool. An order that is under
// way is not given again.
func (e *Entry) order(vm string, o wire.Order) {
	key := vm + "/" + o.Model + "@" + o.Version
	if _, under := e.orders.LoadOrStore(key, true); under {
		return
	}
	o.Stamp = e.Stamp()
	err := e.submit(func() {
		defer e.orders.Delete(key)
		if err := e.giveOrder(vm, &o); err != nil {
			e.Log.Warn("rollouts: An order was not followed.", zap.String("vm", vm), logs.Err(err))
		}
	})
	if err != nil {
		e.orders.Delete(key)
	}
}

func (e *Entry) giveOrder(vm string, o *wire.Order) error {
	ctx, cancel := context.WithDeadline(e.kill, orderWithin.After(time.Now()))
	defer cancel()
	c, err := e.linkTo(ctx, vm)
	if err != nil {
		return err
	}
	return c.Call(ctx, wire.MethodOrder, o, &wire.Empty{})
}

// linkTo returns the kept link to a guard, or opens one. A second link to a
// guard would replace the kept one there, and with it its runs.
func (e *Entry) linkTo(ctx context.Context, vm string) (*link.Conn, error) {
	e.peers.mu.Lock()
	p := e.peers.byVM[vm]
	addr := e.peers.endpoints[vm].Link
	e.peers.mu.Unlock()
	if p != nil {
		return p.link(ctx)
	}
	return e.entryLinks.to(ctx, e.Local, addr, "")
}

// endpointVMs returns the live endpoint VMs by name.
func endpointVMs(vms []store.VM) map[string]store.VM {
	out := make(map[string]store.VM)
	for _, vm := range vms {
		if vm.Role == store.RoleEndpoint && vm.State == store.VMLive {
			out[vm.Name] = vm
		}
	}
	return out
}
