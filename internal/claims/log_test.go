// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/assert"
	"github.com/traildrift/traildrift/internal/fakes"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/claim"
	"github.com/traildrift/traildrift/pkg/config"
)

func init() { assert.SetFatal() }

// startObjects serves a stand-in platform until the test ends.
func startObjects(t testing.TB, seed uint64) (*fakes.Objects, netip.AddrPort) {
	t.Helper()
	o := fakes.NewObjects(seed)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := fakes.Serve(ln, o.Handle)
	t.Cleanup(func() { _ = s.Close() })
	return o, ln.Addr().(*net.TCPAddr).AddrPort()
}

// startLog runs a log as one entry would, until the test ends.
func startLog(t testing.TB, addr netip.AddrPort) *Log {
	t.Helper()
	c := store.New(addr)
	l := New(zap.NewNop(), c)
	ctx, cancel := context.WithCancel(context.Background())
	var g tasks.Group
	for n := range Buckets {
		g.Go(ctx, "bucket", func(ctx context.Context) error { return l.Run(ctx, n) })
	}
	t.Cleanup(func() {
		cancel()
		c.Close()
		g.Wait(nil)
	})
	return l
}

// won gathers which run won each key, over all claimants.
type won struct {
	mu sync.Mutex
	// by holds the run that each claimant was told has the key.
	by map[string]map[string]bool
	// sure counts the claims that were told to have won.
	sure map[string]int
}

func (w *won) add(key, run, holder string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.by[key] == nil {
		w.by[key] = make(map[string]bool)
	}
	w.by[key][holder] = true
	if holder == run {
		w.sure[key]++
	}
}

// TestOneWinner races four entries that all believe they own every bucket, for
// the same keys, while the platform loses answers, slows down and goes down.
// Every claimant that hears of a winner hears of the same one, one run wins at
// most, and a claim said not to be written is not in the log at the end.
func TestOneWinner(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { raceForKeys(t, seed) })
	}
}

const (
	racers   = 4
	racedFor = 60
)

func raceForKeys(t *testing.T, seed uint64) {
	o, addr := startObjects(t, seed)
	w := &won{by: make(map[string]map[string]bool), sure: make(map[string]int)}
	var notWritten sync.Map
	var wg sync.WaitGroup
	for racer := range racers {
		l := startLog(t, addr)
		rnd := rand.New(rand.NewPCG(seed, uint64(racer)))
		for i := range racedFor {
			wg.Add(1)
			key := KeyOf("w", fmt.Sprint(rnd.IntN(racedFor/2)))
			run := fmt.Sprintf("%d-%d", racer, i)
			wait := time.Duration(rnd.IntN(300)) * time.Millisecond
			go func() {
				defer wg.Done()
				time.Sleep(wait)
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				held, err := l.Claim(ctx, claim.Record{Key: key, Run: run})
				switch {
				case err == nil:
					w.add(key, run, held.Run)
				case errors.Is(err, ErrNotWritten):
					notWritten.Store(run, key)
				}
			}()
		}
	}
	drawFaults(o, rand.New(rand.NewPCG(seed, 99)))
	wg.Wait()
	checkRace(t, addr, w, &notWritten)
}

// drawFaults puts faults in force one after the other.
func drawFaults(o *fakes.Objects, rnd *rand.Rand) {
	for range 8 {
		o.Set(fakes.Faults{
			LoseAnswers: float64(rnd.IntN(3)) / 4,
			Down:        rnd.IntN(4) == 0,
			Delay:       config.Span(rnd.IntN(3)) * config.Span(10*time.Millisecond),
		})
		time.Sleep(50 * time.Millisecond)
	}
	o.Set(fakes.Faults{})
}

