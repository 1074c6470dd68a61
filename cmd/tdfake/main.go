// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Command tdfake serves small fakes of the systems that traildrift connects to, sends load to
// entries, and runs measurements, soak runs and simulated experiments. It is for tests, the demo
// and measurements only.
package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/internal/drive"
	"github.com/traildrift/traildrift/internal/fakes"
	"github.com/traildrift/traildrift/internal/gauge"
	"github.com/traildrift/traildrift/internal/rig"
	"github.com/traildrift/traildrift/internal/soak"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/pkg/config"
)

type listenArgs struct {
	Listen netip.AddrPort `arg:"--listen,required" help:"IP number and port"`
	Seed   uint64         `arg:"--seed" default:"1" help:"seed of the faults"`
}

type objectsArgs struct {
	listenArgs
	VMs string `arg:"--vms" help:"YAML file with the VM list, read again when it changes"`
}

type engineArgs struct {
	listenArgs
	Slots      int         `arg:"--slots" default:"16" help:"batch size"`
	FirstToken config.Span `arg:"--first-token" default:"20ms" help:"time to the first token"`
	PerToken   config.Span `arg:"--per-token" default:"2ms" help:"time of each other token"`
}

type plainArgs struct {
	listenArgs
	Work config.Span `arg:"--work" default:"5ms" help:"time of a call"`
}

type demoArgs struct {
	First  netip.AddrPort `arg:"--first,required" help:"an entry"`
	Second netip.AddrPort `arg:"--second,required" help:"another entry"`
	Key    string         `arg:"--key,required" help:"API key"`
}

type args struct {
	Objects    *objectsArgs    `arg:"subcommand:objects" help:"object API and VM list"`
	Engine     *engineArgs     `arg:"subcommand:engine" help:"model engine"`
	Plain      *plainArgs      `arg:"subcommand:plain" help:"plain service"`
	Measure    *measureArgs    `arg:"subcommand:measure" help:"start fleets on loopback and measure them"`
	Load       *loadArgs       `arg:"subcommand:load" help:"send chat requests at a rate and measure them"`
	Soak       *soakArgs       `arg:"subcommand:soak" help:"run a fleet under randomised faults and check what must hold"`
	Experiment *experimentArgs `arg:"subcommand:experiment" help:"play policies against emulated endpoints and print a table"`
	Demo       *demoArgs       `arg:"subcommand:demo" help:"send the demo's requests and check the answers"`
}

// Description is shown by --help.
func (args) Description() string { return "tdfake stands in for what traildrift meets." }

func main() {
	rig.Main()
	var a args
	p := arg.MustParse(&a)
	if p.Subcommand() == nil {
		p.WriteHelp(os.Stderr)
		os.Exit(2)
	}
	if err := run(&a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(a *args) error {
	switch {
	case a.Objects != nil:
		return a.Objects.run()
	case a.Engine != nil:
		o := fakes.EngineOptions{Slots: a.Engine.Slots, FirstToken: a.Engine.FirstToken, PerToken: a.Engine.PerToken, Seed: a.Engine.Seed}
		return serve(a.Engine.Listen, fakes.NewEngine(o).Handle)
	case a.Plain != nil:
		return serve(a.Plain.Listen, fakes.NewPlain(a.Plain.Seed, a.Plain.Work).Handle)
	case a.Load != nil:
		return a.Load.run()
	case a.Soak != nil:
		return a.Soak.run()
	case a.Experiment != nil:
		return a.Experiment.run()
	case a.Measure != nil:
		return a.Measure.run()
	default:
		return a.Demo.run()
	}
}

// serve serves handle on addr until SIGTERM or SIGINT.
func serve(addr netip.AddrPort, handle fasthttp.RequestHandler) error {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return err
	}
	s := fakes.Serve(ln, handle)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	return s.Close()
}

// vmListInterval is the interval at which the file of the VM list is read again.
const vmListInterval = 200 * time.Millisecond

func (a *objectsArgs) run() error {
	o := fakes.NewObjects(a.Seed)
	if a.VMs != "" {
		if err := readVMs(o, a.VMs); err != nil {
			return err
		}
		go func() {
			for range time.Tick(vmListInterval) {
				if err := readVMs(o, a.VMs); err != nil {
					fmt.Fprintln(os.Stderr, err)
				}
			}
		}()
	}
	return serve(a.Listen, o.Handle)
}

func readVMs(o *fakes.Objects, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var vms []store.VM
	if err := yaml.UnmarshalWithOptions(text, &vms, yaml.Strict()); err != nil {
		return errors.Wrap(err, file)
	}
	o.SetVMs(vms)
	return nil
}

func (a *demoArgs) run() error {
	d := drive.Demo{Out: os.Stdout, First: drive.NewCaller(a.First, a.Key), Second: drive.NewCaller(a.Second, a.Key)}
	id, err := d.Run()
	fmt.Println("explain:", id)
	return err
}

type measureArgs struct {
	What string `arg:"positional,required" help:"path, claims, recovery or capacity"`
}

// measureTimeout is the timeout of a whole measurement.
const measureTimeout = 15 * time.Minute

func (a *measureArgs) run() error {
	dir, err := os.MkdirTemp("", "tdfake")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), measureTimeout)
	defer cancel()
	switch a.What {
	case "path":
		return gauge.Path(os.Stdout, dir)
	case "claims":
		return gauge.Claims(ctx, os.Stdout, dir)
	case "recovery":
		return gauge.Recovery(ctx, os.Stdout, dir)
	case "capacity":
		return gauge.Capacity(ctx, os.Stdout, dir)
	default:
		return errors.Newf("there is no measurement %q", a.What)
	}
}

