// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package rolls executes the roll-outs that pkg/roll decides. The board of all roll-outs
// is one object on the platform. Several processes may run a Driver: a step that changes
// the board is a conditional update of that object, so that of two concurrent ones only
// one is stored, and only its process sends the load orders of that step. Load orders are
// idempotent and may be sent again. The settings changes that roll-outs require have IDs,
// so that each is applied once.
package rolls

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/commit"
	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/roll"
)

// Kind and Name are the kind and the name of the object that holds the board.
const (
	Kind = "rollouts"
	Name = "board"
)

const (
	// stepInterval is the pause between two steps of a driver.
	stepInterval = config.Span(time.Second)
	// stepTimeout is the timeout of all calls of one step to the platform together.
	stepTimeout = 5 * time.Second
	// loadTimeout is the time after which a load fails if the VM has not been
	// reported to have the version.
	loadTimeout = config.Span(2 * time.Minute)
)

// Read reads the board and the version of its object from the platform. If there is no
// object yet, it returns an empty board with version 0.
func Read(ctx context.Context, c *store.Client) (roll.Board, int64, error) {
	var b roll.Board
	o, err := c.Get(ctx, Kind, Name)
	if errors.Is(err, store.ErrNotFound) {
		return b, 0, nil
	}
	if err != nil {
		return b, 0, err
	}
	return b, o.Version, json.Unmarshal(o.Value, &b)
}

// Version reads the version of the board's object, which orders carry as their fencing
// token.
func Version(ctx context.Context, c *store.Client) (int64, error) {
	_, version, err := Read(ctx, c)
	return version, err
}

// write writes the board if its object still has the given version, and returns the new
// version. Otherwise the error is store.ErrConflict.
func write(ctx context.Context, c *store.Client, b *roll.Board, version int64) (int64, error) {
	body, err := json.Marshal(b)
	if err != nil {
		return 0, err
	}
	return c.Put(ctx, Kind, Name, version, body)
}

// maxAttempts is the maximum number of attempts to write an update that lost a race.
const maxAttempts = 20

// Update reads the board, calls change on it and writes it by a conditional update. If
// another process has written the board in between, Update reads it and calls change
// again. It returns the error of change, an error of the store, or store.ErrConflict
// after maxAttempts attempts.
func Update(ctx context.Context, c *store.Client, change func(*roll.Board) error) error {
	var last error
	for range maxAttempts {
		b, version, err := Read(ctx, c)
		if err != nil {
			return err
		}
		if err := change(&b); err != nil {
			return err
		}
		_, last = write(ctx, c, &b, version)
		if last == nil {
			return nil
		}
		if !errors.Is(last, store.ErrConflict) {
			return last
		}
	}
	return last
}

// Driver executes the steps of roll-outs. All fields are required; the process that runs
// the driver sets them.
type Driver struct {
	Log   *zap.Logger
	Store *store.Client
	// Now returns the time.
	Now func() time.Time
	// Active reports whether Run executes steps in this process at present.
	Active func() bool
	// VMs returns the names of the live VMs by pool.
	VMs func() map[string][]string
	// HasVersion reports whether the guard of a VM reports that the VM has a version;
	// known is false if this process has no report of the VM.
	HasVersion func(vm, version string) (has, known bool)
	// SendOrder sends a load order to the guard of a VM. It must not block.
	SendOrder func(vm string, o wire.Order)
}

// Run executes a step every stepInterval while Active returns true, until ctx is done.
// It logs the errors of steps and returns nil.
func (d *Driver) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if d.Active() {
			if err := d.Step(ctx); err != nil && ctx.Err() == nil {
				d.Log.Warn("rollouts: A step failed; it will be retried.", logs.Err(err))
			}
		}
		tasks.Pause(ctx, stepInterval.After(time.Now()))
	}
	return nil
}

// Step reads the board, executes one step, sends its orders and applies the settings
// changes that roll-outs require. If the step changes the board but another process has
// written it in between, Step drops the step and returns nil. The calls to the platform
// time out after stepTimeout.
func (d *Driver) Step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	b, version, err := Read(ctx, d.Store)
	if err != nil || len(b.Rollouts) == 0 {
		return err
	}
	plan := b.Step(&roll.StepInput{Now: d.Now(), VMs: d.VMs(), HasVersion: d.HasVersion, GiveUpAt: loadTimeout.After})
	if plan.Changed {
		version, err = write(ctx, d.Store, &b, version)
		if errors.Is(err, store.ErrConflict) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	for _, o := range plan.Orders {
		d.SendOrder(o.VM, wire.Order{Fence: version, Model: o.Model, Version: o.Version})
	}
	for i := range b.Rollouts {
		if err := d.applyPendingChange(ctx, &b.Rollouts[i]); err != nil {
			return err
		}
	}
	return nil
}

// applyPendingChange applies the settings change that a roll-out requires, if any, and
// records on the board that it was accepted.
func (d *Driver) applyPendingChange(ctx context.Context, r *roll.Rollout) error {
	c, ok := r.PendingChange()
	if !ok {
		return nil
	}
	snap, err := commit.ReadTree(ctx, d.Store)
	if err != nil {
		return err
	}
	nodes := snap.Nodes()
	if nodes[""], ok = withChange(nodes[""], &c); !ok {
		return errors.Newf("rollouts: the settings do not define version %s", r.Name())
	}
	change, err := commit.Apply(ctx, d.Store, commit.Edit{ID: c.ID, Author: r.Author, Reason: c.Reason, At: d.Now(), Base: snap.Head.Revision, Nodes: nodes})
	if err != nil && !errors.Is(err, commit.ErrNoChange) {
		return err
	}
	d.Log.Info("rollouts: The settings change of a roll-out was accepted.", zap.String("version", r.Name()), zap.Float64("share", c.Share), zap.Bool("withdrawn", c.Withdraw), zap.Int64("revision", change.Revision))
	return Update(ctx, d.Store, func(b *roll.Board) error {
		b.MarkAccepted(c.ID, d.Now())
		return nil
	})
}

// withChange returns a copy of the fleet node n in which the version of c has the share
// or the state of c, and false if n does not define that version. A share of 1 is stored
// as no share. The maps of n are not changed.
func withChange(n config.Node, c *roll.Change) (config.Node, bool) {
	v, ok := n.Models[c.Model].Versions[c.Version]
	if !ok {
		return n, false
	}
	share := c.Share
	v.Share = &share
	if share == 1 {
		v.Share = nil
	}
	if c.Withdraw {
		v.State = config.StateWithdrawn
	}
	models := make(map[string]config.Model, len(n.Models))
	for name, m := range n.Models {
		versions := make(map[string]config.Version, len(m.Versions))
		for k, version := range m.Versions {
			versions[k] = version
		}
		models[name] = config.Model{Versions: versions}
	}
	models[c.Model].Versions[c.Version] = v
	n.Models = models
	return n, true
}
