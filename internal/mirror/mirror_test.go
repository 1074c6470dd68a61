// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package mirror

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/config"
)

var t0 = time.Unix(1_000_000, 0)

func object(name string, revision int64) Object {
	return Object{Name: name, Revision: revision, Spec: json.RawMessage(fmt.Sprint(revision))}
}

// observed holds the last revision of each object that OnChange was called with, by name; negative
// for a removal.
type observed map[string]int64

// observe records the changes of a mirror. The test fails if a revision of an object decreases.
func observe(t *testing.T, m *Mirror) observed {
	s := make(observed)
	m.OnChange = func(_ string, c Change) {
		if c.Revision < s[c.Name] {
			t.Errorf("%s: got revision %d after %d", c.Name, c.Revision, s[c.Name])
		}
		s[c.Name] = c.Revision
		if c.Removed {
			s[c.Name] = -c.Revision
		}
	}
	return s
}

func TestStaleUpdatesAreIgnored(t *testing.T) {
	m := New("k")
	s := observe(t, m)
	m.Replace("k", []Object{object("a", 3), object("b", 4)}, 5, t0, time.Time{})
	m.Apply("k", []Change{{Object: object("a", 7)}, {Object: Object{Name: "b", Revision: 8}, Removed: true}}, 8, t0)
	m.Apply("k", []Change{{Object: object("a", 6)}, {Object: object("b", 4)}}, 7, t0)
	m.Replace("k", []Object{object("a", 3), object("b", 4)}, 5, t0, time.Time{})
	if want := (observed{"a": 7, "b": -8}); !maps.Equal(s, want) {
		t.Errorf("state: got %v, want %v", s, want)
	}
	if got := m.Revision("k"); got != 8 {
		t.Errorf("revision: got %d, want 8", got)
	}
}

func TestConfirmedAtNeverGoesBack(t *testing.T) {
	m := New("k")
	m.Replace("k", nil, 5, t0, time.Time{})
	m.Apply("k", nil, 5, t0.Add(time.Second))
	m.Apply("k", nil, 5, t0)
	// An answer about an older revision does not confirm a newer copy.
	m.Apply("k", nil, 4, t0.Add(time.Hour))
	if got, want := m.ConfirmedAt("k"), t0.Add(time.Second); !got.Equal(want) {
		t.Errorf("confirmed at: got %v, want %v", got, want)
	}
}

// Copies that are updated from one another end equal, though deltas arrive in any order, late and
// more than once.
func TestReplicasConverge(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 7))
		origin, copies := New("k"), []*Mirror{New("k"), New("k"), New("k")}
		want := observe(t, origin)
		var states []observed
		for _, c := range copies {
			states = append(states, observe(t, c))
		}
		origin.Replace("k", nil, 0, t0, time.Time{})
		var delayed []func()
		pull := func(from, to *Mirror) {
			d, ok := from.Since("k", to.Revision("k"))
			if !ok {
				return
			}
			delayed = append(delayed, func() { applyDelta(to, d) })
		}
		for revision := int64(1); revision < 200; revision++ {
			name := fmt.Sprint(rnd.IntN(12))
			c := Change{Object: object(name, revision), Removed: rnd.IntN(3) == 0}
			origin.Apply("k", []Change{c}, revision, t0)
			pull(origin, copies[rnd.IntN(3)])
			pull(copies[rnd.IntN(3)], copies[rnd.IntN(3)])
			if len(delayed) > 0 && rnd.IntN(2) == 0 {
				delayed[rnd.IntN(len(delayed))]()
			}
		}
		for _, c := range copies {
			d, _ := origin.Since("k", c.Revision("k"))
			applyDelta(c, d)
		}
		for i, s := range states {
			if got, want := existing(s), existing(want); !maps.Equal(got, want) {
				t.Fatalf("seed %d, copy %d: got %v, want %v", seed, i, got, want)
			}
		}
	}
}

func applyDelta(to *Mirror, d Delta) {
	if !d.Full {
		to.Apply("k", d.Changes, d.Revision, d.ConfirmedAt)
		return
	}
	var list []Object
	for _, c := range d.Changes {
		list = append(list, c.Object)
	}
	to.Replace("k", list, d.Revision, d.ConfirmedAt, time.Time{})
}

func existing(s observed) observed {
	out := make(observed)
	for name, revision := range s {
		if revision > 0 {
			out[name] = revision
		}
	}
	return out
}