type loadArgs struct {
	Entries   []netip.AddrPort `arg:"--entries,required" help:"entries on loopback"`
	Key       string           `arg:"--key,required" help:"API key"`
	Model     string           `arg:"--model,required" help:"workload or model"`
	PerSecond float64          `arg:"--per-second" default:"50" help:"arrivals a second, a Poisson process"`
	For       config.Span      `arg:"--for" default:"10s" help:"how long requests are sent"`
	Words     int              `arg:"--words" default:"16" help:"length of each answer"`
	Seed      uint64           `arg:"--seed" default:"1" help:"seed of the arrivals"`
}

// loadMaxInFlight is the maximum number of requests in flight.
const loadMaxInFlight = 2000

func (a *loadArgs) run() error {
	l := drive.Load{ArrivalsPerSecond: a.PerSecond, Until: a.For.After(time.Now()), Seed: a.Seed, MaxInFlight: loadMaxInFlight}
	for _, addr := range a.Entries {
		if !addr.Addr().IsLoopback() {
			return errors.Newf("%s is not on loopback", addr)
		}
		l.Callers = append(l.Callers, drive.NewCaller(addr, a.Key))
	}
	for _, streamed := range []bool{false, true} {
		l.Mix = append(l.Mix, drive.MixEntry{Name: fmt.Sprintf("%s, streamed %v", a.Model, streamed), Weight: 1, NewRequest: func(n int) drive.Request {
			return drive.Request{
				Chat:     fakes.ChatRequest{Model: a.Model, Messages: []fakes.Message{{Role: "user", Content: fmt.Sprint("load ", n)}}, MaxTokens: a.Words, Stream: streamed},
				Deadline: time.Now().Add(time.Minute),
			}
		}})
	}
	fmt.Printf("load: seed %d, %g a second for %s\n", a.Seed, a.PerSecond, a.For)
	for _, r := range l.Run(context.Background()) {
		r.Write(os.Stdout)
	}
	return nil
}

type soakArgs struct {
	Seed    uint64      `arg:"--seed" default:"1" help:"first seed of the faults and requests"`
	Runs    int         `arg:"--runs" default:"1" help:"how many seeds to run, one after the other"`
	For     config.Span `arg:"--for" default:"30s" help:"how long faults are drawn for each seed"`
	Callers int         `arg:"--callers" default:"12" help:"callers that send one request after the other"`
}

func (a *soakArgs) run() error {
	for i := range a.Runs {
		dir, err := os.MkdirTemp("", "tdsoak")
		if err != nil {
			return err
		}
		err = soak.Run(context.Background(), soak.Options{Seed: a.Seed + uint64(i), Duration: a.For, Callers: a.Callers, Dir: dir, Out: os.Stdout})
		if err != nil {
			return errors.Wrapf(err, "files are in %s", dir)
		}
		_ = os.RemoveAll(dir)
	}
	return nil
}
