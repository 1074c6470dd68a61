// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package gauge

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/traildrift/traildrift/internal/drive"
	"github.com/traildrift/traildrift/internal/rig"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/config"
)

// Capacity measures the slopes from which docs/CAPACITY.md is computed and prints them to out:
// the use of idle processes by links, entries and settings nodes, and CPU time by request rate.
// The files of its fleets go into subfolders of dir.
func Capacity(ctx context.Context, out io.Writer, dir string) error {
	steps := []func(context.Context, io.Writer, string) error{idleByLinks, idleByEntries, cpuByRate, memoryByNodes}
	for i, step := range steps {
		sub := filepath.Join(dir, fmt.Sprint(i))
		if err := os.Mkdir(sub, 0o700); err != nil {
			return err
		}
		if err := step(ctx, out, sub); err != nil {
			return err
		}
	}
	return nil
}

// settleDuration is how long a fleet is idle before an idle measurement, and measureDuration
// how long each measurement takes.
const (
	settleDuration  = 3 * time.Second
	measureDuration = 10 * time.Second
)

// idleUse is the mean resource use of the idle processes of one role.
type idleUse struct {
	// cpu is in cores, bytes and messages are those of links per second, and resident is the
	// resident memory in MiB.
	cpu, bytes, messages, resident float64
}

// measureIdle measures an idle fleet. It returns the use by role and the platform's calls per
// second by kind.
func measureIdle(ctx context.Context, f *rig.Fleet) (entry, guard idleUse, calls map[string]float64, err error) {
	tasks.Pause(ctx, time.Now().Add(settleDuration))
	before, err := usages(f)
	if err != nil {
		return
	}
	callsBefore, _ := f.Objects.Calls()
	start := time.Now()
	tasks.Pause(ctx, time.Now().Add(measureDuration))
	after, err := usages(f)
	if err != nil {
		return
	}
	seconds := time.Since(start).Seconds()
	callsAfter, _ := f.Objects.Calls()
	calls = make(map[string]float64)
	for k, n := range callsAfter {
		calls[k] = float64(n-callsBefore[k]) / seconds
	}
	for i := range after {
		q := &guard
		n := float64(len(f.Guards))
		if i < len(f.Entries) {
			q, n = &entry, float64(len(f.Entries))
		}
		q.cpu += after[i].CPU.Sub(before[i].CPU).Seconds() / seconds / n
		q.bytes += float64(after[i].LinkBytes-before[i].LinkBytes) / seconds / n
		q.messages += float64(after[i].LinkMessages-before[i].LinkMessages) / seconds / n
		q.resident += megabytes(after[i].ResidentBytes) / n
	}
	return
}

// startFleet starts a fleet with one pool of engines and the settings text, in which every entry
// links to every guard.
func startFleet(dir string, entries, guards int, text string) (*rig.Fleet, error) {
	return rig.Start(rig.Options{
		Dir: dir, Zones: []string{"a", "b", "c"}, Entries: entries, Settings: text, Seed: 1,
		EntrySettings: "linksPerPool: 1000\n",
		Pools:         []rig.Pool{{Name: "m", Kind: "engine", Endpoints: guards, Slots: 64, Waiting: 256}},
	})
}

// subdir creates the subfolder of dir for the fleet of size n.
func subdir(dir string, n int) (string, error) {
	sub := filepath.Join(dir, fmt.Sprint(n))
	return sub, os.Mkdir(sub, 0o700)
}

// idleByLinks measures an idle entry as a function of its number of links, and prints the use
// of an idle guard beside it.
func idleByLinks(ctx context.Context, out io.Writer, dir string) error {
	var cpu, bytes, messages, resident []Point
	for _, n := range []int{4, 16, 48, 96} {
		sub, err := subdir(dir, n)
		if err != nil {
			return err
		}
		f, err := startFleet(sub, 1, n, settings)
		if err != nil {
			return err
		}
		e, g, calls, err := measureIdle(ctx, f)
		f.Close()
		if err != nil {
			return err
		}
		x := float64(n)
		cpu = append(cpu, Point{x, e.cpu * 100})
		bytes = append(bytes, Point{x, e.bytes})
		messages = append(messages, Point{x, e.messages})
		resident = append(resident, Point{x, e.resident})
		_, _ = fmt.Fprintf(out, "1 entry, %d guards: guard %.3f%% of a core, %.0f bytes/s, %.1f messages/s, %.1f MB; platform calls/s %v\n", n, g.cpu*100, g.bytes, g.messages, g.resident, calls)
	}
	writeFit(out, "idle entry", "link", "% of a core", cpu)
	writeFit(out, "idle entry", "link", "bytes/s", bytes)
	writeFit(out, "idle entry", "link", "messages/s", messages)
	writeFit(out, "idle entry", "link", "MB", resident)
	return nil
}

