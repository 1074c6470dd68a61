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

// MixEntry is one kind of request in the mix of a load.
type MixEntry struct {
	// Name is the name of the entry's Result.
	Name string
	// Weight is the entry's share of the arrivals, relative to the other entries.
	Weight float64
	// NewRequest returns the request of the n-th arrival of the load, counted from 0 over all
	// entries.
	NewRequest func(n int) Request
}

// Load is an open-loop load: arrivals do not wait for answers.
type Load struct {
	// Callers send the requests, each drawn at random.
	Callers []*Caller
	// Mix lists the kinds of requests.
	Mix []MixEntry
	// ArrivalsPerSecond is the mean rate of arrivals, which are a Poisson process.
	ArrivalsPerSecond float64
	// Until is when arrivals end.
	Until time.Time
	// Seed seeds the arrival times and the choices of mix entry and caller.
	Seed uint64
	// MaxInFlight is the maximum number of requests in flight. Arrivals beyond it are dropped
	// and counted, so that a blocked system cannot exhaust the machine.
	MaxInFlight int
	// OnAnswer is called with the name of the mix entry and the result of Caller.Do for each
	// request sent, one call at a time; nil for none.
	OnAnswer func(name string, a Answer, err error)
}

// Result holds the measurements of a load for one entry of the mix.
type Result struct {
	Name string
	// Sent is the number of requests sent. Of these, Complete is the number of correct answers,
	// Invalid that of answers with an InvalidReason; the rest is in Errors. Dropped is the
	// number of arrivals dropped at MaxInFlight, which are not in Sent.
	Sent, Complete, Invalid, Dropped int64
	// Errors counts failed requests by ErrorName; "noAnswer" stands for requests with neither a
	// complete answer nor an error object, such as on a broken connection.
	Errors map[string]int64
	// First and Total are the times from sending to the first and to the last byte of the body
	// of complete answers, in microseconds.
	First, Total *hdrhistogram.Histogram
}

// Range in microseconds, and significant digits, of the histograms; the range ends at 10 minutes.
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

// Run sends requests until Until or until ctx is done, waits for all answers and returns a result
// for each entry of the mix, in its order.
func (l *Load) Run(ctx context.Context) []*Result {
	rnd := rand.New(rand.NewPCG(l.Seed, l.Seed))
	results := make([]*Result, len(l.Mix))
	for i, s := range l.Mix {
		results[i] = newResult(s.Name)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	inFlight := make(chan struct{}, max(l.MaxInFlight, 1))
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
		case inFlight <- struct{}{}:
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
			<-inFlight
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

// draw returns the index of a random entry of the mix, by weight.
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

// ErrorName returns the key of an error in Result.Errors, "kind/run state".
func ErrorName(e *fault.Error) string { return string(e.Kind) + "/" + string(e.Run) }

// Write writes the result as one line, with percentiles in milliseconds.
func (r *Result) Write(w io.Writer) {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	_, _ = fmt.Fprintf(w, "%-18s sent %6d whole %6d bad %d dropped %d first p50 %.2f p95 %.2f p99 %.2f total p50 %.2f p95 %.2f p99 %.2f errors %v\n",
		r.Name, r.Sent, r.Complete, r.Invalid, r.Dropped, ms(r.First, 50), ms(r.First, 95), ms(r.First, 99), ms(r.Total, 50), ms(r.Total, 95), ms(r.Total, 99), r.Errors)
}
