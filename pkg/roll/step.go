// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import (
	"fmt"
	"slices"
	"time"
)

// StepInput is the state that a process observes when it takes a step.
type StepInput struct {
	// Now is the time.
	Now time.Time
	// VMs lists the live VMs by pool. The targets of a pool that is missing are left as
	// they are.
	VMs map[string][]string
	// HasVersion reports whether the guard of a VM reports that the VM has a version;
	// known is false if this process has no report of the VM.
	HasVersion func(vm, version string) (has, known bool)
	// GiveUpAt returns the deadline of a load that begins now.
	GiveUpAt func(now time.Time) time.Time
}

// Change is a change of the settings that a roll-out requires.
type Change struct {
	// ID identifies the change. It is the same in every process, so that the change is
	// applied once.
	ID             string
	Model, Version string
	// Share is the version's new share of requests, 0 to 1. It does not count if Withdraw
	// is set, which withdraws the version.
	Share    float64
	Withdraw bool
	// Reason is written to the history of the settings.
	Reason string
}

// LoadOrder is an order to a VM to load a version. It is sent with the version of the
// board's object as its fencing token.
type LoadOrder struct {
	VM, Model, Version string
}

// Plan is the result of a step. If Changed is set, the board must be stored before any
// order is sent.
type Plan struct {
	// Changed says that the step changed the board.
	Changed bool
	Orders  []LoadOrder
}

// Step advances every roll-out as far as the input allows and updates b in place. The
// plan has an order for each load that is in progress and not reported yet, also if a
// former step had it: orders are idempotent.
func (b *Board) Step(f *StepInput) Plan {
	var p Plan
	loads := 0
	for i := range b.Rollouts {
		if b.Rollouts[i].ended() {
			continue
		}
		b.Rollouts[i].syncTargets(f, &p)
		loads += b.Rollouts[i].loading()
	}
	for i := range b.Rollouts {
		r := &b.Rollouts[i]
		switch r.State {
		case Running:
			loads = r.startLoads(f, loads, max(b.LoadsAtOnce, 1), &p)
			r.advance(f, &p)
		}
		r.addOrders(&p)
	}
	return p
}

// loading returns the number of targets whose load is in progress.
func (r *Rollout) loading() int {
	n := 0
	for _, t := range r.Targets {
		if t.State == Loading {
			n++
		}
	}
	return n
}

// syncTargets makes the targets those of the live VMs, in the states that guards report.
func (r *Rollout) syncTargets(f *StepInput, p *Plan) {
	live := f.VMs[r.Pool]
	if live == nil {
		return
	}
	n := len(r.Targets)
	r.Targets = slices.DeleteFunc(r.Targets, func(t Target) bool { return !slices.Contains(live, t.VM) })
	p.Changed = p.Changed || len(r.Targets) != n
	for _, vm := range live {
		if !slices.ContainsFunc(r.Targets, func(t Target) bool { return t.VM == vm }) {
			r.Targets = append(r.Targets, Target{VM: vm, State: Waiting})
			p.Changed = true
		}
	}
	for i := range r.Targets {
		if next := r.Targets[i].next(f, r.Name()); next != r.Targets[i] {
			r.Targets[i] = next
			p.Changed = true
		}
	}
}

// next returns the target in its observed state: Loaded once its guard reports the
// version, and Waiting again if a load is past its deadline or a loaded VM no longer has
// the version, as after its replacement.
func (t Target) next(f *StepInput, version string) Target {
	has, known := f.HasVersion(t.VM, version)
	switch {
	case known && has:
		return Target{VM: t.VM, State: Loaded}
	case known && t.State == Loaded:
		return Target{VM: t.VM, State: Waiting}
	case t.State == Loading && f.Now.After(t.GiveUpAt):
		return Target{VM: t.VM, State: Waiting}
	default:
		return t
	}
}

// startLoads starts loads of waiting targets up to maxLoads over all roll-outs. loads is
// the number of loads in progress before, the result that after it.
func (r *Rollout) startLoads(f *StepInput, loads, maxLoads int, p *Plan) int {
	for i := range r.Targets {
		if r.Targets[i].State != Waiting || loads >= maxLoads {
			continue
		}
		r.Targets[i].State = Loading
		r.Targets[i].GiveUpAt = f.GiveUpAt(f.Now)
		loads++
		p.Changed = true
	}
	return loads
}

// addOrders adds the orders of the loads in progress to the plan.
func (r *Rollout) addOrders(p *Plan) {
	if r.State != Running {
		return
	}
	for _, t := range r.Targets {
		if t.State == Loading {
			p.Orders = append(p.Orders, LoadOrder{VM: t.VM, Model: r.Model, Version: r.Version})
		}
	}
}

// advance begins the next wave, or ends the roll-out after its last wave, once every
// target has the version, the last wave is applied and its hold time is over.
func (r *Rollout) advance(f *StepInput, p *Plan) {
	if !r.loaded() || len(r.Targets) == 0 || r.Applied < r.Wave || f.Now.Before(r.HoldUntil) {
		return
	}
	if r.Wave == len(r.Waves) {
		r.State = Done
		p.Changed = true
		return
	}
	r.Wave++
	p.Changed = true
}

// PendingChange returns the settings change that the roll-out requires in its present
// state, and false if it requires none. Any process may apply it: the ID is the same in
// all of them, so that it is applied once.
func (r *Rollout) PendingChange() (Change, bool) {
	c := Change{Model: r.Model, Version: r.Version, Reason: fmt.Sprintf("roll-out of %s: %s", r.Name(), r.Reason)}
	switch {
	case r.ended():
		return c, false
	case r.State == Aborting:
		c.Withdraw = true
		c.ID = r.changeID("abort")
	case r.Wave > r.Applied:
		c.Share = r.Waves[r.Wave-1]
		c.ID = r.changeID(fmt.Sprint("wave", r.Wave))
	default:
		return c, false
	}
	return c, true
}

func (r *Rollout) changeID(what string) string {
	return "rollout-" + r.ID + "-" + what
}

// MarkAccepted records that the settings change with the given ID was accepted: a
// withdrawal ends the roll-out, a wave is held from now on. It returns false and changes
// nothing if no roll-out requires that change any more.
func (b *Board) MarkAccepted(id string, now time.Time) bool {
	for i := range b.Rollouts {
		r := &b.Rollouts[i]
		c, ok := r.PendingChange()
		if !ok || c.ID != id {
			continue
		}
		if c.Withdraw {
			r.State = Aborted
			return true
		}
		r.Applied = r.Wave
		r.HoldUntil = now.Add(time.Duration(r.HoldSeconds * float64(time.Second)))
		return true
	}
	return false
}
