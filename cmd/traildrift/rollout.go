// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/commit"
	"github.com/traildrift/traildrift/internal/desk"
	"github.com/traildrift/traildrift/internal/proc"
	"github.com/traildrift/traildrift/internal/rolls"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/pkg/roll"
	"github.com/traildrift/traildrift/pkg/seal"
)

// rolloutArgs are the arguments of the command that changes and shows roll-outs.
type rolloutArgs struct {
	Start  *startArgs `arg:"subcommand:start" help:"load a version on its pool and open it to requests in waves"`
	Pause  *orderArgs `arg:"subcommand:pause" help:"start no further load and no further wave of a roll-out"`
	Resume *orderArgs `arg:"subcommand:resume" help:"resume a paused roll-out"`
	Abort  *orderArgs `arg:"subcommand:abort" help:"end a roll-out and withdraw the version"`
	Show   *showArgs  `arg:"subcommand:show" help:"show the roll-outs"`
}

// startArgs are the arguments of the command that starts a roll-out.
type startArgs struct {
	platformArgs
	Version     string        `arg:"positional,required" help:"model@version; the settings must have it with share 0"`
	Waves       []float64     `arg:"--waves" help:"shares of requests, growing to 1; 0.05 0.25 1 by default"`
	Hold        time.Duration `arg:"--hold" default:"10m" help:"how long each wave is held"`
	LoadsAtOnce int           `arg:"--loads-at-once" help:"maximum number of concurrent loads from the weight store, over all roll-outs"`
	Reason      string        `arg:"--reason,required" help:"reason to record in the settings' history"`
	Author      string        `arg:"--author" help:"author to record in the settings' history; the user's name by default"`
}

// orderArgs are the arguments of the commands that change the state of a roll-out.
type orderArgs struct {
	platformArgs
	Version string `arg:"positional,required" help:"model@version"`
}

// showArgs are the arguments of the command that shows the roll-outs.
type showArgs struct {
	platformArgs
	JSON bool `arg:"--json" help:"write JSON"`
}

func (a *rolloutArgs) run(ctx context.Context) error {
	switch {
	case a.Start != nil:
		return a.Start.run(ctx)
	case a.Pause != nil:
		return a.Pause.setState(ctx, roll.Paused)
	case a.Resume != nil:
		return a.Resume.setState(ctx, roll.Running)
	case a.Abort != nil:
		return a.Abort.setState(ctx, roll.Aborting)
	case a.Show != nil:
		return a.Show.run(ctx)
	default:
		return errUsage
	}
}

// defaultWaves is the default of --waves.
var defaultWaves = []float64{0.05, 0.25, 1}

// defaultLoadsAtOnce is the limit of concurrent loads if neither --loads-at-once nor an earlier
// roll-out has set one.
const defaultLoadsAtOnce = 4

// run starts a roll-out of a version that the settings have and that is open to no requests yet.
func (a *startArgs) run(ctx context.Context) error {
	c := a.store()
	model, version, _ := strings.Cut(a.Version, "@")
	tree, err := commit.ReadTree(ctx, c)
	if err != nil {
		return err
	}
	v, ok := tree.Version(model, version)
	if !ok {
		return errors.Newf("the settings have no version %s", a.Version)
	}
	if v.Exposure() > 0 {
		return errors.Newf("version %s already has share %v of the requests; it must be 0", a.Version, v.Exposure())
	}
	if len(a.Waves) == 0 {
		a.Waves = defaultWaves
	}
	author := (&applyArgs{Author: a.Author}).author()
	return rolls.Update(ctx, c, func(b *roll.Board) error {
		if a.LoadsAtOnce > 0 || b.LoadsAtOnce == 0 {
			b.LoadsAtOnce = max(a.LoadsAtOnce, 0)
		}
		if b.LoadsAtOnce == 0 {
			b.LoadsAtOnce = defaultLoadsAtOnce
		}
		return b.Start(roll.Rollout{
			ID: proc.NewID(), Model: model, Version: version, Pool: v.Pool,
			Waves: a.Waves, HoldSeconds: a.Hold.Seconds(), Author: author, Reason: a.Reason,
		})
	})
}

func (a *orderArgs) setState(ctx context.Context, s roll.State) error {
	return rolls.Update(ctx, a.store(), func(b *roll.Board) error { return b.SetState(a.Version, s) })
}

func (a *showArgs) run(ctx context.Context) error {
	b, _, err := rolls.Read(ctx, a.store())
	if err != nil {
		return err
	}
	if a.JSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(b)
	}
	for _, r := range b.Rollouts {
		printRollout(&r)
	}
	return nil
}

// printRollout prints a line on a roll-out, with the numbers of VMs by the state of their load.
func printRollout(r *roll.Rollout) {
	loads := make(map[roll.LoadState]int)
	for _, t := range r.Targets {
		loads[t.State]++
	}
	fmt.Printf("%-24s %-8s pool %s, loaded %d, loading %d, waiting %d, wave %d of %v in force %d", r.Name(), r.State, r.Pool,
		loads[roll.Loaded], loads[roll.Loading], loads[roll.Waiting], r.Wave, r.Waves, r.Applied)
	if r.State == roll.Running && !r.HoldUntil.IsZero() {
		fmt.Printf(", held until %s", r.HoldUntil.Format(time.RFC3339))
	}
	fmt.Printf(", by %s: %s\n", r.Author, r.Reason)
}

// statusArgs are the arguments of the command that shows the VMs and the roll-outs.
type statusArgs struct {
	platformArgs
	Keys string `arg:"--keys,required" help:"key file"`
}

// statusTimeout is the timeout of the queries to all processes together.
const statusTimeout = 10 * time.Second

func (a *statusArgs) run(ctx context.Context) error {
	var keys proc.Keys
	if err := proc.Load(a.Keys, &keys); err != nil {
		return err
	}
	ring, err := seal.NewKeyring(keys.Link)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	rows, err := desk.Status(ctx, store.NewVMs(a.Platform), ring)
	if err != nil {
		return err
	}
	for _, r := range rows {
		fmt.Printf("%-20s %-9s %-10s %-12s %s\n", r.VM.Name, r.VM.Role, r.VM.AvailabilityZone, r.VM.State, r.RevisionText())
	}
	b, _, err := rolls.Read(ctx, a.store())
	if err != nil {
		return err
	}
	for _, r := range b.Rollouts {
		printRollout(&r)
	}
	return nil
}
