// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Command traildrift runs the router's processes on VMs (entry, guard and router) and is the
// operator's tool: it shows and changes fleet settings and roll-outs, explains decisions on
// requests, analyses logs, and shows the state of processes, quarantines, usage reports and bills.
//
// It exits with 1 after a failure, and with 2 if no command is named or a settings file has
// errors.
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

// Exit codes. exitUsage is also that of errors in a settings file.
const (
	exitFailure = 1
	exitUsage   = 2
)

// processArgs are the arguments of the commands that run an entry or a guard.
type processArgs struct {
	Config string `arg:"-c,--config,required" help:"process settings file"`
}

// routerArgs are the arguments of the command that runs a router.
type routerArgs struct {
	Config string `arg:"-c,--config" help:"router settings file; by default the one that the platform's environment names"`
	Check  bool   `arg:"--check" help:"check the settings file and report its errors, without starting the router"`
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

// entryArgs are the arguments of the command that runs an entry.
type entryArgs struct{ processArgs }

func (a *entryArgs) run(ctx context.Context) error { return entry.Main(ctx, a.Config) }

// guardArgs are the arguments of the command that runs a guard.
type guardArgs struct{ processArgs }

func (a *guardArgs) run(ctx context.Context) error { return guard.Main(ctx, a.Config) }

// versionArgs are the arguments of the command that shows the version; there are none.
type versionArgs struct{}

func (*versionArgs) run(context.Context) error {
	fmt.Println("traildrift", version)
	return nil
}

// command is implemented by the arguments of each command.
type command interface {
	run(ctx context.Context) error
}

// args holds the arguments of the command that was named; all other fields are nil.
type args struct {
	Entry      *entryArgs      `arg:"subcommand:entry" help:"run an entry, which serves callers"`
	Guard      *guardArgs      `arg:"subcommand:guard" help:"run a guard, which serves the endpoint on this VM"`
	Router     *routerArgs     `arg:"subcommand:router" help:"run a router on the users' platform"`
	Settings   *settingsArgs   `arg:"subcommand:settings" help:"check, show and change fleet settings"`
	Rollout    *rolloutArgs    `arg:"subcommand:rollout" help:"stage, pause and abort roll-outs of versions"`
	Status     *statusArgs     `arg:"subcommand:status" help:"show every VM's process, its revision, and the roll-outs"`
	Explain    *explainArgs    `arg:"subcommand:explain" help:"show which endpoints a request was sent to, and why"`
	Account    *accountArgs    `arg:"subcommand:account" help:"show from routers' logs where the time and the bytes of requests went"`
	Dump       *dumpArgs       `arg:"subcommand:dump" help:"show the state of a process"`
	Quarantine *quarantineArgs `arg:"subcommand:quarantine" help:"show and lift quarantines of requests that crash endpoints"`
	Duties     *dutiesArgs     `arg:"subcommand:duties" help:"show which VM reports usage to the platform, and what it has reported"`
	Bills      *billsArgs      `arg:"subcommand:bills" help:"show folded bills"`
	Version    *versionArgs    `arg:"subcommand:version" help:"show the version"`
}

// Description is shown by --help.
func (args) Description() string {
	return "traildrift routes requests to versions of models, and explains every choice."
}

// selected returns the command that was named; nil if none was.
func (a *args) selected() command {
	for _, c := range []struct {
		named bool
		command
	}{
		{a.Entry != nil, a.Entry}, {a.Guard != nil, a.Guard}, {a.Router != nil, a.Router},
		{a.Settings != nil, a.Settings}, {a.Rollout != nil, a.Rollout}, {a.Status != nil, a.Status}, {a.Explain != nil, a.Explain},
		{a.Account != nil, a.Account}, {a.Dump != nil, a.Dump}, {a.Quarantine != nil, a.Quarantine}, {a.Duties != nil, a.Duties}, {a.Bills != nil, a.Bills}, {a.Version != nil, a.Version},
	} {
		if c.named {
			return c.command
		}
	}
	return nil
}

// errUsage is returned if no command, no subcommand or too few flags are given. main then prints the
// help.
var errUsage = errors.New("no command is named")

func main() {
	var a args
	p := arg.MustParse(&a)
	err := errUsage
	if c := a.selected(); c != nil {
		err = c.run(context.Background())
	}
	if err == nil {
		return
	}
	if errors.Is(err, errUsage) {
		p.WriteHelp(os.Stderr)
		os.Exit(exitUsage)
	}
	fmt.Fprintln(os.Stderr, err)
	var ps config.Problems
	if errors.As(err, &ps) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}
