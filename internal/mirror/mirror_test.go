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
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/epoch"
)

var t0 = time.Unix(1_000_000, 0)

func object(name string, revision epoch.Revision) Object {
	return Object{Name: name, Revision: revision, Spec: json.RawMessage(fmt.Sprint(revision))}
}

// observed holds the last revision of each object that OnChange was called with, by name; negative
// for a removal.
type observed map[string]epoch.Revision

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
		for revision := epoch.Revision(1); revision < 200; revision++ {
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
		m.AwaitChange(context.Background(), map[string]epoch.Revision{"k": 1}, time.Now().Add(time.Minute))
	}()
	m.Apply("k", []Change{{Object: object("a", 2)}}, 2, t0)
	<-ended
}

var errUnavailable = errors.New("down")

// A watch that waited for a change would detect the end of an outage late.
func TestLostStoreIsWatchedWithoutWaiting(t *testing.T) {
	const wait = 700 * time.Millisecond
	var waits []time.Duration
	f := Follower{Log: zap.NewNop(), Mirror: New("k"), Kind: "k", WatchTimeout: config.Span(wait), Source: Source{
		Page: func(context.Context, string, string) (Page, error) { return Page{Revision: 1}, nil },
		Watch: func(_ context.Context, _ string, _ epoch.Revision, until time.Time) ([]Change, epoch.Revision, error) {
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

func TestLostHistoryIsRelisted(t *testing.T) {
	m := New("k")
	lists := 0
	ctx, cancel := context.WithCancel(context.Background())
	f := Follower{Log: zap.NewNop(), Mirror: m, Kind: "k", Source: Source{
		Page: func(context.Context, string, string) (Page, error) {
			if lists++; lists == 2 {
				cancel()
			}
			return Page{Revision: epoch.Revision(lists)}, nil
		},
		Watch: func(context.Context, string, epoch.Revision, time.Time) ([]Change, epoch.Revision, error) {
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
			return Page{Objects: []Object{object(fmt.Sprint("o", n), epoch.Revision(n))}, Revision: epoch.Revision(10 * n), More: n < 5}, nil
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

// A list of a later epoch replaces the copy although its number is lower. Objects that the list lacks lapse later, and the changes say that the store came
// back.
//
// Guards against states of two histories that are ordered by the store's counter alone.
func TestLaterEpochReplacesTheCopy(t *testing.T) {
	m := New("k")
	var got []Change
	m.Replace("k", []Object{object("a", epoch.At(1, 30)), object("b", epoch.At(1, 36))}, epoch.At(1, 36), t0, time.Time{})
	m.Apply("k", []Change{{Object: Object{Name: "c", Revision: epoch.At(1, 40)}, Removed: true}}, epoch.At(1, 40), t0)
	var begun []int64
	m.OnEpoch = func(e int64) { begun = append(begun, e) }
	m.OnChange = func(_ string, c Change) { got = append(got, c) }
	if !m.Replace("k", []Object{object("a", epoch.At(2, 20)), object("c", epoch.At(2, 25))}, epoch.At(2, 34), t0.Add(time.Second), time.Time{}) {
		t.Error("list of the later epoch: got it dropped")
	}
	if want := epoch.At(2, 34); m.Revision("k") != want || m.Epoch() != 2 {
		t.Errorf("revision: got %v in epoch %d, want %v", m.Revision("k"), m.Epoch(), want)
	}
	lapse := lapseGrace.After(t0.Add(time.Second))
	for _, c := range got {
		if !c.Restored || c.Removed && !c.LapsesAt.Equal(lapse) {
			t.Errorf("%s: got restored %v, lapse at %v; want restored, lapse at %v", c.Name, c.Restored, c.LapsesAt, lapse)
		}
	}
	if !slices.Equal(begun, []int64{2}) {
		t.Errorf("epochs told: got %v, want 2 once", begun)
	}
	if len(got) != 3 {
		t.Errorf("changes: got %v, want those of a, b and c", got)
	}
}

// Nothing of an earlier epoch is applied, whatever its number, and no changes of a later one without the list before
// them. Neither confirms the copy.
//
// Guards against a router that was cut off or frozen and tells what the store has lost.
func TestOtherEpochsAreIgnored(t *testing.T) {
	m := New("k")
	m.Replace("k", []Object{object("a", epoch.At(2, 20))}, epoch.At(2, 34), t0, time.Time{})
	var got []Change
	m.OnChange = func(_ string, c Change) { got = append(got, c) }
	if m.Replace("k", []Object{object("b", epoch.At(1, 90))}, epoch.At(1, 99), t0.Add(time.Hour), time.Time{}) {
		t.Error("list of the earlier epoch with a higher number: got it applied")
	}
	m.Apply("k", []Change{{Object: object("d", epoch.At(1, 95))}}, epoch.At(1, 99), t0.Add(time.Hour))
	m.Apply("k", []Change{{Object: object("d", epoch.At(3, 1))}}, epoch.At(3, 1), t0.Add(time.Hour))
	if len(got) != 0 {
		t.Errorf("changes of other epochs: got %v, want none", got)
	}
	if at := m.ConfirmedAt("k"); !at.Equal(t0) {
		t.Errorf("confirmed at: got %v, want %v", at, t0)
	}
	if m.IsCurrent("k") {
		t.Error("a copy of epoch 2 counts as current after epoch 3 was observed")
	}
}

// A copy of an earlier epoch gets the whole list from one of a later epoch, also if its number is higher, and
// nothing is taken from it.
//
// Guards against a router that was cut off or frozen while the store came back.
func TestCopyOfAnEarlierEpochGetsAll(t *testing.T) {
	newer, older := New("k"), New("k")
	newer.Replace("k", []Object{object("a", epoch.At(2, 30))}, epoch.At(2, 34), t0, time.Time{})
	older.Replace("k", []Object{object("a", epoch.At(1, 36)), object("b", epoch.At(1, 37))}, epoch.At(1, 40), t0, time.Time{})
	if d, _ := older.Since("k", newer.Revision("k")); d.Full || len(d.Changes) != 0 {
		t.Errorf("from the older copy: got %+v, want nothing", d)
	}
	d, _ := newer.Since("k", older.Revision("k"))
	if !d.Full {
		t.Errorf("from the newer copy: got %+v, want all", d)
	}
	s := observe(t, older)
	applyDelta(older, d)
	if s["a"] != epoch.At(2, 30) || s["b"] != -epoch.At(2, 34) {
		t.Errorf("state: got %v, want a of the later epoch and b removed", s)
	}
}

// A watch from a revision that a store of a later epoch knows too is not taken for a continuation, and a list
// whose pages are of two epochs is read anew.
//
// Guards against a store that has passed the old revision by the time it is asked, and so answers no 410.
func TestFollowerListsAgainInALaterEpoch(t *testing.T) {
	var storeEpoch int64 = 1
	var pages []string
	m := New("k")
	f := &Follower{Log: zap.NewNop(), Mirror: m, Kind: "k", WatchTimeout: config.Span(time.Second), Source: Source{
		Page: func(_ context.Context, _, after string) (Page, error) {
			pages = append(pages, after)
			if after != "" && len(pages) == 2 {
				storeEpoch = 2
			}
			name := "a"
			if after != "" {
				name = "b"
			}
			return Page{Objects: []Object{object(name, epoch.At(storeEpoch, 50))}, Revision: epoch.At(storeEpoch, 60), More: after == ""}, nil
		},
		Watch: func(_ context.Context, _ string, since epoch.Revision, _ time.Time) ([]Change, epoch.Revision, error) {
			storeEpoch++
			return []Change{{Object: object("c", epoch.At(storeEpoch, since.Number()+1))}}, epoch.At(storeEpoch, since.Number()+1), nil
		},
	}}
	ctx := context.Background()
	if err := f.step(ctx, time.Now()); err != nil {
		t.Fatal(err)
	}
	if want := []string{"", "a", "", "a"}; !slices.Equal(pages, want) || m.Revision("k") != epoch.At(2, 60) {
		t.Errorf("pages: got %q and revision %v, want %q and %v", pages, m.Revision("k"), want, epoch.At(2, 60))
	}
	s := observe(t, m)
	if err := f.step(ctx, time.Now()); !errors.Is(err, ErrHistoryGone) || len(s) != 0 {
		t.Errorf("watch answered in a later epoch: got %v and changes %v, want %v and none", err, s, ErrHistoryGone)
	}
}

// A waiting watch ends when another answer names a later epoch, and the copy is listed again at once.
//
// Guards against changes that are heard of seconds late, as the store no longer knows of a watch that waits on an
// open connection.
func TestWatchEndsWhenALaterEpochIsObserved(t *testing.T) {
	m := New("k")
	watching, listed := make(chan struct{}, 1), make(chan struct{}, 8)
	f := &Follower{Log: zap.NewNop(), Mirror: m, Kind: "k", WatchTimeout: config.Span(time.Hour), Source: Source{
		Page: func(context.Context, string, string) (Page, error) {
			listed <- struct{}{}
			return Page{Revision: epoch.At(m.Epoch(), 5)}, nil
		},
		Watch: func(ctx context.Context, _ string, _ epoch.Revision, _ time.Time) ([]Change, epoch.Revision, error) {
			watching <- struct{}{}
			<-ctx.Done()
			return nil, epoch.None, errUnavailable
		},
	}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	<-listed
	<-watching
	m.ObserveEpoch(2)
	<-listed
	<-watching
	if got, want := m.Revision("k"), epoch.At(2, 5); got != want {
		t.Errorf("revision: got %v, want %v", got, want)
	}
	cancel()
	<-ended
}
