// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fault

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestErrorsPage checks that docs/ERRORS.md has exactly the rows of the table.
func TestErrorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/ERRORS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range Kinds() {
		a := k.Answer()
		want := fmt.Sprintf("| `%s` | %d | %v | %v | %s |", k, a.Status, a.RetryLater, a.RetryElsewhere, a.Advice)
		if !strings.Contains(string(page), want+"\n") {
			t.Errorf("docs/ERRORS.md lacks the row\n%s", want)
		}
	}
	if got, want := strings.Count(string(page), "\n| `"), len(Kinds()); got != want {
		t.Errorf("rows in docs/ERRORS.md: got %d, want %d", got, want)
	}
}

func TestFrom(t *testing.T) {
	e := New(Overloaded, NotRun, "full")
	if got := From(fmt.Errorf("x: %w", e), Ran); got != e {
		t.Errorf("a wrapped Error: got %v, want %v", got, e)
	}
	if got := From(Stopping, NotRun); got.Kind != Stopping || got.Run != NotRun {
		t.Errorf("a kind: got %v, want stopping, notRun", got)
	}
	if got := From(errors.New("x"), MayHaveRun); got.Kind != Internal || got.Run != MayHaveRun {
		t.Errorf("another error: got %v, want internal, mayHaveRun", got)
	}
	hidden := From(errors.New("dial 10.0.0.1"), MayHaveRun)
	if body, err := json.Marshal(Body{Error: hidden}); err != nil || strings.Contains(string(body), "10.0.0.1") {
		t.Errorf("body for the caller: got %s, %v, want it without the text of an internal error", body, err)
	}
	if got := hidden.Error(); !strings.Contains(got, "10.0.0.1") {
		t.Errorf("text for logs: got %s, want it with the cause", got)
	}
	if !errors.Is(e, Overloaded) {
		t.Error("errors.Is with the kind: got false, want true")
	}
}
