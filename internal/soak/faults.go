// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/traildrift/traildrift/internal/broken"
	"github.com/traildrift/traildrift/internal/fakes"
	"github.com/traildrift/traildrift/internal/rig"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/pkg/config"
)

// injector draws faults and injects them. It is used by one goroutine at a time.
type injector struct {
	f   *rig.Fleet
	rnd *rand.Rand
	// counts holds how often each kind of fault was drawn, by name.
	counts map[string]int
	// report records a violation that the injector found.
	report func(format string, args ...any)
	// kills holds the times at which processes were killed, by role.
	kills map[string][]time.Time
	// busiest is the number of the entry that gets nine of ten requests, from 1 on; 0 for none.
	busiest *atomic.Int64
	// withdrawn says that mapcore@1 is withdrawn in the settings applied last.
	withdrawn bool
}

// faultKind is a kind of fault. begin injects the fault and returns the function that ends it.
type faultKind struct {
	name  string
	begin func(in *injector) (end func())
}

var faultKinds = []faultKind{
	{"entryKilled", func(in *injector) func() { return in.kill(in.f.Entries[in.rnd.IntN(len(in.f.Entries))]) }},
	{"guardKilled", func(in *injector) func() { return in.kill(in.f.Guards[in.rnd.IntN(len(in.f.Guards))]) }},
	{"entryFrozen", func(in *injector) func() { return freeze(in.f.Entries[in.rnd.IntN(len(in.f.Entries))]) }},
	{"guardFrozen", func(in *injector) func() { return freeze(in.f.Guards[in.rnd.IntN(len(in.f.Guards))]) }},
	{"linkBroken", func(in *injector) func() { in.relay().CloseConns(); return func() {} }},
	{"linkCut", func(in *injector) func() { r := in.relay(); r.Cut(); return r.Heal }},
	{"answersLost", func(in *injector) func() { r := in.relay(); r.DropFromVM(); return func() { r.Heal(); r.CloseConns() } }},
	{"requestsLost", func(in *injector) func() { r := in.relay(); r.DropToVM(); return func() { r.Heal(); r.CloseConns() } }},
	{"platformDown", func(in *injector) func() { return in.platform(fakes.Faults{Down: true}) }},
	{"platformSlow", func(in *injector) func() {
		return in.platform(fakes.Faults{Delay: config.Span(time.Duration(in.rnd.IntN(2500)) * time.Millisecond)})
	}},
	{"platformLosesAnswers", func(in *injector) func() { return in.platform(fakes.Faults{ResponseLossRate: in.rnd.Float64()}) }},
	{"engineCutsAnswers", func(in *injector) func() { return in.engine(fakes.Faults{DisconnectAfter: 1 + in.rnd.IntN(4)}) }},
	{"engineFails", func(in *injector) func() { return in.engine(fakes.Faults{FailureRate: in.rnd.Float64()}) }},
	{"engineDown", func(in *injector) func() { return in.engine(fakes.Faults{Down: true}) }},
	{"engineSlow", func(in *injector) func() { return in.engine(fakes.Faults{Slowdown: 10}) }},
	{"engineUnframed", func(in *injector) func() { return in.engine(fakes.Faults{Unframed: true}) }},
	{"engineCutsUnframed", func(in *injector) func() {
		return in.engine(fakes.Faults{Unframed: true, DisconnectAfter: 1 + in.rnd.IntN(4)})
	}},
	{"engineBrokenHead", func(in *injector) func() {
		list := broken.Answers()
		return in.engine(fakes.Faults{Raw: list[in.rnd.IntN(len(list))].Text(""), Reset: in.rnd.IntN(2) == 0})
	}},
	{"mostAtOneEntry", func(in *injector) func() {
		in.busiest.Store(int64(1 + in.rnd.IntN(len(in.f.Entries))))
		return func() { in.busiest.Store(0) }
	}},
	{"withdrawal", (*injector).withdraw},
	{"plannedStop", func(in *injector) func() { return in.stop(in.f.Guards[in.rnd.IntN(len(in.f.Guards))]) }},
}

// run injects faults until the deadline, one or two at a time.
func (in *injector) run(until time.Time) {
	for time.Now().Before(until) {
		var ends []func()
		for range 1 + in.rnd.IntN(2) {
			k := faultKinds[in.rnd.IntN(len(faultKinds))]
			in.counts[k.name]++
			ends = append(ends, k.begin(in))
		}
		time.Sleep(time.Duration(50+in.rnd.IntN(1200)) * time.Millisecond)
		for _, end := range ends {
			end()
		}
		time.Sleep(time.Duration(in.rnd.IntN(600)) * time.Millisecond)
	}
}

