// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package mirror

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/epoch"
)

// simStore is a store in simulated time, for followers of one kind.
type simStore struct {
	// mu guards all fields, and those of the connections and followers.
	mu       sync.Mutex
	log      []Change
	revision epoch.Revision
	// downUntil is when the store answers again. Calls before it get no answer.
	downUntil time.Time
	// silentBefore is a time: connections opened before it have gone silent.
	silentBefore time.Time
}

func newSimStore() *simStore {
	return &simStore{log: []Change{{Object: object("a", 1)}, {Object: object("b", 2)}}, revision: 2}
}

// set changes fields.
func (s *simStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// remove removes an object.
func (s *simStore) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.log = append(s.log, Change{Object: Object{Name: name, Revision: s.revision}, Removed: true})
}

// simConn is one router's connection to a simStore.
type simConn struct {
	store    *simStore
	openedAt time.Time
	// cut says that this router does not reach the store.
	cut bool
}

// source returns a source whose calls use the connection, or open it again after Reconnect.
func (c *simConn) source() Source {
	return Source{
		Page: func(ctx context.Context, _, _ string) (Page, error) {
			if _, err := c.call(ctx); err != nil {
				return Page{}, err
			}
			return Page{Objects: []Object{object("a", 1), object("b", 2)}, Revision: 2}, nil
		},
		Watch:     c.watch,
		Reconnect: func() { c.store.set(func() { c.openedAt = time.Time{} }) },
	}
}

// open returns when the connection was opened.
func (c *simConn) open() time.Time {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if c.openedAt.IsZero() {
		c.openedAt = time.Now()
	}
	return c.openedAt
}

// answers reports whether the store answers on a connection that was opened at a time.
func (c *simConn) answers(openedAt time.Time) bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return !c.cut && !time.Now().Before(c.store.downUntil) && !openedAt.Before(c.store.silentBefore)
}

// call waits until the store answers, or ctx is done, and returns when its connection was opened.
func (c *simConn) call(ctx context.Context) (openedAt time.Time, err error) {
	openedAt = c.open()
	time.Sleep(4 * time.Millisecond)
	for !c.answers(openedAt) {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return openedAt, errUnavailable
		}
	}
	return openedAt, nil
}

// since returns the changes after a revision and the store's revision.
func (s *simStore) since(revision epoch.Revision) (changes []Change, now epoch.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ch := range s.log {
		if ch.Revision > revision {
			changes = append(changes, ch)
		}
	}
	return changes, s.revision
}

func (c *simConn) watch(ctx context.Context, _ string, since epoch.Revision, until time.Time) ([]Change, epoch.Revision, error) {
	openedAt, err := c.call(ctx)
	if err != nil {
		return nil, epoch.None, err
	}
	for {
		changes, revision := c.store.since(since)
		if c.answers(openedAt) && (len(changes) > 0 || !time.Now().Before(until)) {
			return changes, revision, nil
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return nil, epoch.None, errUnavailable
		}
	}
}

// simFollower is a running follower of a simStore and the removals that its mirror reported.
type simFollower struct {
	*Follower
	conn     *simConn
	removals map[string]removal
	end      func()
}

// removal is a reported removal.
type removal struct{ reportedAt, lapsesAt time.Time }

// effectiveAt returns when the removal takes effect.
func (r removal) effectiveAt() time.Time { return later(r.reportedAt, r.lapsesAt) }

// removal returns the removal of an object; ok is false if none was reported.
func (f *simFollower) removal(name string) (r removal, ok bool) {
	f.conn.store.mu.Lock()
	defer f.conn.store.mu.Unlock()
	r, ok = f.removals[name]
	return r, ok
}

// newSimFollower starts a follower, whose watches the store holds for a time. change may change it before.
func newSimFollower(t *testing.T, s *simStore, hold time.Duration, change func(f *Follower)) *simFollower {
	r := &simFollower{conn: &simConn{store: s}, removals: make(map[string]removal)}
	m := New("k", "other")
	m.OnChange = func(kind string, c Change) {
		if kind == "k" && c.Removed {
			s.set(func() { r.removals[c.Name] = removal{time.Now(), c.LapsesAt} })
		}
	}
	r.Follower = &Follower{Log: zap.NewNop(), Source: r.conn.source(), Mirror: m, Kind: "k", WatchTimeout: config.Span(hold)}
	if change != nil {
		change(r.Follower)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	r.end = func() { cancel(); <-ended }
	time.Sleep(time.Second)
	return r
}

// A connection goes silent for good while new ones work. The removal that follows is read on a new connection as soon
// as the answer is overdue, and takes effect at once, as the store was never away.
//
// Guards against requests to endpoints that have left, sent because a router's own connection counted as the store.
func TestSilentConnectionIsNoOutage(t *testing.T) {
	const hold, contact = 2500 * time.Millisecond, 3 * time.Second
	for offset := time.Duration(0); offset < hold; offset += 90 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			s := newSimStore()
			f := newSimFollower(t, s, hold, nil)
			defer f.end()
			time.Sleep(offset)
			silentAt := time.Now()
			s.set(func() { s.silentBefore = silentAt })
			time.Sleep(200 * time.Millisecond)
			s.remove("a")
			time.Sleep(8 * time.Second)
			if r, ok := f.removal("a"); !ok || !r.effectiveAt().Before(silentAt.Add(contact)) {
				t.Errorf("silent %v after the start: removal in effect %v later (reported: %t), want less than %v", offset, r.effectiveAt().Sub(silentAt), ok, contact)
			}
		})
	}
}

