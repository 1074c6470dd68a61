// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package desk

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/traildrift/traildrift/internal/golden"
)

func TestStory(t *testing.T) {
	log, err := os.ReadFile("testdata/router.log")
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	found, err := Story(&got, "router.log", bytes.NewReader(log), "r1")
	if err != nil || !found {
		t.Fatalf("got %v, %v; want the request found", found, err)
	}
	golden.Check(t, "story.golden", got.Bytes())
}

func TestStoryOfAnotherRequest(t *testing.T) {
	var got bytes.Buffer
	found, err := Story(&got, "x", strings.NewReader("no line of ours\n{broken\n"), "r1")
	if found || err != nil || got.Len() > 0 {
		t.Errorf("got %v, %v and %q; want nothing", found, err, got.String())
	}
}
