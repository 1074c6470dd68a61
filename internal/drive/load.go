// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package drive

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/traildrift/traildrift/pkg/fault"
)

// MixEntry is one kind of request in a mix.
type MixEntry struct {
	Name string
	// Weight is the share of the arrivals, relative to the others.
	Weight float64
	// NewRequest returns the n-th request of the run.
	NewRequest func(n int) Request
}

// Load is an open-loop run: arrivals do not wait for answers.
type Load struct {
	Callers []*Caller
	Mix     []MixEntry
	// ArrivalsPerSecond is the arrival rate; arrivals are a Poisson process.
	ArrivalsPerSecond float64
	// Until ends the arrivals.
	Until time.Time
	// Seed drives arrivals and the mix.
	Seed uint64
	// MaxInFlight bounds the requests under way; beyond it arrivals are dropped and
	// counted, so that a stuck system cannot exhaust the machine.
	MaxInFlight int
	// OnAnswer hears of every answer; it may be nil.
	OnAnswer func(share string, a Answer, err error)
}

// Result is what a run measured for one kind of request.
type Result struct {
	Name                             string
	Sent, Complete, Invalid, Dropped int64
	// Errors counts failures by kind and run state; "noAnswer" for broken
	// connections.
	Errors map[string]int64
	// First and Total are in microseconds.
	First, Total *hdrhistogram.Histogram
}

const (
	minMicros         = 1
	maxMicros         = 600_000_000
	significantDigits = 3
)

func newResult(name string) *Result {
	return &Result{
		Name:   name,
		Errors: make(map[string]int64),
		First:  hdrhistogram.New(minMicros, maxMicros, significantDigits),
		Total:  hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

// Run sends the load and returns a result for each share of the mix.
func (l *Load) Run(ctx context.Context) []*Result {
	rnd := rand.New(rand.NewPCG(l.Seed, l.Seed))
	results := make([]*Result, len(l.Mix))
	for i, s := range l.Mix {
		results[i] = newResult(s.Name)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	under := make(chan struct{}, max(l.MaxInFlight, 1))
	at := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		at = at.Add(time.Duration(rnd.ExpFloat64() / l.ArrivalsPerSecond * float64(time.Second)))
		if at.After(l.Until) {
			break
		}
		time.Sleep(time.Until(at))
		i := l.draw(rnd)
		caller := l.Callers[rnd.IntN(len(l.Callers))]
		select {
		case under <- struct{}{}:
		default:
			mu.Lock()
			results[i].Dropped++
			mu.Unlock()
			continue
		}
		ask := l.Mix[i].NewRequest(n)
		wg.Add(1)
		go func() {
			defer wg.Done()
			a, err := caller.Do(ask)
			<-under
			mu.Lock()
			defer mu.Unlock()
			results[i].add(a, err)
			if l.OnAnswer != nil {
				l.OnAnswer(l.Mix[i].Name, a, err)
			}
		}()
	}
	wg.Wait()
	return results
}

func (l *Load) draw(rnd *rand.Rand) int {
	sum := 0.0
	for _, s := range l.Mix {
		sum += s.Weight
	}
	x := rnd.Float64() * sum
	for i, s := range l.Mix {
		x -= s.Weight
		if x < 0 {
			return i
		}
	}
	return len(l.Mix) - 1
}

func (r *Result) add(a Answer, err error) {
	r.Sent++
	switch {
	case a.Err != nil:
		r.Errors[ErrorName(a.Err)]++
	case err != nil:
		r.Errors["noAnswer"]++
	case a.InvalidReason != "":
		r.Invalid++
	default:
		r.Complete++
		_ = r.First.RecordValue(a.First.Sub(a.Sent).Microseconds())
		_ = r.Total.RecordValue(a.Done.Sub(a.Sent).Microseconds())
	}
}

// ErrorName names a failure by kind and run state.
func ErrorName(e *fault.Error) string { return string(e.Kind) + "/" + string(e.Run) }

// Write prints a result in one line, times in milliseconds.
func (r *Result) Write(w io.Writer) {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	_, _ = fmt.Fprintf(w, "%-18s sent %6d whole %6d bad %d dropped %d first p50 %.2f p95 %.2f p99 %.2f total p50 %.2f p95 %.2f p99 %.2f errors %v\n",
		r.Name, r.Sent, r.Complete, r.Invalid, r.Dropped, ms(r.First, 50), ms(r.First, 95), ms(r.First, 99), ms(r.Total, 50), ms(r.Total, 95), ms(r.Total, 99), r.Errors)
}
