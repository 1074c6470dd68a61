// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import (
	"fmt"
	"slices"
	"time"
)

// Facts are what a process knows when it takes a step.
type Facts struct {
	// Now is the time.
	Now time.Time
	// VMs lists the live VMs of each pool.
	VMs map[string][]string
	// Has reports whether a VM's guard says that it has a version; known is
	// false if this process has no word of the VM.
	Has func(vm, version string) (has, known bool)
	// LoadWithin returns when a load that begins now counts as lost.
	LoadWithin func(now time.Time) time.Time
}

// Change is a change of settings that a step asks for.
type Change struct {
	// ID names the change, so that it is made once.
	ID             string
	Model, Version string
	// Share is the version's new share of requests; Withdraw withdraws it
	// instead.
	Share    float64
	Withdraw bool
	Reason   string
}

// Order is a load that a step asks for; it carries the version of the board's
// object as its fence.
type Order struct {
	VM, Model, Version string
}

// Plan is what has to be done once the board is written.
type Plan struct {
	// Changed says that the board differs and must be written first.
	Changed bool
	Orders  []Order
}

// Step moves every roll-out on as far as the facts allow, in place. Orders are
// repeated for loads that are under way and not reported yet; they are
// harmless when they come twice.
func (b *Board) Step(f *Facts) Plan {
	var p Plan
	loads := 0
	for i := range b.Rollouts {
		if b.Rollouts[i].ended() {
			continue
		}
		b.Rollouts[i].follow(f, &p)
		loads += b.Rollouts[i].loading()
	}
	for i := range b.Rollouts {
		r := &b.Rollouts[i]
		switch r.State {
		case Running:
			loads = r.begin(f, loads, max(b.LoadsAtOnce, 1), &p)
			r.advance(f, &p)
		}
		r.order(&p)
	}
	return p
}

func (r *Rollout) loading() int {
	n := 0
	for _, t := range r.Targets {
		if t.State == Loading {
			n++
		}
	}
	return n
}

// follow brings the targets in step with the VMs and with what guards report.
func (r *Rollout) follow(f *Facts, p *Plan) {
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

// next returns the target as the facts have it: loaded once it is reported, and
// waiting again if a load was lost or a loaded VM was replaced.
func (t Target) next(f *Facts, version string) Target {
	has, known := f.Has(t.VM, version)
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

// begin starts loads while there is room for them, and returns how many are
// under way.
func (r *Rollout) begin(f *Facts, loads, most int, p *Plan) int {
	for i := range r.Targets {
		if r.Targets[i].State != Waiting || loads >= most {
			continue
		}
		r.Targets[i].State = Loading
		r.Targets[i].GiveUpAt = f.LoadWithin(f.Now)
		loads++
		p.Changed = true
	}
	return loads
}

// order repeats the orders of loads under way.
func (r *Rollout) order(p *Plan) {
	if r.State != Running {
		return
	}
	for _, t := range r.Targets {
		if t.State == Loading {
			p.Orders = append(p.Orders, Order{VM: t.VM, Model: r.Model, Version: r.Version})
		}
	}
}

// advance begins the next wave once every target has the version and the last
// wave was held long enough.
func (r *Rollout) advance(f *Facts, p *Plan) {
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

// Wanted returns the settings change that the state of a roll-out asks for, and
// false if it asks for none. Whichever process comes first makes it: its ID is
// the same for all, so that it is made once.
func (r *Rollout) Wanted() (Change, bool) {
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

// Accepted notes that the settings change of a roll-out was accepted; it
// reports false if the roll-out does not ask for that change any more.
func (b *Board) Accepted(id string, now time.Time) bool {
	for i := range b.Rollouts {
		r := &b.Rollouts[i]
		c, ok := r.Wanted()
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
