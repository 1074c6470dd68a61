// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package config

import (
	"fmt"
	"strings"
	"testing"
)

const tree = `models:
  m:
    versions:
      "1": {pool: p, cost: 1, quality: 0.5}
      "2": {pool: p, cost: 5, quality: 0.9}
services:
  s: {pool: q}
values: {answerWithin: 10s, allow: [m]}
workspaces:
  w:
    keyHashes: ["sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]
    workloads:
      l:
        values: {qualityTarget: 0.8}
        districts:
          d: {values: {answerWithin: 1s, allow: [m@2]}}
`

func TestInheritance(t *testing.T) {
	f, err := ParseFile("tree", []byte(tree))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Preview(f.Nodes())
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ ws, wl, d, key, value, level, path string }{
		{"w", "l", "d", "answerWithin", "1s", "district", "w/l/d"},
		{"w", "l", "d", "qualityTarget", "0.8", "workload", "w/l"},
		{"w", "l", "d", "allow", "[m@2]", "district", "w/l/d"},
		{"w", "l", "unknown", "answerWithin", "10s", "fleet", ""},
		{"w", "", "", "qualityTarget", "0", "default", ""},
		{"nobody", "l", "", "answerWithin", "10s", "fleet", ""},
	}
	for _, tt := range tests {
		got := s.Effective(tt.ws, tt.wl, tt.d).Setting(tt.key)
		if got.Value != tt.value || string(got.Origin.Level) != tt.level || got.Origin.Path != tt.path {
			t.Errorf("%s at %s/%s/%s: got %+v, want %s from %s %s", tt.key, tt.ws, tt.wl, tt.d, got, tt.value, tt.level, tt.path)
		}
	}
	if got, want := len(s.Candidates(s.Effective("w", "l", "d"))), 1; got != want {
		t.Errorf("candidates of the district: got %d, want %d", got, want)
	}
}

// TestProblems checks that each error in a file is reported with file, line, key
// and what is allowed.
func TestProblems(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown key", "answerWithin: 10s", "answerWithn: 10s", "tree:8: answerWithn:"},
		{"wrong type", "cost: 1,", "cost: dear,", "tree:4: dear:"},
		{"impossible value", "quality: 0.5", "quality: 7", "tree:4: models.m.versions.1.quality: 7 is not allowed; allowed: 0 to 1"},
		{"invalid length of time", "answerWithin: 10s", "answerWithin: soon", "tree:8: values.answerWithin: a length of time"},
		{"out of range", "answerWithin: 10s", "answerWithin: 1ms", "tree:8: values.answerWithin: 1ms is not allowed; allowed: 10ms to 24h"},
		{"unknown model", "allow: [m]", "allow: [n]", `"n" names no model`},
		{"unknown service", "      l:\n", "      l:\n        serves: x\n", `"x" is not allowed; allowed: chat or one of services`},
		{"quality target that no version meets", "qualityTarget: 0.8", "qualityTarget: 0.95", "tree:13: workspaces.w.workloads.l: qualityTarget 0.95 cannot be met"},
		{"only allowed version withdrawn", "quality: 0.9}", "quality: 0.9, state: withdrawn}", "every allowed version is withdrawn"},
		{"short API key hash", "sha256:aaaa", "sha256:a", "64 hexadecimal digits"},
		{"duplicate key", "services:", "models: {}\nservices:", "models"},
	}
	for _, tt := range tests {
		text := strings.Replace(tree, tt.old, tt.new, 1)
		_, err := ParseFile("tree", []byte(text))
		if got := fmt.Sprint(err); !strings.Contains(got, tt.want) {
			t.Errorf("%s: got %q, want %q in it", tt.name, got, tt.want)
		}
	}
}

func TestAdvance(t *testing.T) {
	f, _ := ParseFile("tree", []byte(tree))
	s, err := Preview(f.Nodes())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Advance(s.Head, nil); err != ErrRevision {
		t.Errorf("same revision: got %v, want %v", err, ErrRevision)
	}
	next := s.Head.Next(map[string]string{"w/l": "nowhere"}, Change{ID: "c"})
	if _, err := s.Advance(next, nil); err != ErrMissing {
		t.Errorf("missing node: got %v, want %v", err, ErrMissing)
	}
	if _, err := s.Advance(next, map[string][]byte{"nowhere": []byte("{}")}); err != ErrCorrupt {
		t.Errorf("corrupt node: got %v, want %v", err, ErrCorrupt)
	}
}

func TestRoundTrip(t *testing.T) {
	f, _ := ParseFile("tree", []byte(tree))
	a := f.Nodes()
	b := FileOf(a).Nodes()
	for path, n := range a {
		_, want := n.Encode()
		if _, got := b[path].Encode(); got != want {
			t.Errorf("%s: the node has another hash after the round trip", path)
		}
	}
}

// TestNodeWithoutParent checks a tree in which parents are missing, as the merge of two edits may
// leave them. CheckNodes must report each such node. Guards against a panic of the process that
// applies the edits.
func TestNodeWithoutParent(t *testing.T) {
	f, _ := ParseFile("tree", []byte(tree))
	nodes := f.Nodes()
	nodes["gone/l"] = Node{}
	nodes["w/gone/d"] = Node{}
	got := fmt.Sprint(CheckNodes("merged", nodes))
	for _, want := range []string{"merged:1: workspaces.gone.workloads.l: gone, which", "merged:1: workspaces.w.workloads.gone.districts.d: w/gone, which"} {
		if !strings.Contains(got, want) {
			t.Errorf("got %q, want %q in it", got, want)
		}
	}
	if _, ok := FileOf(nodes).Workspaces["gone"].Workloads["l"]; !ok {
		t.Error("FileOf: got no workload l of the workspace gone, want one")
	}
}
