// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package gauge

import (
	"context"
	"fmt"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/traildrift/traildrift/internal/drive"
	"github.com/traildrift/traildrift/internal/rig"
	"github.com/traildrift/traildrift/internal/tasks"
)

// recoveryRate is the rate of requests while processes are killed, a second.
const recoveryRate = 200

// failures gathers answers that were not whole, and when the last one came.
type failures struct {
	mu    sync.Mutex
	count map[string]int
	last  time.Time
	whole int
	// late counts whole answers that took longer than lateAfter, slowest is
	// the longest that one took, in seconds.
	late    int
	slowest float64
}

// lateAfter is when an answer counts as late; without a fault they take a few
// milliseconds.
const lateAfter = 250 * time.Millisecond

func (f *failures) add(_ string, a drive.Answer, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case a.Err != nil:
		f.count[drive.ErrorName(a.Err)]++
	case err != nil:
		f.count["noAnswer"]++
	case a.InvalidReason != "":
		f.count[a.InvalidReason]++
	default:
		f.whole++
		took := a.Done.Sub(a.Sent)
		f.slowest = max(f.slowest, took.Seconds())
		if took > lateAfter {
			f.late++
		}
		return
	}
	f.last = time.Now()
}

// take returns what was gathered since the last call.
func (f *failures) take() *failures {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := &failures{count: maps.Clone(f.count), whole: f.whole, last: f.last, late: f.late, slowest: f.slowest}
	clear(f.count)
	f.whole, f.last, f.late, f.slowest = 0, time.Time{}, 0, 0
	return out
}

// Recovery kills, freezes and stops one process after the other under load, and
// measures what callers notice: failed answers, and the time to the last one.
// Callers of a killed entry move to the others, as a balancer makes them.
func Recovery(ctx context.Context, out io.Writer, dir string) error {
	f, err := rig.Start(rig.Options{
		Dir: dir, Zones: []string{"a", "b", "c"}, Entries: 3, Settings: settings, Seed: 1,
		Pools: []rig.Pool{
			{Name: "m", Kind: "engine", Endpoints: 3, Slots: 64, Waiting: 256},
			{Name: "s", Kind: "service", Endpoints: 3, Slots: 64, Waiting: 256},
		},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	seen := &failures{count: make(map[string]int)}
	n := 0
	l := drive.Load{
		Callers: []*drive.Caller{f.Caller(1, gaugeKey), f.Caller(2, gaugeKey)}, ArrivalsPerSecond: recoveryRate, Seed: 1, MaxInFlight: 2000, OnAnswer: seen.add,
		Mix: []drive.MixEntry{
			{Name: "chat", Weight: 1, NewRequest: func(int) drive.Request { n++; return ask(n, 5, true, "chat") }},
			{Name: "note", Weight: 1, NewRequest: func(int) drive.Request {
				n++
				return drive.Request{Path: "/svc/once/lodge", Body: fmt.Sprint("note ", n), Deadline: time.Now().Add(30 * time.Second)}
			}},
		},
	}
	steps := []struct {
		name string
		do   func() error
	}{
		{"nothing", func() error { return nil }},
		{"engine's guard killed, back after 2 s", killed(ctx, f.Guards[0])},
		{"service's guard killed, back after 2 s", killed(ctx, f.Guards[3])},
		{"engine's guard frozen for 2 s", frozen(ctx, f.Guards[1])},
		{"engine's guard stopped as planned, back after", stopped(f.Guards[2])},
		{"another entry killed, back after 2 s", killed(ctx, f.Entries[0])},
	}
	l.Until = time.Now().Add(time.Duration(len(steps)) * recoveryStep)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run(ctx)
	}()
	for _, s := range steps {
		tasks.Pause(ctx, time.Now().Add(time.Second))
		seen.take()
		start := time.Now()
		if err := s.do(); err != nil {
			return err
		}
		tasks.Pause(ctx, time.Now().Add(recoveryStep-time.Since(start)-time.Second))
		got := seen.take()
		noticed := time.Duration(0)
		if !got.last.IsZero() {
			noticed = got.last.Sub(start)
		}
		_, _ = fmt.Fprintf(out, "%s: whole %d, late %d, slowest %.3f s, failed %v, last failure after %.2f s\n", s.name, got.whole, got.late, got.slowest, got.count, noticed.Seconds())
	}
	<-ended
	for body, times := range f.Bodies() {
		if times > 1 {
			_, _ = fmt.Fprintf(out, "%q ran %d times\n", body, times)
		}
	}
	return nil
}

// recoveryStep is how long each step is watched.
const recoveryStep = 8 * time.Second

// awayFor is how long a process is killed or frozen.
const awayFor = 2 * time.Second

func killed(ctx context.Context, n *rig.Node) func() error {
	return func() error {
		n.Kill()
		tasks.Pause(ctx, time.Now().Add(awayFor))
		return n.Start()
	}
}

func frozen(ctx context.Context, n *rig.Node) func() error {
	return func() error {
		n.Freeze()
		tasks.Pause(ctx, time.Now().Add(awayFor))
		n.Thaw()
		return nil
	}
}

func stopped(n *rig.Node) func() error {
	return func() error {
		if err := n.Stop(time.Now().Add(recoveryStep)); err != nil {
			return err
		}
		return n.Start()
	}
}
