// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/pkg/config"
)

// scriptedStore is a store in memory whose writes have scripted outcomes.
type scriptedStore struct {
	objects map[string][]byte
	// outcomes holds the outcome of each next write: "ok", "lost" (written, but the
	// response is lost) or "down" (not written). Later writes are "ok".
	outcomes []string
}

func (m *scriptedStore) client() *store.Client {
	return &store.Client{
		Put: func(_ context.Context, _, name string, _ int64, value []byte) (int64, error) {
			outcome := "ok"
			if len(m.outcomes) > 0 {
				outcome, m.outcomes = m.outcomes[0], m.outcomes[1:]
			}
			if outcome == "down" {
				return 0, store.ErrUnavailable
			}
			if _, ok := m.objects[name]; ok {
				return 0, store.ErrConflict
			}
			m.objects[name] = append([]byte(nil), value...)
			if outcome == "lost" {
				return 0, store.ErrOutcomeUnknown
			}
			return 1, nil
		},
		Get: func(_ context.Context, _, name string) (store.Object, error) {
			v, ok := m.objects[name]
			if !ok {
				return store.Object{}, store.ErrNotFound
			}
			return store.Object{Value: v}, nil
		},
	}
}

// TestLostAnswers loses responses of writes and adds records between a write and its
// retry. Each record must be stored and confirmed exactly once.
func TestLostAnswers(t *testing.T) {
	m := &scriptedStore{objects: make(map[string][]byte), outcomes: []string{"down", "lost", "down", "ok", "lost", "lost"}}
	var confirmed []string
	w := New(zap.NewNop(), m.client(), Options[string]{Kind: "k", Prefix: "p", MaxRecords: 5, OnWritten: func(b []string) { confirmed = append(confirmed, b...) }})
	want := []string{}
	for i := range 8 {
		r := fmt.Sprint(i)
		if !w.Add(r) {
			t.Fatalf("record %s was lost", r)
		}
		want = append(want, r)
		w.writeBatch(t.Context())
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := w.Flush(ctx); err != nil {
		t.Fatal(err)
	}
	var got []string
	for i := range len(m.objects) {
		var batch []string
		if err := json.Unmarshal(m.objects[fmt.Sprintf("p-%08d", i)], &batch); err != nil {
			t.Fatal(err)
		}
		got = append(got, batch...)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) || fmt.Sprint(confirmed) != fmt.Sprint(want) {
		t.Errorf("got %v written and %v confirmed, want %v", got, confirmed, want)
	}
}

// TestFlushBesideRun calls Flush while Run writes a batch, as a planned stop does, and adds
// records in between. Each record must be stored and confirmed exactly once. Guards against
// two writes of one batch that both confirm it, of which the second removed later records
// that were not written.
func TestFlushBesideRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &scriptedStore{objects: make(map[string][]byte)}
		c := m.client()
		put := c.Put
		c.Put = func(ctx context.Context, kind, name string, version int64, value []byte) (int64, error) {
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
				return 0, store.ErrUnavailable
			}
			return put(ctx, kind, name, version, value)
		}
		var confirmed []string
		w := New(zap.NewNop(), c, Options[string]{Kind: "k", Prefix: "p", MaxRecords: 9, FlushInterval: config.Span(time.Second), OnWritten: func(b []string) { confirmed = append(confirmed, b...) }})
		w.Add("0")
		w.Add("1")
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		time.Sleep(1500 * time.Millisecond)
		w.Add("2")
		w.Add("3")
		if err := w.Flush(t.Context()); err != nil {
			t.Error(err)
		}
		cancel()
		<-ended
		var stored []string
		for i := range len(m.objects) {
			var batch []string
			if err := json.Unmarshal(m.objects[fmt.Sprintf("p-%08d", i)], &batch); err != nil {
				t.Error(err)
			}
			stored = append(stored, batch...)
		}
		if want := "[0 1 2 3]"; fmt.Sprint(stored) != want || fmt.Sprint(confirmed) != want {
			t.Errorf("got %v written and %v confirmed, want %v", stored, confirmed, want)
		}
	})
}

// TestFullBuffer adds more records than the buffer holds. The others must count as lost.
func TestFullBuffer(t *testing.T) {
	w := New(zap.NewNop(), (&scriptedStore{objects: map[string][]byte{}}).client(), Options[int]{Kind: "k", Prefix: "p", MaxRecords: 2})
	for i := range 5 {
		w.Add(i)
	}
	if held, lost := w.Held(); held != 2 || lost != 3 {
		t.Errorf("got %d held and %d lost, want 2 and 3", held, lost)
	}
}

// TestLargeBatchIsSplit writes records that together exceed the size of an object.
func TestLargeBatchIsSplit(t *testing.T) {
	m := &scriptedStore{objects: make(map[string][]byte)}
	w := New(zap.NewNop(), m.client(), Options[string]{Kind: "k", Prefix: "p", MaxRecords: 100})
	big := string(make([]byte, 100<<10))
	for range 12 {
		w.Add(big)
	}
	if err := w.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	for name, v := range m.objects {
		if len(v) > store.MaxValueBytes {
			t.Errorf("%s has %d bytes, want at most %d", name, len(v), store.MaxValueBytes)
		}
	}
}
