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

// answerCounts gathers answers that were not whole, and when the last one came.
type answerCounts struct {
	mu    sync.Mutex
	count map[string]int
	last  time.Time
	whole int
	// late counts whole answers that took longer than lateAfter, slowest is
	// the longest that one took, in seconds.
	late       int
	maxSeconds float64
}

// lateThreshold is when an answer counts as late; without a fault they take a few
// milliseconds.
const lateThreshold = 250 * time.Millisecond

func (f *answerCounts) add(_ string, a drive.Answer, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case a.Err != nil:
		f.count[drive.ErrorName(a.Err)]++
	case err != nil:
		f.count["noAnswer"]++
	case a.Bad != "":
		f.count[a.Bad]++
	default:
		f.whole++
		took := a.Done.Sub(a.Sent)
		f.maxSeconds = max(f.maxSeconds, took.Seconds())
		if took > lateThreshold {
			f.late++
		}
		return
	}
	f.last = time.Now()
}

// reset returns what was gathered since the last call.
func (f *answerCounts) reset() *answerCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := &answerCounts{count: maps.Clone(f.count), whole: f.whole, last: f.last, late: f.late, maxSeconds: f.maxSeconds}
	clear(f.count)
	f.whole, f.last, f.late, f.maxSeconds = 0, time.Time{}, 0, 0
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
	seen := &answerCounts{count: make(map[string]int)}
	n := 0
	l := drive.Load{
		Callers: []*drive.Caller{f.Caller(1, gaugeKey), f.Caller(2, gaugeKey)}, PerSecond: recoveryRate, Seed: 1, Most: 2000, OnAnswer: seen.add,
		Mix: []drive.Share{
			{Name: "chat", Weight: 1, Make: func(int) drive.Ask { n++; return chatAsk(n, 5, true, "chat") }},
			{Name: "note", Weight: 1, Make: func(int) drive.Ask {
				n++
				return drive.Ask{Path: "/svc/once/lodge", Body: fmt.Sprint("note ", n), Deadline: time.Now().Add(30 * time.Second)}
			}},
		},
	}
	steps := []struct {
		name string
		do   func() error
	}{
		{"nothing", func() error { return nil }},
		{"engine's guard killed, back after 2 s", killAndRestart(ctx, f.Guards[0])},
		{"service's guard killed, back after 2 s", killAndRestart(ctx, f.Guards[3])},
		{"engine's guard frozen for 2 s", freezeAndThaw(ctx, f.Guards[1])},
		{"engine's guard stopped as planned, back after", stopAndRestart(f.Guards[2])},
		{"another entry killed, back after 2 s", killAndRestart(ctx, f.Entries[0])},
	}
	l.Until = time.Now().Add(time.Duration(len(steps)) * stepDuration)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run(ctx)
	}()
	for _, s := range steps {
		tasks.Pause(ctx, time.Now().Add(time.Second))
		seen.reset()
		start := time.Now()
		if err := s.do(); err != nil {
			return err
		}
		tasks.Pause(ctx, time.Now().Add(stepDuration-time.Since(start)-time.Second))
		got := seen.reset()
		noticed := time.Duration(0)
		if !got.last.IsZero() {
			noticed = got.last.Sub(start)
		}
		_, _ = fmt.Fprintf(out, "%s: whole %d, late %d, slowest %.3f s, failed %v, last failure after %.2f s\n", s.name, got.whole, got.late, got.maxSeconds, got.count, noticed.Seconds())
	}
	<-ended
	for body, times := range f.ServiceCalls() {
		if times > 1 {
			_, _ = fmt.Fprintf(out, "%q ran %d times\n", body, times)
		}
	}
	return nil
}

// stepDuration is how long each step is watched.
const stepDuration = 8 * time.Second

// outageDuration is how long a process is killed or frozen.
const outageDuration = 2 * time.Second

func killAndRestart(ctx context.Context, n *rig.Node) func() error {
	return func() error {
		n.Kill()
		tasks.Pause(ctx, time.Now().Add(outageDuration))
		return n.Start()
	}
}

func freezeAndThaw(ctx context.Context, n *rig.Node) func() error {
	return func() error {
		n.Freeze()
		tasks.Pause(ctx, time.Now().Add(outageDuration))
		n.Thaw()
		return nil
	}
}

func stopAndRestart(n *rig.Node) func() error {
	return func() error {
		if err := n.Stop(time.Now().Add(stepDuration)); err != nil {
			return err
		}
		return n.Start()
	}
}