func TestAwaitChangeReturnsOnChange(*testing.T) {
	m := New("k", "other")
	m.Replace("k", nil, 1, t0, time.Time{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		m.AwaitChange(context.Background(), map[string]int64{"k": 1}, time.Now().Add(time.Minute))
	}()
	m.Apply("k", []Change{{Object: object("a", 2)}}, 2, t0)
	<-ended
}

var errUnavailable = errors.New("down")

// During an outage of the store, entries may lapse only because their owners cannot renew them.
// Removals that are read after the outage must therefore not take effect at once.
func TestRemovalsAfterOutageLapseLater(t *testing.T) {
	m := New("k")
	var got []Change
	m.OnChange = func(_ string, c Change) { got = append(got, c) }
	f := Follower{Log: zap.NewNop(), Mirror: m, Kind: "k", WatchTimeout: config.Span(time.Millisecond), Source: Source{
		Page: func(context.Context, string, string) (Page, error) {
			return Page{Objects: []Object{object("a", 1)}, Revision: 1}, nil
		},
		Watch: func(context.Context, string, int64, time.Time) ([]Change, int64, error) {
			return []Change{{Object: Object{Name: "a", Revision: 2}, Removed: true}}, 2, nil
		},
	}}
	ctx := context.Background()
	if err := f.step(ctx, time.Now()); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	f.recordFailure(now.Add(-2*time.Second), errUnavailable)
	if err := f.step(ctx, now); err != nil {
		t.Fatal(err)
	}
	if len(got) != 2 || !got[1].Removed || got[1].LapsesAt.Before(now.Add(time.Second)) {
		t.Errorf("changes: got %+v, want a removal that takes effect about 2 s later", got)
	}
}

// A watch that waited for a change would detect the end of an outage late.
func TestLostStoreIsWatchedWithoutWaiting(t *testing.T) {
	const wait = 700 * time.Millisecond
	var waits []time.Duration
	f := Follower{Log: zap.NewNop(), Mirror: New("k"), Kind: "k", WatchTimeout: config.Span(wait), Source: Source{
		Page: func(context.Context, string, string) (Page, error) { return Page{Revision: 1}, nil },
		Watch: func(_ context.Context, _ string, _ int64, until time.Time) ([]Change, int64, error) {
			waits = append(waits, time.Until(until))
			return nil, 1, nil
		},
	}}
	ctx := context.Background()
	step := func() {
		if err := f.step(ctx, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	step()
	step()
	f.recordFailure(time.Now(), errUnavailable)
	step()
	f.recordSuccess(time.Now())
	step()
	if len(waits) != 3 || waits[0] < wait/2 || waits[1] > 0 || waits[2] < wait/2 {
		t.Errorf("waits: got %v, want about %v, none while the store is lost, and %v again", waits, wait, wait)
	}
}

// No entry lapses in an outage shorter than minOutage, so that removals take effect at once.
func TestShortOutageDelaysNoRemoval(t *testing.T) {
	f := Follower{Log: zap.NewNop(), Mirror: New("k"), Kind: "k"}
	now := time.Now()
	f.recordFailure(now.Add(-minOutage/2), errUnavailable)
	f.updateLapse(now)
	if !f.lapsesAt.IsZero() {
		t.Errorf("lapses at: got %v, want never", f.lapsesAt)
	}
}

func TestLostHistoryIsRelisted(t *testing.T) {
	m := New("k")
	lists := 0
	ctx, cancel := context.WithCancel(context.Background())
	f := Follower{Log: zap.NewNop(), Mirror: m, Kind: "k", Source: Source{
		Page: func(context.Context, string, string) (Page, error) {
			if lists++; lists == 2 {
				cancel()
			}
			return Page{Revision: int64(lists)}, nil
		},
		Watch: func(context.Context, string, int64, time.Time) ([]Change, int64, error) {
			return nil, 0, ErrHistoryGone
		},
	}}
	if err := f.Run(ctx); err != nil || lists != 2 {
		t.Errorf("got %d lists, %v; want 2", lists, err)
	}
}

// Guards against a list of many pages that starts again after each failed call and never completes.
// The store answers two calls in three; no page may be read twice.
func TestListResumesAfterFailedPage(t *testing.T) {
	m := New("k")
	var pagesAfter []string
	calls := 0
	f := Follower{Log: zap.NewNop(), Mirror: m, Kind: "k", Source: Source{
		Page: func(_ context.Context, _, after string) (Page, error) {
			if calls++; calls%3 == 0 {
				return Page{}, errUnavailable
			}
			pagesAfter = append(pagesAfter, after)
			n := len(pagesAfter)
			return Page{Objects: []Object{object(fmt.Sprint("o", n), int64(n))}, Revision: int64(10 * n), More: n < 5}, nil
		},
	}}
	steps := 0
	for m.Revision("k") < 0 && steps < 10 {
		steps++
		_ = f.step(context.Background(), time.Now())
	}
	if got, want := fmt.Sprint(pagesAfter), "[ o1 o2 o3 o4]"; got != want || steps != 3 {
		t.Errorf("pages: read those after %s in %d steps, want %s in 3", got, steps, want)
	}
	d, _ := m.Since("k", -1)
	if len(d.Changes) != 5 || d.Revision != 10 {
		t.Errorf("copy: got %d objects at %d, want 5 at the first page's revision, 10", len(d.Changes), d.Revision)
	}
}

// While other routers retry an unreachable store, this one uses the longer backoff.
func TestRetrySlowlyLengthensBackoff(t *testing.T) {
	slowly := true
	f := Follower{RetrySlowly: func() bool { return slowly }, failures: 9}
	for range 20 {
		if got := f.backoff(); got < maxSlowBackoff/2 || got > maxSlowBackoff {
			t.Fatalf("pause: got %v, want %v to %v", got, maxSlowBackoff/2, maxSlowBackoff)
		}
	}
	slowly = false
	if got := f.backoff(); got > maxBackoff {
		t.Errorf("pause where no other router retries: got %v, want at most %v", got, maxBackoff)
	}
}

// A goroutine that waits for a confirmation is woken once the store is back, also if no object has
// changed. The copy is confirmed again after more than minConfirmationGap.
func TestAwaitConfirmation(*testing.T) {
	m := New("k")
	m.Replace("k", nil, 1, t0, time.Time{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		m.AwaitConfirmation(context.Background(), "k", t0.Add(time.Second), time.Now().Add(time.Minute))
	}()
	m.Apply("k", nil, 1, t0.Add(3*time.Second))
	<-ended
}
