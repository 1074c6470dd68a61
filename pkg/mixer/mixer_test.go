// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package mixer

import "testing"

// TestSequence compares the first numbers from state 0 with those published for SplitMix64.
func TestSequence(t *testing.T) {
	x := uint64(0)
	for i, want := range []uint64{0xe220a8397b1dcdaf, 0x6e789e6aa1b965f4, 0x06c45d188009454f} {
		if got := Next(&x); got != want {
			t.Errorf("number %d: got %#x, want %#x", i, got, want)
		}
	}
}
