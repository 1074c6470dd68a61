// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import (
	"slices"
	"time"

	"github.com/traildrift/traildrift/pkg/fault"
)

// Errors of this package.
const (
	ErrExists  fault.Const = "roll: there is a roll-out of this version that has not ended"
	ErrUnknown fault.Const = "roll: there is no such roll-out"
	ErrEnded   fault.Const = "roll: the roll-out has ended"
	ErrWaves   fault.Const = "roll: waves are shares that grow from more than 0 to 1"
)

// State is the state of a roll-out.
type State string

// The states of a roll-out. Done and Aborted are final.
const (
	Running State = "running"
	Paused  State = "paused"
	// Aborting lasts until the withdrawal of the version is in the settings.
	Aborting State = "aborting"
	Aborted  State = "aborted"
	Done     State = "done"
)

// LoadState is the state of a version on one VM.
type LoadState string

// The states of a version on one VM.
const (
	// Waiting means that no load is in progress.
	Waiting LoadState = "waiting"
	Loading LoadState = "loading"
	// Loaded means that the VM's guard reported the version.
	Loaded LoadState = "loaded"
)

// Target is one VM on which a roll-out loads its version.
type Target struct {
	VM    string    `json:"vm"`
	State LoadState `json:"state"`
	// GiveUpAt is the deadline of a load in progress: if the guard has not
	// reported the version by then, the target is Waiting again.
	GiveUpAt time.Time `json:"giveUpAt,omitzero"`
}

// Rollout is the roll-out of one version to a pool, as it is stored.
type Rollout struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Pool    string `json:"pool"`
	State   State  `json:"state"`
	// Author and Reason are those of the operator's order.
	Author string `json:"author"`
	Reason string `json:"reason"`
	// Waves are the shares of requests, 0 to 1, that the version gets in turn. They
	// increase and end at 1.
	Waves []float64 `json:"waves"`
	// Wave is the number of waves that were begun. It never decreases.
	Wave int `json:"wave"`
	// HoldSeconds is the minimum duration of each wave, set by the operator.
	HoldSeconds float64 `json:"holdSeconds"`
	// HoldUntil is the earliest time at which the next wave may begin.
	HoldUntil time.Time `json:"holdUntil,omitzero"`
	// Targets are the live VMs of the pool; Board.Step keeps them up to date.
	Targets []Target `json:"targets"`
	// Applied is the number of waves whose settings change was accepted. It is at
	// most Wave.
	Applied int `json:"applied"`
	// ID is the prefix of the IDs of the roll-out's settings changes.
	ID string `json:"id"`
}

// Name returns model@version.
func (r *Rollout) Name() string { return r.Model + "@" + r.Version }

// ended reports whether the state of the roll-out is final.
func (r *Rollout) ended() bool { return r.State == Done || r.State == Aborted }

// loaded reports whether every target has the version.
func (r *Rollout) loaded() bool {
	return !slices.ContainsFunc(r.Targets, func(t Target) bool { return t.State != Loaded })
}

// Board holds all roll-outs. It is stored as one object.
type Board struct {
	// Rollouts are in the order of their start, newest last.
	Rollouts []Rollout `json:"rollouts"`
	// LoadsAtOnce is the maximum number of concurrent loads over all roll-outs;
	// values below 1 count as 1.
	LoadsAtOnce int `json:"loadsAtOnce"`
}

// maxEndedRollouts is the number of roll-outs above which Start removes the oldest
// ended ones.
const maxEndedRollouts = 20

// find returns the newest roll-out of a version, and nil if there is none.
func (b *Board) find(name string) *Rollout {
	for i := len(b.Rollouts) - 1; i >= 0; i-- {
		if b.Rollouts[i].Name() == name {
			return &b.Rollouts[i]
		}
	}
	return nil
}

// Start adds a roll-out in state Running. It returns ErrWaves if r.Waves are not
// valid and ErrExists if a roll-out of the version has not ended.
func (b *Board) Start(r Rollout) error {
	if !validWaves(r.Waves) {
		return ErrWaves
	}
	if old := b.find(r.Name()); old != nil && !old.ended() {
		return ErrExists
	}
	r.State, r.Wave, r.Applied = Running, 0, 0
	b.Rollouts = append(b.Rollouts, r)
	for i := 0; i < len(b.Rollouts) && len(b.Rollouts) > maxEndedRollouts; i++ {
		if b.Rollouts[i].ended() {
			b.Rollouts = slices.Delete(b.Rollouts, i, i+1)
			i--
		}
	}
	return nil
}

// validWaves reports whether the shares increase from above 0 to exactly 1.
func validWaves(waves []float64) bool {
	last := 0.0
	for _, w := range waves {
		if w <= last {
			return false
		}
		last = w
	}
	return last == 1
}

// SetState changes the state of the newest roll-out of a version, given as
// model@version, to Running, Paused or Aborting. It returns ErrUnknown if there is
// no such roll-out and ErrEnded if it has ended or is being aborted.
func (b *Board) SetState(name string, s State) error {
	r := b.find(name)
	if r == nil {
		return ErrUnknown
	}
	if r.ended() || r.State == Aborting {
		return ErrEnded
	}
	r.State = s
	return nil
}