// idleByEntries measures an idle guard, the platform's calls and the time until a change is in
// force as functions of the number of entries.
func idleByEntries(ctx context.Context, out io.Writer, dir string) error {
	var cpu, bytes, resident, lists []Point
	for _, n := range []int{2, 8, 24, 48} {
		sub, err := subdir(dir, n)
		if err != nil {
			return err
		}
		f, err := startFleet(sub, n, 4, settings)
		if err != nil {
			return err
		}
		_, g, calls, err := measureIdle(ctx, f)
		if err == nil {
			err = measurePropagation(out, f, n+4)
		}
		f.Close()
		if err != nil {
			return err
		}
		x := float64(n)
		cpu = append(cpu, Point{x, g.cpu * 100})
		bytes = append(bytes, Point{x, g.bytes})
		resident = append(resident, Point{x, g.resident})
		lists = append(lists, Point{x, calls["vms"]})
		_, _ = fmt.Fprintf(out, "%d entries, 4 guards: platform calls/s %v\n", n, calls)
	}
	writeFit(out, "idle guard", "link", "% of a core", cpu)
	writeFit(out, "idle guard", "link", "bytes/s", bytes)
	writeFit(out, "idle guard", "link", "MB", resident)
	writeFit(out, "platform", "entry", "VM list reads/s", lists)
	return nil
}

// changesMeasured is the number of changes that measurePropagation applies.
const changesMeasured = 15

// measurePropagation prints the mean and the longest time from the acceptance of a change of
// the settings until it is in force in the last process.
func measurePropagation(out io.Writer, f *rig.Fleet, processes int) error {
	var sum, worst float64
	for i := range changesMeasured {
		text := strings.Replace(settings, "answerWithin: 30s", fmt.Sprintf("answerWithin: %ds", 31+i), 1)
		revision, err := f.Apply(text, "gauge")
		if err != nil {
			return err
		}
		start := time.Now()
		if err := f.WaitRevision(revision, start.Add(20*time.Second)); err != nil {
			return err
		}
		s := time.Since(start).Seconds()
		sum += s
		worst = max(worst, s)
	}
	_, _ = fmt.Fprintf(out, "change in force in the last of %d processes: mean %.3f s, worst %.3f s of %d\n", processes, sum/changesMeasured, worst, changesMeasured)
	return nil
}

// cpuByRate measures the CPU time of an entry and a guard as a function of the request rate,
// for answers of 1 and of 100 tokens.
func cpuByRate(ctx context.Context, out io.Writer, dir string) error {
	f, err := startFleet(dir, 1, 1, settings)
	if err != nil {
		return err
	}
	defer f.Close()
	for _, words := range []int{1, 100} {
		var cpu [2][]Point
		for _, perSecond := range []float64{50, 150, 450} {
			ps, err := measureLoad(ctx, out, f, perSecond, words)
			if err != nil {
				return err
			}
			for i := range cpu {
				cpu[i] = append(cpu[i], ps[i])
			}
		}
		writeFit(out, fmt.Sprintf("entry, %d tokens a request", words), "request/s", "% of a core", cpu[0])
		writeFit(out, fmt.Sprintf("guard, %d tokens a request", words), "request/s", "% of a core", cpu[1])
	}
	return nil
}

// measureLoad sends requests at a rate and returns the points of the entry and of the guard:
// requests sent per second, and CPU time in percent of a core.
func measureLoad(ctx context.Context, out io.Writer, f *rig.Fleet, perSecond float64, words int) ([2]Point, error) {
	var ps [2]Point
	before, err := usages(f)
	if err != nil {
		return ps, err
	}
	start := time.Now()
	l := drive.Load{
		Callers:           []*drive.Caller{f.Caller(0, gaugeKey)},
		Mix:               []drive.MixEntry{{Name: fmt.Sprintf("%d tokens", words), Weight: 1, NewRequest: func(n int) drive.Request { return chatAsk(n, words, true, "chat") }}},
		ArrivalsPerSecond: perSecond, Until: start.Add(measureDuration), Seed: 1, MaxInFlight: 2000,
	}
	results := l.Run(ctx)
	seconds := time.Since(start).Seconds()
	after, err := usages(f)
	if err != nil {
		return ps, err
	}
	for i := range ps {
		ps[i] = Point{float64(results[0].Sent) / seconds, after[i].CPU.Sub(before[i].CPU).Seconds() / seconds * 100}
	}
	results[0].Write(out)
	return ps, nil
}

// memoryByNodes measures the memory of an idle entry as a function of the number of nodes of
// the settings.
func memoryByNodes(ctx context.Context, out io.Writer, dir string) error {
	var resident []Point
	for _, n := range []int{10, 400, 1600} {
		sub, err := subdir(dir, n)
		if err != nil {
			return err
		}
		f, err := startFleet(sub, 1, 1, settingsOfNodes(n))
		if err != nil {
			return err
		}
		e, g, _, err := measureIdle(ctx, f)
		f.Close()
		if err != nil {
			return err
		}
		resident = append(resident, Point{float64(n), e.resident})
		_, _ = fmt.Fprintf(out, "%d nodes: entry %.1f MB, guard %.1f MB\n", n, e.resident, g.resident)
	}
	writeFit(out, "idle entry", "settings node", "MB", resident)
	return nil
}

// settingsOfNodes returns settings with about n nodes, as YAML.
func settingsOfNodes(n int) string {
	var b strings.Builder
	b.WriteString(strings.TrimRight(settings, "\n") + "\n")
	for w := 0; w*10 < n; w++ {
		_, _ = fmt.Fprintf(&b, "  w%d:\n    keyHashes: [%q]\n    values: {allow: [m]}\n    workloads:\n", w, config.APIKeyHash(fmt.Sprint(w)))
		for l := range 9 {
			_, _ = fmt.Fprintf(&b, "      l%d: {values: {qualityTarget: 0.%d}}\n", l, l)
		}
	}
	return b.String()
}
