// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package gauge

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/traildrift/traildrift/internal/drive"
	"github.com/traildrift/traildrift/internal/fakes"
	"github.com/traildrift/traildrift/internal/rig"
	"github.com/traildrift/traildrift/pkg/config"
)

// gaugeKey is the API key of the workspace in settings.
const gaugeKey = "gauge-key"

// settings are the settings of the measured fleets.
var settings = `
models:
  m:
    versions:
      "1": {pool: m, cost: 1, quality: 0.9}
services:
  s: {pool: s}
values: {answerWithin: 30s, concurrency: 100000}
workspaces:
  w:
    keyHashes: ["` + config.APIKeyHash(gaugeKey) + `"]
    values: {allow: [m]}
    workloads:
      chat: {}
      once: {serves: s, values: {repeatable: false}}
`

// chatAsk returns the n-th chat request, for an answer of words tokens.
func chatAsk(n, words int, streamed bool, model string) drive.Request {
	return drive.Request{
		Chat: fakes.ChatRequest{
			Model:     model,
			Messages:  []fakes.Message{{Role: "user", Content: fmt.Sprintf("measure %d", n)}},
			MaxTokens: words,
			Stream:    streamed,
		},
		Deadline: time.Now().Add(30 * time.Second),
	}
}

// Path measures the latency that entry and guard add to a direct call to the fake engine in
// the same run, the rate of requests, the allocations and CPU time per request, and the memory
// of idle processes. It prints the results to out. The files of its fleet go into dir.
func Path(out io.Writer, dir string) error {
	f, err := rig.Start(rig.Options{
		Dir: dir, Zones: []string{"a"}, Entries: 1, Settings: settings, Seed: 1,
		Pools: []rig.Pool{{Name: "m", Kind: "engine", Endpoints: 1, Slots: 256, Waiting: 1024}},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := writeIdleMemory(out, f); err != nil {
		return err
	}
	measureLatency(out, f)
	return measureRates(out, f)
}

// writeIdleMemory prints the resident memory of each idle process.
func writeIdleMemory(out io.Writer, f *rig.Fleet) error {
	for _, n := range f.Nodes() {
		u, err := n.Usage()
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "idle %s: resident %.1f MB\n", n.VM.Name, megabytes(u.ResidentBytes))
	}
	return nil
}

// megabytes converts bytes to MiB.
func megabytes(n int64) float64 { return float64(n) / (1 << 20) }

// latencyRequests is the number of calls by which each latency is measured.
const latencyRequests = 3000

// measureLatency calls the engine directly and through entry and guard in turn, and prints the
// quantiles of both latencies and their differences.
func measureLatency(out io.Writer, f *rig.Fleet) {
	through := f.Caller(0, gaugeKey)
	direct := drive.NewCaller(f.EndpointAddr(f.Guards[0]), "")
	for _, streamed := range []bool{false, true} {
		var hs [2]*hdrhistogram.Histogram
		for i := range hs {
			hs[i] = hdrhistogram.New(1, 60_000_000, 3)
		}
		for n := range latencyRequests {
			for i, c := range []*drive.Caller{direct, through} {
				model := [2]string{"m@1", "chat"}[i]
				a, err := c.Do(chatAsk(n, 1, streamed, model))
				if err == nil && a.InvalidReason == "" && a.Err == nil {
					_ = hs[i].RecordValue(a.Done.Sub(a.Sent).Microseconds())
				}
			}
		}
		for i, name := range []string{"direct", "through entry and guard"} {
			_, _ = fmt.Fprintf(out, "latency %s, streamed %v: n %d p50 %d us p99 %d us\n", name, streamed, hs[i].TotalCount(), hs[i].ValueAtQuantile(50), hs[i].ValueAtQuantile(99))
		}
		_, _ = fmt.Fprintf(out, "added, streamed %v: p50 %d us p99 %d us\n", streamed,
			hs[1].ValueAtQuantile(50)-hs[0].ValueAtQuantile(50), hs[1].ValueAtQuantile(99)-hs[0].ValueAtQuantile(99))
	}
}

// runWorkers starts n workers, each of which sends one request after the other until the
// deadline, and returns the number of correct answers. Worker w sends requests w, w+n, w+2n.
func runWorkers(c *drive.Caller, n int, until time.Time, next func(i int) drive.Request) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	right := 0
	for w := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answered := 0
			for i := w; time.Now().Before(until); i += n {
				if a, err := c.Do(next(i)); err == nil && a.InvalidReason == "" && a.Err == nil {
					answered++
				}
			}
			mu.Lock()
			right += answered
			mu.Unlock()
		}()
	}
	wg.Wait()
	return right
}

// rateDuration is how long each rate is measured.
const rateDuration = 4 * time.Second

// measureRates prints the rate that 64 concurrent requests reach, for answers of 1 and of 100
// tokens, with the CPU time and allocations per request of each process.
func measureRates(out io.Writer, f *rig.Fleet) error {
	for _, shape := range []struct {
		name    string
		words   int
		workers int
	}{{"1 token", 1, 64}, {"100 tokens", 100, 64}} {
		before, err := usages(f)
		if err != nil {
			return err
		}
		start := time.Now()
		n := runWorkers(f.Caller(0, gaugeKey), shape.workers, start.Add(rateDuration), func(i int) drive.Request {
			return chatAsk(i, shape.words, true, "chat")
		})
		seconds := time.Since(start).Seconds()
		after, err := usages(f)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "rate, streamed, %s: %.0f requests/s\n", shape.name, float64(n)/seconds)
		for i, node := range f.Nodes() {
			cpu := after[i].CPU.Sub(before[i].CPU).Seconds()
			_, _ = fmt.Fprintf(out, "  %s: %.1f us of processor and %.0f allocations per request, resident %.1f MB\n", node.VM.Name,
				cpu/float64(n)*1e6, float64(after[i].Mallocs-before[i].Mallocs)/float64(n), megabytes(after[i].ResidentBytes))
		}
	}
	return nil
}

// usages reads the usage of every process, in the order of Fleet.Nodes.
func usages(f *rig.Fleet) ([]rig.Usage, error) {
	var out []rig.Usage
	for _, n := range f.Nodes() {
		u, err := n.Usage()
		if err != nil {
			return nil, err
		}
		out = append(out, u)
	}
	return out, nil
}
