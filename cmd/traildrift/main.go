// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Command traildrift is the router: the processes that run on VMs, and the
// operator's tool.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/entry"
	"github.com/traildrift/traildrift/internal/guard"
	"github.com/traildrift/traildrift/internal/proc"
	"github.com/traildrift/traildrift/internal/router"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/platform"
)

// version is set by the linker at a release.
var version = "development"

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// processArgs start a process of the system.
type processArgs struct {
	Config string `arg:"-c,--config,required" help:"process settings file"`
}

// routerArgs start a router.
type routerArgs struct {
	Config string `arg:"-c,--config" help:"router settings file; the platform's environment names it if left out"`
	Check  bool   `arg:"--check" help:"check the settings file and say what is wrong, without starting"`
}

func (a *routerArgs) run(ctx context.Context) error {
	if !a.Check {
		return platform.Main(ctx, a.Config)
	}
	var s router.Settings
	if err := proc.Load(a.Config, &s); err != nil {
		return err
	}
	fmt.Printf("%s: the settings of router %s are sound\n", a.Config, s.VM)
	return nil
}

// noArgs are those of a command without any.
type noArgs struct{}

// args are the program's commands.
type args struct {
	Entry    *processArgs  `arg:"subcommand:entry" help:"run an entry: serve callers"`
	Guard    *processArgs  `arg:"subcommand:guard" help:"run a guard: serve the endpoint on this VM"`
	Router   *routerArgs   `arg:"subcommand:router" help:"run a router on the users' platform"`
	Settings *settingsArgs `arg:"subcommand:settings" help:"check, show and change fleet settings"`
	Rollout  *rolloutArgs  `arg:"subcommand:rollout" help:"stage, pause and abort roll-outs of versions"`
	Status   *statusArgs   `arg:"subcommand:status" help:"show every VM's process, its revision, and the roll-outs"`
	Explain  *explainArgs  `arg:"subcommand:explain" help:"say why a request went where it went"`
	Dump     *dumpArgs     `arg:"subcommand:dump" help:"show the state of a process"`
	Bills    *billsArgs    `arg:"subcommand:bills" help:"show folded bills"`
	Version  *noArgs       `arg:"subcommand:version" help:"show the version"`
}

// Description is shown by --help.
func (args) Description() string {
	return "traildrift routes requests to versions of models, and explains every choice."
}

func main() {
	var a args
	p := arg.MustParse(&a)
	err := run(&a)
	if errors.Is(err, errUsage) {
		p.WriteHelp(os.Stderr)
		os.Exit(exitUsage)
	}
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var ps config.Problems
	if errors.As(err, &ps) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}

// errUsage says that no command was named.
var errUsage = errors.New("name a command")

func run(a *args) error {
	ctx := context.Background()
	switch {
	case a.Entry != nil:
		return entry.Main(ctx, a.Entry.Config)
	case a.Guard != nil:
		return guard.Main(ctx, a.Guard.Config)
	case a.Router != nil:
		return a.Router.run(ctx)
	case a.Settings != nil:
		return a.Settings.run(ctx)
	case a.Rollout != nil:
		return a.Rollout.run(ctx)
	case a.Status != nil:
		return a.Status.run(ctx)
	case a.Explain != nil:
		return a.Explain.run(ctx)
	case a.Dump != nil:
		return a.Dump.run()
	case a.Bills != nil:
		return a.Bills.run(ctx)
	case a.Version != nil:
		fmt.Println("traildrift", version)
		return nil
	default:
		return errUsage
	}
}
