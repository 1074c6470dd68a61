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
	"testing/synctest"
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

// startObjects serves a fake platform until the test ends.
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

// startLog runs a log with all its buckets, as an entry does, until the test ends.
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

// winners collects the results of all claims by key.
type winners struct {
	mu sync.Mutex
	// holders holds, by key, the runs that were returned as holder of the key.
	holders map[string]map[string]bool
	// wins counts, by key, the claims that were returned as their own winner.
	wins map[string]int
}

// add records that the claim of run on key returned holder.
func (w *winners) add(key, run, holder string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.holders[key] == nil {
		w.holders[key] = make(map[string]bool)
	}
	w.holders[key][holder] = true
	if holder == run {
		w.wins[key]++
	}
}

// TestOneWinner runs four entries that all write every bucket and claim the same keys
// concurrently, while the platform loses responses, is slow and is down. All claims on a
// key that get a result must get the same holder, at most one run may win, and a claim
// that failed with ErrNotWritten must not be in the log at the end.
func TestOneWinner(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { raceForKeys(t, seed) })
	}
}

const (
	racers         = 4
	claimsPerRacer = 60
)

// raceForKeys claims random keys at random times from all racers while faults are
// injected, and checks the results.
func raceForKeys(t *testing.T, seed uint64) {
	o, addr := startObjects(t, seed)
	w := &winners{holders: make(map[string]map[string]bool), wins: make(map[string]int)}
	var notWritten sync.Map
	var wg sync.WaitGroup
	for racer := range racers {
		l := startLog(t, addr)
		rnd := rand.New(rand.NewPCG(seed, uint64(racer)))
		for i := range claimsPerRacer {
			wg.Add(1)
			key := KeyOf("w", fmt.Sprint(rnd.IntN(claimsPerRacer/2)))
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
	injectFaults(o, rand.New(rand.NewPCG(seed, 99)))
	wg.Wait()
	checkRace(t, addr, w, &notWritten)
}

// injectFaults applies 8 random sets of faults for 50 ms each, then none.
func injectFaults(o *fakes.Objects, rnd *rand.Rand) {
	for range 8 {
		o.Set(fakes.Faults{
			ResponseLossRate: float64(rnd.IntN(3)) / 4,
			Down:             rnd.IntN(4) == 0,
			Delay:            config.Span(rnd.IntN(3)) * config.Span(10*time.Millisecond),
		})
		time.Sleep(50 * time.Millisecond)
	}
	o.Set(fakes.Faults{})
}

// checkRace compares the results of the claims with the log as a new process reads it.
// notWritten holds the key of each run that failed with ErrNotWritten.
func checkRace(t *testing.T, addr netip.AddrPort, w *winners, notWritten *sync.Map) {
	l := startLog(t, addr)
	if len(w.holders) == 0 {
		t.Fatal("no claim got a result")
	}
	for key, holders := range w.holders {
		held, err := l.Claim(t.Context(), claim.Record{Key: key, Run: "late"})
		if err != nil || len(holders) != 1 || !holders[held.Run] || w.wins[key] > 1 {
			t.Errorf("key %s: claims returned the holders %v and %d wins, the log has %q %v; want one holder, the same in the log, and at most 1 win", key, holders, w.wins[key], held.Run, err)
		}
	}
	notWritten.Range(func(run, key any) bool {
		held, err := l.Claim(t.Context(), claim.Record{Key: key.(string), Run: "later"})
		if err != nil || held.Run == run {
			t.Errorf("run %v failed with ErrNotWritten: got %q %v in the log, want another run", run, held.Run, err)
		}
		return true
	})
}

// TestLostAnswer loses the responses of all writes. Claim must read the log back and find
// its own record there.
func TestLostAnswer(t *testing.T) {
	o, addr := startObjects(t, 1)
	o.Set(fakes.Faults{ResponseLossRate: 1})
	l := startLog(t, addr)
	held, err := l.Claim(t.Context(), claim.Record{Key: KeyOf("w", "k"), Run: "r"})
	if err != nil || held.Run != "r" {
		t.Errorf("got %q %v, want r and nil", held.Run, err)
	}
}

// TestGenerations claims a key in two generations from two processes. Only the first
// claim of a generation may win, and only if the generation follows that of the holder.
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

// TestManySlices writes claims that fill several slices. A log that starts afterwards,
// with no local copy, must find all of them.
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

// TestOutcomeUnknown checks that only claims that no write has included fail with
// ErrNotWritten. A claim with a write of unknown outcome may still appear in the log.
func TestOutcomeUnknown(t *testing.T) {
	down := errors.Mark(errors.New("x"), store.ErrUnavailable)
	tests := []struct {
		name string
		put  error
		want error
	}{
		{"the platform refuses the write", down, ErrNotWritten},
		{"the update is too large", store.ErrTooLarge, ErrNotWritten},
		{"the write's outcome is not known, then the platform is down", errors.Mark(errors.New("x"), store.ErrOutcomeUnknown), ErrOutcomeUnknown},
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

// TestWithdrawnClaim lets the caller give up while its claim waits behind a write of another
// one. The claim must fail with ErrNotWritten and not be written later. Guards against a
// claim that certainly is not in the log and counts as unknown, so that its key is blocked.
func TestWithdrawnClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writes := 0
		c := &store.Client{
			Put: func(context.Context, string, string, int64, []byte) (int64, error) {
				writes++
				time.Sleep(time.Second)
				return int64(writes), nil
			},
			Get:  func(context.Context, string, string) (store.Object, error) { return store.Object{}, store.ErrNotFound },
			List: func(context.Context, string, string) ([]store.Object, error) { return nil, nil },
		}
		l := New(zap.NewNop(), c)
		key := KeyOf("w", "k")
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- l.Run(ctx, BucketOf(key)) }()
		go func() { _, _ = l.Claim(t.Context(), claim.Record{Key: key, Run: "r"}) }()
		synctest.Wait()
		// The first write is in flight until a second has passed.
		brief, stop := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer stop()
		if _, got := l.Claim(brief, claim.Record{Key: key, Generation: 1, Run: "s"}); got != ErrNotWritten {
			t.Errorf("claim given up in the queue: got %v, want %v", got, ErrNotWritten)
		}
		time.Sleep(5 * time.Second)
		cancel()
		<-ended
		if writes != 1 {
			t.Errorf("got %d writes, want 1", writes)
		}
	})
}

// TestRetryPauses gives each write an unknown outcome while reads find nothing. Updates of the
// bucket must keep minWriteInterval, as retries without a pause would load the platform as
// fast as it answers.
func TestRetryPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writes := 0
		c := &store.Client{
			Put: func(context.Context, string, string, int64, []byte) (int64, error) {
				writes++
				time.Sleep(time.Millisecond)
				return 0, store.ErrOutcomeUnknown
			},
			Get:  func(context.Context, string, string) (store.Object, error) { return store.Object{}, store.ErrNotFound },
			List: func(context.Context, string, string) ([]store.Object, error) { return nil, nil },
		}
		l := New(zap.NewNop(), c)
		key := KeyOf("w", "k")
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- l.Run(ctx, BucketOf(key)) }()
		brief, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		if _, got := l.Claim(brief, claim.Record{Key: key, Run: "r"}); got != ErrOutcomeUnknown {
			t.Errorf("got %v, want %v", got, ErrOutcomeUnknown)
		}
		cancel()
		<-ended
		if most := int(time.Second/time.Duration(minWriteInterval)) + 1; writes > most {
			t.Errorf("got %d writes in a second, want at most %d", writes, most)
		}
	})
}
