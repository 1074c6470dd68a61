// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package spread

import (
	"os"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/traildrift/traildrift/internal/assert"
	"github.com/traildrift/traildrift/internal/draws"
	"github.com/traildrift/traildrift/pkg/config"
)

func TestMain(m *testing.M) {
	draws.FixSeed()
	os.Exit(m.Run())
}

// Several goroutines call Advance with revisions in any order. The revision in force must never
// decrease, and must be the highest in the end.
func TestRevisionNeverGoesBack(t *testing.T) {
	assert.SetFatal()
	rapid.Check(t, func(t *rapid.T) {
		moved := make([]int64, 0, 16)
		var mu sync.Mutex
		h := New(zap.NewNop(), time.Now, func(s *config.Snapshot) {
			mu.Lock()
			defer mu.Unlock()
			moved = append(moved, s.Head.Revision)
		})
		offers := rapid.SliceOfN(rapid.Int64Range(1, 20), 1, 12).Draw(t, "offers")
		newest := int64(0)
		var wg sync.WaitGroup
		for _, r := range offers {
			newest = max(newest, r)
			wg.Add(1)
			go func() {
				defer wg.Done()
				before := h.Revision()
				err := h.Advance(config.Head{Revision: r}, nil)
				if after := h.Revision(); after < before || (err == nil && after < r) {
					t.Errorf("offered %d: got %d after %d", r, after, before)
				}
			}()
		}
		wg.Wait()
		if got := h.Revision(); got != newest {
			t.Errorf("offers %v: got %d in force, want %d", offers, got, newest)
		}
		seen := make(map[int64]bool)
		for _, r := range moved {
			if seen[r] {
				t.Errorf("revision %d was taken over twice", r)
			}
			seen[r] = true
		}
	})
}
