// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import (
	"fmt"
	"slices"
	"testing"
)

func TestRetired(t *testing.T) {
	var p Retired
	for i := range 10 {
		p = p.With(fmt.Sprint("v", i))
	}
	if got, want := p.List(), []string{"v9", "v8", "v7", "v6", "v5", "v4"}; !slices.Equal(got, want) {
		t.Errorf("after ten versions: got %v, want %v", got, want)
	}
	if got, want := p.With("v6").List(), []string{"v6", "v9", "v8", "v7", "v5", "v4"}; !slices.Equal(got, want) {
		t.Errorf("with a version again: got %v, want %v", got, want)
	}
	if got, want := p.Without("v8").List(), []string{"v9", "v7", "v6", "v5", "v4"}; !slices.Equal(got, want) {
		t.Errorf("without a version: got %v, want %v", got, want)
	}
	if got := RetiredOf(p.List()); got != p {
		t.Errorf("from the list: got %v, want %v", got, p)
	}
	if p.Has("") || !p.Has("v4") || p.Has("v3") {
		t.Errorf("Has of empty, v4, v3: got %v, %v, %v, want true for v4 only", p.Has(""), p.Has("v4"), p.Has("v3"))
	}
}

// TestSuccessor checks which versions are retired when the next one is ordered, by the state of
// the last trial.
func TestSuccessor(t *testing.T) {
	for _, c := range []struct {
		state TrialState
		order string
		want  []string
	}{
		{Proven, "v3", []string{"v1"}},
		{Rejected, "v3", []string{"v2", "v1"}},
		{Trying, "v3", []string{"v2", "v1"}},
		{Rejected, "v1", []string{"v2"}},
	} {
		last := Trial{Service: "s", Version: "v2", State: c.state, Step: 3, Retired: RetiredOf([]string{"v1"})}
		got := last.Successor(c.order)
		if got.State != Ordered || got.Step != 0 || got.Version != c.order || !slices.Equal(got.Retired.List(), c.want) {
			t.Errorf("%s after %s: got %+v, want %v retired", c.order, c.state, got, c.want)
		}
	}
}
