// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/traildrift/traildrift/internal/commit"
	"github.com/traildrift/traildrift/internal/desk"
	"github.com/traildrift/traildrift/internal/proc"
	"github.com/traildrift/traildrift/internal/spread"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/seal"
)

// platformArgs are the arguments of commands that read or write objects of the platform.
type platformArgs struct {
	Platform netip.AddrPort `arg:"--platform,required,env:TRAILDRIFT_PLATFORM" help:"IP number and port of the object API"`
}

func (p platformArgs) store() *store.Client { return store.New(p.Platform) }

// settingsArgs are the arguments of the command that checks, shows and changes fleet settings.
type settingsArgs struct {
	Check   *checkArgs   `arg:"subcommand:check" help:"check a settings file"`
	Get     *getArgs     `arg:"subcommand:get" help:"show the settings in force"`
	Apply   *applyArgs   `arg:"subcommand:apply" help:"put a settings file in force"`
	History *historyArgs `arg:"subcommand:history" help:"list the last changes"`
	Diff    *diffArgs    `arg:"subcommand:diff" help:"show the differences in effective settings between two revisions"`
}

// checkArgs are the arguments of the command that checks a settings file.
type checkArgs struct {
	File string `arg:"positional,required"`
}

// getArgs are the arguments of the command that shows the settings in force.
type getArgs struct {
	platformArgs
	Effective string `arg:"--effective" help:"show the effective values at WORKSPACE/WORKLOAD/DISTRICT and the levels that set them"`
}

// applyArgs are the arguments of the command that puts a settings file in force.
type applyArgs struct {
	platformArgs
	File   string        `arg:"positional,required"`
	Reason string        `arg:"--reason,required" help:"reason to record in the history"`
	Author string        `arg:"--author" help:"author to record in the history; the user's name by default"`
	Base   int64         `arg:"--base" default:"-1" help:"revision that the file is based on; the newest by default"`
	DryRun bool          `arg:"--dry-run" help:"show the differences and write nothing"`
	Wait   time.Duration `arg:"--wait" help:"maximum time to wait until every live process has the revision in force"`
	Keys   string        `arg:"--keys" help:"key file, for --wait"`
}

// historyArgs are the arguments of the command that lists the last changes.
type historyArgs struct {
	platformArgs
}

// diffArgs are the arguments of the command that compares two revisions of the settings.
type diffArgs struct {
	platformArgs
	From int64 `arg:"positional,required"`
	To   int64 `arg:"positional,required"`
}

func (a *settingsArgs) run(ctx context.Context) error {
	switch {
	case a.Check != nil:
		return a.Check.run()
	case a.Get != nil:
		return a.Get.run(ctx)
	case a.Apply != nil:
		return a.Apply.run(ctx)
	case a.History != nil:
		return a.History.run(ctx)
	case a.Diff != nil:
		return a.Diff.run(ctx)
	default:
		return errUsage
	}
}

// parseFile reads and checks a settings file. It returns config.Problems if the file has errors.
func parseFile(file string) (config.File, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return config.File{}, err
	}
	return config.ParseFile(file, text)
}

func (a *checkArgs) run() error {
	f, err := parseFile(a.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d nodes are sound\n", a.File, len(f.Nodes()))
	return nil
}

func (a *getArgs) run(ctx context.Context) error {
	s, err := commit.ReadTree(ctx, a.store())
	if err != nil {
		return err
	}
	if a.Effective != "" {
		p := append(strings.Split(a.Effective, "/"), "", "")
		return desk.Effective(os.Stdout, s, p[0], p[1], p[2])
	}
	text, err := yaml.Marshal(config.FileOf(s.Nodes()))
	if err != nil {
		return err
	}
	fmt.Printf("# revision %d\n%s", s.Head.Revision, text)
	return nil
}

func (a *applyArgs) run(ctx context.Context) error {
	f, err := parseFile(a.File)
	if err != nil {
		return err
	}
	c := a.store()
	before, err := commit.ReadTree(ctx, c)
	if err != nil {
		return err
	}
	edit := commit.Edit{ID: proc.NewID(), Author: a.author(), Reason: a.Reason, At: time.Now().UTC(), Base: a.Base, Nodes: f.Nodes()}
	if a.DryRun {
		after, err := config.Preview(f.Nodes())
		if err != nil {
			return err
		}
		return desk.Diff(os.Stdout, before, after)
	}
	change, err := commit.Apply(ctx, c, edit)
	if err != nil {
		return err
	}
	after, err := commit.ReadTree(ctx, c)
	if err != nil {
		return err
	}
	if err := desk.Diff(os.Stdout, before, after); err != nil {
		return err
	}
	fmt.Printf("accepted as revision %d, change %s\n", change.Revision, change.ID)
	return a.wait(ctx, change.Revision)
}

// author returns the author to record: that of the flag, else the user's name, else "unknown".
func (a *applyArgs) author() string {
	if a.Author != "" {
		return a.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// wait waits until every live process has the revision in force, if --wait is given.
func (a *applyArgs) wait(ctx context.Context, revision int64) error {
	if a.Wait == 0 {
		return nil
	}
	var keys proc.Keys
	if err := proc.Load(a.Keys, &keys); err != nil {
		return err
	}
	ring, err := seal.NewKeyring(keys.Link)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, a.Wait)
	defer cancel()
	if err := desk.Wait(ctx, store.NewVMs(a.Platform), ring, revision); err != nil {
		return err
	}
	fmt.Printf("revision %d is in force everywhere\n", revision)
	return nil
}

func (a *historyArgs) run(ctx context.Context) error {
	head, _, err := spread.ReadHead(ctx, a.store())
	if err != nil {
		return err
	}
	for _, c := range head.Changes {
		fmt.Printf("%d  %s  %s  %s  %s  %q\n", c.Revision, c.At.Format(time.RFC3339), c.ID, c.Author, c.Reason, c.Paths)
	}
	return nil
}

func (a *diffArgs) run(ctx context.Context) error {
	c := a.store()
	head, _, err := spread.ReadHead(ctx, c)
	if err != nil {
		return err
	}
	var snaps [2]*config.Snapshot
	for i, revision := range []int64{a.From, a.To} {
		h, err := commit.HeadAt(ctx, c, head, revision)
		if err != nil {
			return err
		}
		if snaps[i], err = commit.ReadSnapshot(ctx, c, h); err != nil {
			return err
		}
	}
	return desk.Diff(os.Stdout, snaps[0], snaps[1])
}