func checkRace(t *testing.T, addr netip.AddrPort, w *won, notWritten *sync.Map) {
	l := startLog(t, addr)
	if len(w.by) == 0 {
		t.Fatal("no claim was settled")
	}
	for key, holders := range w.by {
		held, err := l.Claim(t.Context(), claim.Record{Key: key, Run: "late"})
		if err != nil || len(holders) != 1 || !holders[held.Run] || w.sure[key] > 1 {
			t.Errorf("key %s: claimants heard of %v, %d were told to have won, the log says %q %v; want one and the same", key, holders, w.sure[key], held.Run, err)
		}
	}
	notWritten.Range(func(run, key any) bool {
		held, err := l.Claim(t.Context(), claim.Record{Key: key.(string), Run: "later"})
		if err != nil || held.Run == run {
			t.Errorf("run %v was said not to be written: got %q %v in the log", run, held.Run, err)
		}
		return true
	})
}

// TestLostAnswer settles a write whose answer was lost by reading it back.
func TestLostAnswer(t *testing.T) {
	o, addr := startObjects(t, 1)
	o.Set(fakes.Faults{LoseAnswers: 1})
	l := startLog(t, addr)
	held, err := l.Claim(t.Context(), claim.Record{Key: KeyOf("w", "k"), Run: "r"})
	if err != nil || held.Run != "r" {
		t.Errorf("got %q %v, want r and nil", held.Run, err)
	}
}

// TestGenerations lets a closed run's key be claimed again, once.
func TestGenerations(t *testing.T) {
	_, addr := startObjects(t, 1)
	a, b := startLog(t, addr), startLog(t, addr)
	key := KeyOf("w", "k")
	steps := []struct {
		name string
		log  *Log
		gen  int
		run  string
		want string
	}{
		{"first", a, 0, "r1", "r1"},
		{"a second run of the same generation", b, 0, "r2", "r1"},
		{"the next generation", b, 1, "r3", "r3"},
		{"the next generation again, elsewhere", a, 1, "r4", "r3"},
		{"an old generation", a, 0, "r5", "r3"},
	}
	for _, s := range steps {
		got, err := s.log.Claim(t.Context(), claim.Record{Key: key, Generation: s.gen, Run: s.run})
		if err != nil || got.Run != s.want {
			t.Errorf("%s: got %q %v, want %q", s.name, got.Run, err, s.want)
		}
	}
}

// TestManySlices fills slices and finds every claim again from nothing.
func TestManySlices(t *testing.T) {
	_, addr := startObjects(t, 1)
	l := startLog(t, addr)
	const claimed = claim.FullSliceRecords * Buckets * 2
	var wg sync.WaitGroup
	for i := range claimed {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _ = l.Claim(t.Context(), claim.Record{Key: KeyOf("w", fmt.Sprint(i)), Run: fmt.Sprint(i)})
		}()
	}
	wg.Wait()
	late := startLog(t, addr)
	for i := range claimed {
		held, err := late.Claim(t.Context(), claim.Record{Key: KeyOf("w", fmt.Sprint(i)), Run: "late"})
		if want := fmt.Sprint(i); err != nil || held.Run != want {
			t.Fatalf("got %q %v, want %q", held.Run, err, want)
		}
	}
}

// TestDoubt says "not written" only of claims that no write has carried.
func TestDoubt(t *testing.T) {
	down := errors.Mark(errors.New("x"), store.ErrUnavailable)
	tests := []struct {
		name string
		put  error
		want error
	}{
		{"the platform refuses the write", down, ErrNotWritten},
		{"the write's outcome is not known, then the platform is down", errors.Mark(errors.New("x"), store.ErrOutcomeUnknown), ErrDoubt},
	}
	for _, tt := range tests {
		written := false
		c := &store.Client{
			Put: func(context.Context, string, string, int64, []byte) (int64, error) {
				written = true
				return 0, tt.put
			},
			Get: func(context.Context, string, string) (store.Object, error) {
				if written {
					return store.Object{}, down
				}
				return store.Object{}, store.ErrNotFound
			},
			List: func(context.Context, string, string) ([]store.Object, error) { return nil, nil },
		}
		l := New(zap.NewNop(), c)
		key := KeyOf("w", "k")
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- l.Run(ctx, BucketOf(key)) }()
		if _, got := l.Claim(t.Context(), claim.Record{Key: key, Run: "r"}); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
		cancel()
		<-ended
	}
}
