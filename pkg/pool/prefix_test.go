// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"testing"
	"time"
)

func TestLeastRecentHolderIsReplaced(t *testing.T) {
	var h prefixTable
	for i := range uint64(maxHolders + 1) {
		h.record(7, i+1, t0.Add(time.Duration(i)*time.Second))
	}
	h.record(7, 2, t0.Add(time.Minute))
	got := make(map[uint64]bool)
	for _, q := range h.lookup(7) {
		got[q.endpoint] = true
	}
	if len(got) != maxHolders || got[1] || !got[2] || !got[maxHolders+1] {
		t.Errorf("holders: got %v, want the %d most recently used", got, maxHolders)
	}
	h.forget(7, 2)
	for _, q := range h.lookup(7) {
		if q.endpoint == 2 {
			t.Error("removed holder: got it, want none")
		}
	}
	h.forget(8, 2)
}

func TestPrefixesAreBounded(t *testing.T) {
	var h prefixTable
	for i := range uint64(5 * maxPrefixes) {
		h.record(i, 1, t0)
	}
	if got := len(h.young) + len(h.old); got > 2*maxPrefixes {
		t.Errorf("prefixes: got %d, want at most %d", got, 2*maxPrefixes)
	}
	last := uint64(5*maxPrefixes - 1)
	if h.lookup(last) == nil || h.lookup(0) != nil {
		t.Errorf("holders: got %v of the last prefix and %v of the first, want only those of the last", h.lookup(last), h.lookup(0))
	}
}
