// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package epoch

import (
	"slices"
	"testing"
)

// Guards against an order by the number alone, which goes back when the store does.
func TestRevisionsOfALaterEpochAreLater(t *testing.T) {
	ordered := []Revision{None, At(0, 0), At(0, 1), At(0, maxNumber), At(1, 0), At(1, 36), At(2, 34), At(2, 36), At(MaxEpoch, 0)}
	if !slices.IsSorted(ordered) || len(slices.Compact(slices.Clone(ordered))) != len(ordered) {
		t.Errorf("got %v, want each after the one before", ordered)
	}
	for _, r := range ordered {
		if got := At(r.Epoch(), r.Number()); got != r {
			t.Errorf("%v taken apart and put together: got %v", r, got)
		}
	}
	if got, want := At(1, 1<<50), At(1, maxNumber); got != want {
		t.Errorf("number out of range: got %v, want %v, in the same epoch", got, want)
	}
}