// One follower finds its connection silent, and another one of the same router, whose watch is held for longer, asks
// on a new connection as well.
//
// Guards against a router that knows of silent connections and still waits on others.
func TestSilentConnectionIsSuspectedByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimStore()
		slow := newSimFollower(t, s, time.Hour, nil)
		defer slow.end()
		other := newSimFollower(t, s, 500*time.Millisecond, nil)
		defer other.end()
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			// The two followers stand for two kinds of one mirror.
			for {
				select {
				case <-other.Mirror.connectionsSuspected():
					slow.Mirror.SuspectConnections()
				case <-stop:
					return
				}
			}
		}()
		silentAt := time.Now()
		s.set(func() { s.silentBefore = silentAt })
		time.Sleep(100 * time.Millisecond)
		s.remove("a")
		time.Sleep(2 * time.Second)
		if r, ok := slow.removal("a"); !ok || r.effectiveAt().Sub(silentAt) > time.Second {
			t.Errorf("removal: in effect %v after the silence (reported: %t), want at most 1 s", r.effectiveAt().Sub(silentAt), ok)
		}
	})
}

// A watch whose answer is not overdue is not given up because a second call fails.
//
// Guards against a store that rejects new connections and thereby ends the calls that it still serves.
func TestSecondCallThatFailsEndsNoWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var watches atomic.Int64
		m := New("k")
		f := &Follower{Log: zap.NewNop(), Mirror: m, Kind: "k", WatchTimeout: config.Span(time.Second), Source: Source{
			Watch: func(ctx context.Context, _ string, _ epoch.Revision, until time.Time) ([]Change, epoch.Revision, error) {
				if watches.Add(1) == 2 {
					return nil, epoch.None, errUnavailable
				}
				time.Sleep(time.Until(until))
				return nil, 7, ctx.Err()
			},
		}}
		m.Replace("k", nil, 5, time.Now(), time.Time{})
		go func() {
			time.Sleep(100 * time.Millisecond)
			m.SuspectConnections()
		}()
		if err := f.step(t.Context(), time.Now()); err != nil || watches.Load() != 2 || m.Revision("k") != 7 {
			t.Errorf("got %v, %d calls and revision %v; want none, 2 and 7", err, watches.Load(), m.Revision("k"))
		}
	})
}

// The store is back and answers one follower. Another one, which waits for seconds after many failures, asks it at
// once.
//
// Guards against a router that is well informed about one kind and tells others an old copy of another kind.
func TestAnswerEndsBackoffOfAll(t *testing.T) {
	for length := 8 * time.Second; length < 12*time.Second; length += 250 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			s := newSimStore()
			slow := newSimFollower(t, s, 500*time.Millisecond, func(f *Follower) { f.RetrySlowly = func() bool { return true } })
			defer slow.end()
			other := newSimFollower(t, s, 500*time.Millisecond, func(f *Follower) { f.Mirror, f.Kind = slow.Mirror, "other" })
			defer other.end()
			back := time.Now().Add(length)
			s.set(func() { s.downUntil = back })
			time.Sleep(length)
			s.remove("a")
			time.Sleep(5 * time.Second)
			if r, ok := slow.removal("a"); !ok || r.reportedAt.Sub(back) > maxBackoff+100*time.Millisecond {
				t.Errorf("outage of %v: removal read %v after the return of the store (reported: %t), want at most %v", length, r.reportedAt.Sub(back), ok, maxBackoff)
			}
		})
	}
}

// A call fails, and the next one is made on a new connection.
//
// Guards against retries on idle connections that have gone silent as well.
func TestRetryOpensConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls []string
		ctx, cancel := context.WithCancel(t.Context())
		f := &Follower{Log: zap.NewNop(), Mirror: New("k"), Kind: "k", Source: Source{
			Page: func(context.Context, string, string) (Page, error) {
				if calls = append(calls, "list"); len(calls) > 2 {
					cancel()
				}
				return Page{}, errUnavailable
			},
			Reconnect: func() { calls = append(calls, "reconnect") },
		}}
		if err := f.Run(ctx); err != nil {
			t.Fatal(err)
		}
		if want := []string{"list", "reconnect", "list"}; !slices.Equal(calls, want) {
			t.Errorf("calls: got %v, want %v", calls, want)
		}
	})
}
