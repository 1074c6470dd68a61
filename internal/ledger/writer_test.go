// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/store"
)

// memory is a store whose puts answer as told.
type memory struct {
	objects map[string][]byte
	// answers says, put by put, what happens: ok, lost (written, answer
	// lost) or down.
	answers []string
}

func (m *memory) client() *store.Client {
	return &store.Client{
		Put: func(_ context.Context, _, name string, _ int64, value []byte) (int64, error) {
			what := "ok"
			if len(m.answers) > 0 {
				what, m.answers = m.answers[0], m.answers[1:]
			}
			if what == "down" {
				return 0, store.ErrUnavailable
			}
			if _, ok := m.objects[name]; ok {
				return 0, store.ErrConflict
			}
			m.objects[name] = append([]byte(nil), value...)
			if what == "lost" {
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

// TestLostAnswers writes every record exactly once though answers are lost and
// records are added between a write and its repeat.
func TestLostAnswers(t *testing.T) {
	m := &memory{objects: make(map[string][]byte), answers: []string{"down", "lost", "down", "ok", "lost", "lost"}}
	var confirmed []string
	w := New(zap.NewNop(), m.client(), Options[string]{Kind: "k", Prefix: "p", Most: 5, OnWritten: func(b []string) { confirmed = append(confirmed, b...) }})
	want := []string{}
	for i := range 8 {
		r := fmt.Sprint(i)
		if !w.Add(r) {
			t.Fatalf("record %s was lost", r)
		}
		want = append(want, r)
		w.writeOne(t.Context())
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

// TestBound counts what does not fit as lost.
func TestBound(t *testing.T) {
	w := New(zap.NewNop(), (&memory{objects: map[string][]byte{}}).client(), Options[int]{Kind: "k", Prefix: "p", Most: 2})
	for i := range 5 {
		w.Add(i)
	}
	if held, lost := w.Held(); held != 2 || lost != 3 {
		t.Errorf("got %d held and %d lost, want 2 and 3", held, lost)
	}
}

// TestLargeBatch cuts a batch that would outgrow an object.
func TestLargeBatch(t *testing.T) {
	m := &memory{objects: make(map[string][]byte)}
	w := New(zap.NewNop(), m.client(), Options[string]{Kind: "k", Prefix: "p", Most: 100})
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
