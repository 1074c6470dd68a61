// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package gauge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/traildrift/traildrift/internal/drive"
	"github.com/traildrift/traildrift/internal/fakes"
	"github.com/traildrift/traildrift/internal/rig"
	"github.com/traildrift/traildrift/pkg/config"
)

// platformDelay is the delay that the fake platform adds to each call, as a real platform takes
// milliseconds to answer.
const platformDelay = config.Span(3 * time.Millisecond)

// claimRates are the measured rates of requests that may not be repeated, in requests/s.
var claimRates = []float64{1, 10, 100, 400}

// Claims measures the latency of requests that may not be repeated, without a key, with a
// ticket and with the caller's own key, and the platform calls and bytes that they cause. It
// prints the results to out. The files of its fleets go into subfolders of dir.
func Claims(ctx context.Context, out io.Writer, dir string) error {
	for _, kind := range []string{"no key", "ticket", "own key"} {
		sub := filepath.Join(dir, kind)
		if err := os.Mkdir(sub, 0o700); err != nil {
			return err
		}
		f, err := rig.Start(rig.Options{
			Dir: sub, Zones: []string{"a", "b"}, Entries: 4, Settings: settings, Seed: 1,
			Pools: []rig.Pool{{Name: "s", Kind: "service", Endpoints: 2, Slots: 64, Waiting: 256, ServiceTime: config.Span(time.Millisecond)}},
		})
		if err != nil {
			return err
		}
		f.Objects.Set(fakes.Faults{Delay: platformDelay})
		for _, perSecond := range claimRates {
			measureClaims(ctx, out, f, kind, perSecond)
		}
		f.Close()
	}
	return nil
}

// measureClaims sends requests with one kind of key at one rate and prints the result. With
// tickets the measurement begins once all tickets have been issued.
func measureClaims(ctx context.Context, out io.Writer, f *rig.Fleet, kind string, perSecond float64) {
	var callers []*drive.Caller
	for i := range f.Entries {
		callers = append(callers, f.Caller(i, gaugeKey))
	}
	until := time.Now().Add(measureDuration)
	keys := keySource(callers, kind, int(perSecond*measureDuration.Seconds()*3/2)+20)
	before, bytesBefore := f.Objects.Calls()
	start := time.Now()
	l := drive.Load{
		Callers: callers, ArrivalsPerSecond: perSecond, Until: until, Seed: uint64(perSecond), MaxInFlight: 2000,
		Mix: []drive.MixEntry{{Name: fmt.Sprintf("%s, %g/s", kind, perSecond), Weight: 1, NewRequest: func(n int) drive.Request {
			a := drive.Request{Path: "/svc/once/lodge", Body: fmt.Sprintf("%s %g %d", kind, perSecond, n), Header: map[string]string{}, Deadline: time.Now().Add(20 * time.Second)}
			if kind != "no key" {
				a.Header["Idempotency-Key"] = keys(n)
			}
			return a
		}}},
	}
	if kind == "ticket" {
		l.Until = time.Now().Add(measureDuration)
		start = time.Now()
	}
	results := l.Run(ctx)
	seconds := time.Since(start).Seconds()
	after, bytesAfter := f.Objects.Calls()
	results[0].Write(out)
	n := float64(results[0].Sent)
	_, _ = fmt.Fprintf(out, "  platform: puts/s %.2f gets/s %.2f lists/s %.2f, puts per request %.3f, bytes per request %.0f\n",
		float64(after["put"]-before["put"])/seconds, float64(after["get"]-before["get"])/seconds, float64(after["list"]-before["list"])/seconds,
		float64(after["put"]-before["put"])/n, float64(bytesAfter-bytesBefore)/n)
}

// keySource returns a function that returns the key of the n-th request. Tickets, count of
// them, are requested beforehand and reused after count requests.
func keySource(callers []*drive.Caller, kind string, count int) func(n int) string {
	if kind != "ticket" {
		run := time.Now().UnixNano()
		return func(n int) string { return fmt.Sprintf("%d-%d", run, n) }
	}
	tickets := make([]string, count)
	for i := range tickets {
		a, err := callers[i%len(callers)].Do(drive.Request{Path: "/v1/tickets", Deadline: time.Now().Add(10 * time.Second)})
		var t struct {
			Ticket string `json:"ticket"`
		}
		if err == nil && json.Unmarshal(a.Body, &t) == nil {
			tickets[i] = t.Ticket
		}
	}
	return func(n int) string { return tickets[n%count] }
}