// kill kills a process and records the time; the returned function restarts the process.
func (in *injector) kill(n *rig.Node) func() {
	in.kills[n.VM.Role] = append(in.kills[n.VM.Role], time.Now())
	n.Kill()
	return func() { in.restart(n) }
}

// killedBetween reports whether a process of a role was killed between two
// times.
func (in *injector) killedBetween(role string, from, to time.Time) bool {
	for _, at := range in.kills[role] {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

// bothBillersKilled reports whether both writers of the bill line of an answer at t may have
// been lost: an entry killed by entryWriteTime, before it has surely written the line, and a
// guard killed by guardWriteTime, before it has surely written the line in the entry's place.
func (in *injector) bothBillersKilled(t time.Time) bool {
	const entryWriteTime, guardWriteTime = 2 * time.Second, 4 * time.Second
	return in.killedBetween(store.RoleEntry, t.Add(-time.Second), t.Add(entryWriteTime)) &&
		in.killedBetween(store.RoleEndpoint, t.Add(-time.Second), t.Add(guardWriteTime))
}

// restart starts the process of a VM unless it is running.
func (in *injector) restart(n *rig.Node) {
	if n.Running() {
		return
	}
	if err := n.Start(); err != nil {
		in.report("%s does not start: %v", n.VM.Name, err)
	}
}

// freeze freezes a process if it is running; the returned function thaws it.
func freeze(n *rig.Node) func() {
	if !n.Running() {
		return func() {}
	}
	n.Freeze()
	return func() {
		if n.Running() {
			n.Thaw()
		}
	}
}

// stop starts a planned stop while requests run. The returned function waits for its end and
// restarts the process.
func (in *injector) stop(n *rig.Node) func() {
	if !n.Running() {
		return func() {}
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = n.Stop(time.Now().Add(10 * time.Second))
	}()
	return func() {
		<-ended
		in.restart(n)
	}
}

// relay returns the relay of a random guard.
func (in *injector) relay() *rig.Relay {
	return in.f.Relays[in.f.Guards[in.rnd.IntN(len(in.f.Guards))].VM.Name]
}

// platform sets faults of the fake platform; the returned function ends them.
func (in *injector) platform(f fakes.Faults) func() {
	in.f.Objects.Set(f)
	return func() { in.f.Objects.Set(fakes.Faults{}) }
}

// engine sets faults of the engine or service of a random guard; the returned function ends
// them.
func (in *injector) engine(f fakes.Faults) func() {
	n := in.f.Guards[in.rnd.IntN(len(in.f.Guards))]
	if e := in.f.Engines[n.VM.Name]; e != nil {
		e.Set(f)
		return func() { e.Set(fakes.Faults{}) }
	}
	p := in.f.Services[n.VM.Name]
	p.Set(f)
	return func() { p.Set(fakes.Faults{}) }
}

// withdraw withdraws mapcore@1, or reinstates it if it is withdrawn. The function returned for
// a withdrawal waits until it is in force everywhere, and reports a violation if the version
// still gets new runs. It checks nothing if that takes over 3 s.
func (in *injector) withdraw() func() {
	in.withdrawn = !in.withdrawn
	text := settings
	if in.withdrawn {
		text = strings.Replace(settings, `"1": {pool: mapcore,`, `"1": {state: withdrawn, pool: mapcore,`, 1)
	}
	revision, err := in.f.Apply(text, "soak")
	if err != nil || !in.withdrawn {
		return func() {}
	}
	return func() {
		if in.f.WaitRevision(revision, time.Now().Add(3*time.Second)) != nil {
			return // A process is down or frozen.
		}
		time.Sleep(maxStartDelay)
		before := in.f.ModelRuns("mapcore@1")
		time.Sleep(300 * time.Millisecond)
		if after := in.f.ModelRuns("mapcore@1"); after != before {
			in.report("a withdrawn version got %d new runs", after-before)
		}
	}
}

// maxStartDelay is how long a run that was dispatched before a withdrawal may take to reach the
// engine.
const maxStartDelay = 100 * time.Millisecond

// endFaults ends the faults of the platform and the relays and restarts the processes that do
// not run.
func (in *injector) endFaults(ctx context.Context) {
	in.f.Objects.Set(fakes.Faults{})
	for _, r := range in.f.Relays {
		r.Heal()
	}
	for _, n := range in.f.Nodes() {
		if ctx.Err() == nil {
			in.restart(n)
		}
	}
}
