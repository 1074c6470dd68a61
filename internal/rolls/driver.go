// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package rolls drives roll-outs: whichever process comes first takes the next
// step by a conditional update of one object, changes the settings, and gives
// the orders.
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

// Kind and name of the board's object.
const (
	Kind = "rollouts"
	Name = "board"
)

const (
	// stepInterval is how often a driver looks at the board.
	stepInterval = config.Span(time.Second)
	// stepTimeout bounds the calls of one step to the platform.
	stepTimeout = 5 * time.Second
	// loadTimeout is how long a load may go without being reported.
	loadTimeout = config.Span(2 * time.Minute)
)

// Read returns the board and the version of its object; an empty board with
// version 0 if there is none yet.
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

// Version returns the version of the board's object.
func Version(ctx context.Context, c *store.Client) (int64, error) {
	_, version, err := Read(ctx, c)
	return version, err
}

// write puts the board if its object still has the version that was read.
func write(ctx context.Context, c *store.Client, b *roll.Board, version int64) (int64, error) {
	body, err := json.Marshal(b)
	if err != nil {
		return 0, err
	}
	return c.Put(ctx, Kind, Name, version, body)
}

// maxAttempts bounds how often a raced update is tried again.
const maxAttempts = 20

// Update changes the board by one conditional update, reading it again while
// others are first.
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

// Driver takes steps. Its function fields are seams to the process it runs in.
type Driver struct {
	Log   *zap.Logger
	Store *store.Client
	Now   func() time.Time
	// Active says whether this process is one of those that drive.
	Active func() bool
	// VMs lists the live VMs of each pool.
	VMs func() map[string][]string
	// HasVersion reports whether a VM has a version, and whether that is known.
	HasVersion func(vm, version string) (has, known bool)
	// SendOrder gives an order to the guard of a VM; it returns at once.
	SendOrder func(vm string, o wire.Order)
}

// Run takes steps until ctx is done.
func (d *Driver) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if d.Active() {
			if err := d.Step(ctx); err != nil && ctx.Err() == nil {
				d.Log.Warn("rollouts: A step was not taken.", logs.Err(err))
			}
		}
		tasks.Pause(ctx, stepInterval.After(time.Now()))
	}
	return nil
}

// Step reads the board and takes one step. A step that another process has
// taken meanwhile is not an error.
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

// applyPendingChange makes the settings change that a roll-out asks for, and notes that it
// was accepted.
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
		return errors.Newf("rollouts: the settings have no %s", r.Name())
	}
	change, err := commit.Apply(ctx, d.Store, commit.Edit{ID: c.ID, Author: r.Author, Reason: c.Reason, At: d.Now(), Base: snap.Head.Revision, Nodes: nodes})
	if err != nil && !errors.Is(err, commit.ErrNoChange) {
		return err
	}
	d.Log.Info("rollouts: A wave is in the settings.", zap.String("version", r.Name()), zap.Float64("share", c.Share), zap.Bool("withdrawn", c.Withdraw), zap.Int64("revision", change.Revision))
	return Update(ctx, d.Store, func(b *roll.Board) error {
		b.MarkAccepted(c.ID, d.Now())
		return nil
	})
}

// withChange returns the fleet node with the change made to its version.
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
