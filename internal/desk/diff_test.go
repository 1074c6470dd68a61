// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package desk

import (
	"bytes"
	"strings"
	"testing"

	"github.com/traildrift/traildrift/pkg/config"
)

// TestDiff changes a value at the fleet's level: the difference lists every path below that inherits
// the value, with the level that set it, but not those that override it.
func TestDiff(t *testing.T) {
	const tree = `
models: {m: {versions: {"1": {pool: p, cost: 1, quality: 0.9}}}}
values: {allow: [m]}
workspaces:
  a: {keyHashes: [], values: {answerWithin: 10s}, workloads: {x: {}}}
  b: {keyHashes: [], workloads: {y: {}}}
`
	build := func(text string) *config.Snapshot {
		f, err := config.ParseFile("test", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		s, err := config.Preview(f.Nodes())
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	var got bytes.Buffer
	if err := Diff(&got, build(tree), build(strings.Replace(tree, "values: {allow: [m]}", "values: {allow: [m], answerWithin: 5s}", 1))); err != nil {
		t.Fatal(err)
	}
	want := "(fleet): answerWithin: 1m0s -> 5s (set at fleet (fleet), revision 1)\n" +
		"b: answerWithin: 1m0s -> 5s (set at fleet (fleet), revision 1)\n" +
		"b/y: answerWithin: 1m0s -> 5s (set at fleet (fleet), revision 1)\n"
	if got.String() != want {
		t.Errorf("got\n%s\nwant\n%s", got.String(), want)
	}
}
