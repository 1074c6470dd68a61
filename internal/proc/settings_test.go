// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package proc

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/traildrift/traildrift/pkg/config"
)

// TestLoadReportsEveryProblem loads a file with unknown keys, values of the wrong type and
// values that Check rejects. Load must report all of them together.
func TestLoadReportsEveryProblem(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.yaml")
	text := "vm: x\nlink: 1\navailabilityZone: z\ncolour: red\nkeys: k\nlogLevel: loud\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var c Common
	var ps config.Problems
	if err := Load(file, &c); !errors.As(err, &ps) {
		t.Fatalf("got %v, want problems", err)
	}
	lines := make(map[int]int)
	for _, p := range ps {
		lines[p.Line]++
	}
	// Line 1 stands for the two missing addresses, operators and platform.
	want := map[int]int{1: 2, 2: 1, 4: 1, 6: 1}
	for line, n := range want {
		if lines[line] != n {
			t.Errorf("line %d: got %d problems, want %d", line, lines[line], n)
		}
	}
	if len(ps) != 5 {
		t.Errorf("problems: got %d, want 5:\n%v", len(ps), ps)
	}
}
