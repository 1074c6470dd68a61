// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"errors"
	"io"
	"strings"
	"testing"
)

func TestBodiesAreBounded(t *testing.T) {
	b := newBodyBudget(5) // the budget is a fifth of 5 MB
	read := func(mb float64) (int, error) {
		text, err := io.ReadAll(b.reader(strings.NewReader(strings.Repeat("x", int(mb*(1<<20))))))
		return len(text), err
	}
	n, err := read(0.75)
	if err != nil {
		t.Fatalf("first body: got %v, want none", err)
	}
	m, err := read(0.75)
	if !errors.Is(err, errBodyBudgetFull) {
		t.Errorf("body beyond the bound: got %v, want %v", err, errBodyBudgetFull)
	}
	b.release(m)
	b.release(n)
	if n, err = read(0.75); err != nil {
		t.Errorf("body after the others were released: got %v, want none", err)
	}
	b.release(n)
	if got := b.usedBytes.Load(); got != 0 {
		t.Errorf("bytes used at the end: got %d, want 0", got)
	}
}
