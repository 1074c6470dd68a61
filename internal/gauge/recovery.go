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

// recoveryRate is the rate of requests during the steps of Recovery, in requests/s.
const recoveryRate = 200

// answerCounts counts the answers of a step.
type answerCounts struct {
	mu sync.Mutex
	// count counts the answers that were not whole, by kind, and last is the time at which
	// the last of them was received; zero if there was none.
	count map[string]int
	last  time.Time
	// whole counts the whole answers.
	whole int
	// late counts the whole answers that took longer than lateThreshold, and maxSeconds is
	// the longest time that a whole answer took, in seconds.
	late       int
	maxSeconds float64
}

// lateThreshold is the latency above which an answer counts as late. Without a fault answers
// take a few milliseconds.
const lateThreshold = 250 * time.Millisecond

// add counts one answer.
func (f *answerCounts) add(_ string, a drive.Answer, err error) {
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
		f.maxSeconds = max(f.maxSeconds, took.Seconds())
		if took > lateThreshold {
			f.late++
		}
		return
	}
	f.last = time.Now()
}

// reset returns the counts since the last call and sets them to zero.
func (f *answerCounts) reset() *answerCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := &answerCounts{count: maps.Clone(f.count), whole: f.whole, last: f.last, late: f.late, maxSeconds: f.maxSeconds}
	clear(f.count)
	f.whole, f.last, f.late, f.maxSeconds = 0, time.Time{}, 0, 0
	return out
}

// Recovery kills, freezes and stops one process after the other under load. For each step it
// prints the numbers of whole, late and failed answers and the time until the last failure.
// All callers use the two entries that are not killed, as a load balancer moves the callers of
// a killed entry to the others. The files of its fleet go into dir.
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
		Callers: []*drive.Caller{f.Caller(1, gaugeKey), f.Caller(2, gaugeKey)}, ArrivalsPerSecond: recoveryRate, Seed: 1, MaxInFlight: 2000, OnAnswer: seen.add,
		Mix: []drive.MixEntry{
			{Name: "chat", Weight: 1, NewRequest: func(int) drive.Request { n++; return chatAsk(n, 5, true, "chat") }},
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

// stepDuration is the length of each step, of which the first second is not counted. It also
// bounds a planned stop.
const stepDuration = 8 * time.Second

// outageDuration is how long a process stays killed or frozen.
const outageDuration = 2 * time.Second

// killAndRestart returns a step that kills a process and restarts it after outageDuration.
func killAndRestart(ctx context.Context, n *rig.Node) func() error {
	return func() error {
		n.Kill()
		tasks.Pause(ctx, time.Now().Add(outageDuration))
		return n.Start()
	}
}

// freezeAndThaw returns a step that freezes a process for outageDuration.
func freezeAndThaw(ctx context.Context, n *rig.Node) func() error {
	return func() error {
		n.Freeze()
		tasks.Pause(ctx, time.Now().Add(outageDuration))
		n.Thaw()
		return nil
	}
}

// stopAndRestart returns a step that stops a process as planned and restarts it.
func stopAndRestart(n *rig.Node) func() error {
	return func() error {
		if err := n.Stop(time.Now().Add(stepDuration)); err != nil {
			return err
		}
		return n.Start()
	}
}
