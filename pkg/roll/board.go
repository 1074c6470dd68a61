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
	Running  State = "running"
	Paused   State = "paused"
	Aborting State = "aborting"
	Aborted  State = "aborted"
	Done     State = "done"
)

// Load is the state of a version on one VM.
type Load string

// The states of a version on one VM.
const (
	Waiting Load = "waiting"
	Loading Load = "loading"
	Loaded  Load = "loaded"
)

// Target is one VM that must have the version.
type Target struct {
	VM    string `json:"vm"`
	State Load   `json:"state"`
	// GiveUpAt is when a load that is not reported counts as lost and the VM
	// waits again.
	GiveUpAt time.Time `json:"giveUpAt,omitzero"`
}

// Rollout is one version on its way.
type Rollout struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Pool    string `json:"pool"`
	State   State  `json:"state"`
	Author  string `json:"author"`
	Reason  string `json:"reason"`
	// Waves are the shares of requests, growing to 1.
	Waves []float64 `json:"waves"`
	// Wave counts the waves that are in force; it only grows.
	Wave int `json:"wave"`
	// HoldSeconds is how long each wave is held, as the operator gave it.
	HoldSeconds float64 `json:"holdSeconds"`
	// HoldUntil is when the next wave may begin.
	HoldUntil time.Time `json:"holdUntil,omitzero"`
	// Targets are the VMs of the pool.
	Targets []Target `json:"targets"`
	// Applied counts the waves whose settings change was accepted; never more
	// than Wave.
	Applied int `json:"applied"`
	// ID makes the IDs of the roll-out's settings changes.
	ID string `json:"id"`
}

// Name returns model@version.
func (r *Rollout) Name() string { return r.Model + "@" + r.Version }

// ended reports whether the roll-out will not change any more.
func (r *Rollout) ended() bool { return r.State == Done || r.State == Aborted }

// loaded reports whether every target has the version.
func (r *Rollout) loaded() bool {
	return !slices.ContainsFunc(r.Targets, func(t Target) bool { return t.State != Loaded })
}

// Board holds the roll-outs, newest last.
type Board struct {
	Rollouts []Rollout `json:"rollouts"`
	// LoadsAtOnce bounds the loads under way, over all roll-outs.
	LoadsAtOnce int `json:"loadsAtOnce"`
}

// endedKept is how many ended roll-outs a board keeps.
const endedKept = 20

// find returns the newest roll-out of a version.
func (b *Board) find(name string) *Rollout {
	for i := len(b.Rollouts) - 1; i >= 0; i-- {
		if b.Rollouts[i].Name() == name {
			return &b.Rollouts[i]
		}
	}
	return nil
}

// Start adds a roll-out. It returns ErrWaves or ErrExists.
func (b *Board) Start(r Rollout) error {
	if !growing(r.Waves) {
		return ErrWaves
	}
	if old := b.find(r.Name()); old != nil && !old.ended() {
		return ErrExists
	}
	r.State, r.Wave, r.Applied = Running, 0, 0
	b.Rollouts = append(b.Rollouts, r)
	for i := 0; i < len(b.Rollouts) && len(b.Rollouts) > endedKept; i++ {
		if b.Rollouts[i].ended() {
			b.Rollouts = slices.Delete(b.Rollouts, i, i+1)
			i--
		}
	}
	return nil
}

func growing(waves []float64) bool {
	last := 0.0
	for _, w := range waves {
		if w <= last {
			return false
		}
		last = w
	}
	return last == 1
}

// Order changes the state of a running or paused roll-out to Running, Paused
// or Aborting. It returns ErrUnknown or ErrEnded.
func (b *Board) Order(name string, s State) error {
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
