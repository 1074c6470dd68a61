// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package commit

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/fakes"
	"github.com/traildrift/traildrift/internal/spread"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/pkg/config"
)

const tree = `
models: {m: {versions: {"1": {pool: p, cost: 1, quality: 0.9}}}}
values: {allow: [m]}
workspaces:
  a: {keyHashes: [], values: {answerWithin: 10s}, workloads: {x: {}}}
  b: {keyHashes: [], workloads: {y: {}}}
`

// startPlatform serves a fake platform that has tree as revision 1.
func startPlatform(t *testing.T) (*fakes.Objects, *store.Client) {
	t.Helper()
	o := fakes.NewObjects(1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := fakes.Serve(ln, o.Handle)
	t.Cleanup(func() { _ = s.Close() })
	c := store.New(ln.Addr().(*net.TCPAddr).AddrPort())
	t.Cleanup(c.Close)
	if _, err := Apply(t.Context(), c, edit(t, "first", -1, tree)); err != nil {
		t.Fatal(err)
	}
	return o, c
}

// edit returns an edit whose nodes are those of a settings file with the given text.
func edit(t *testing.T, id string, base int64, text string) Edit {
	t.Helper()
	f, err := config.ParseFile("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return Edit{ID: id, Author: "author of " + id, Reason: "reason of " + id, At: time.Unix(1, 0), Base: base, Nodes: f.Nodes()}
}

// replaceInTree returns tree with the first occurrence of old replaced.
func replaceInTree(old, now string) string { return strings.Replace(tree, old, now, 1) }

// setting returns the value in force of a setting of a workspace.
func setting(t *testing.T, c *store.Client, workspace, key string) string {
	t.Helper()
	s, err := ReadTree(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	return s.Effective(workspace, "", "").Setting(key).Value
}

// TestRace applies edits of the same base. Edits of different paths must both be in
// force; the second edit of the same path must fail with an Overlap that names the
// author and the reason of the first.
func TestRace(t *testing.T) {
	_, c := startPlatform(t)
	if _, err := Apply(t.Context(), c, edit(t, "one", 1, replaceInTree("answerWithin: 10s", "answerWithin: 20s"))); err != nil {
		t.Fatal(err)
	}
	if _, err := Apply(t.Context(), c, edit(t, "two", 1, replaceInTree("b: {keyHashes: []", "b: {keyHashes: [], values: {concurrency: 7}"))); err != nil {
		t.Errorf("another path: got %v, want nil", err)
	}
	_, err := Apply(t.Context(), c, edit(t, "three", 1, replaceInTree("answerWithin: 10s", "answerWithin: 30s")))
	var o *Overlap
	if !errors.As(err, &o) || len(o.Changes) != 1 || o.Changes[0].Author != "author of one" || !strings.Contains(err.Error(), "reason of one") {
		t.Errorf("the same path: got %v, want an overlap with the first change", err)
	}
	if a, b := setting(t, c, "a", "answerWithin"), setting(t, c, "b", "concurrency"); a != "20s" || b != "7" {
		t.Errorf("in force: got %s and %s, want 20s and 7", a, b)
	}
}

// TestManyOperators applies edits of different paths concurrently while the platform
// loses responses. Each edit must be accepted exactly once, in one total order.
func TestManyOperators(t *testing.T) {
	o, c := startPlatform(t)
	var text strings.Builder
	text.WriteString(strings.TrimRight(tree, "\n") + "\n")
	const operators = 8
	for i := range operators {
		fmt.Fprintf(&text, "  w%d: {keyHashes: [], values: {concurrency: 1}}\n", i)
	}
	if _, err := Apply(t.Context(), c, edit(t, "all", -1, text.String())); err != nil {
		t.Fatal(err)
	}
	o.Set(fakes.Faults{ResponseLossRate: 0.3})
	var wg sync.WaitGroup
	for i := range operators {
		wg.Add(1)
		change := edit(t, fmt.Sprint("op", i), 2, strings.Replace(text.String(), fmt.Sprintf("w%d: {keyHashes: [], values: {concurrency: 1}", i), fmt.Sprintf("w%d: {keyHashes: [], values: {concurrency: %d}", i, 100+i), 1))
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			if _, err := Apply(ctx, c, change); err != nil {
				t.Errorf("operator %d: got %v, want nil", i, err)
			}
		}()
	}
	wg.Wait()
	o.Set(fakes.Faults{})
	for i := range operators {
		if got, want := setting(t, c, fmt.Sprint("w", i), "concurrency"), fmt.Sprint(100+i); got != want {
			t.Errorf("operator %d: got %s, want %s", i, got, want)
		}
	}
	head, _, err := spread.ReadHead(t.Context(), c)
	if err != nil || head.Revision != 2+operators || len(head.Changes) != 2+operators {
		t.Errorf("got revision %d with %d changes, want %d of both", head.Revision, len(head.Changes), 2+operators)
	}
	for i, ch := range head.Changes {
		if want := head.Revision - int64(i); ch.Revision != want {
			t.Errorf("change %d: got revision %d, want %d", i, ch.Revision, want)
		}
	}
}

// TestSameChange applies an edit again, as a client does that has lost the response.
// The edit must not make a second revision.
func TestSameChange(t *testing.T) {
	_, c := startPlatform(t)
	change := edit(t, "once", 1, replaceInTree("answerWithin: 10s", "answerWithin: 20s"))
	first, err := Apply(t.Context(), c, change)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Apply(t.Context(), c, change)
	if err != nil || again.Revision != first.Revision {
		t.Errorf("the same change again: got revision %d %v, want %d", again.Revision, err, first.Revision)
	}
}

// TestKilledTool fails Apply before each of its writes, as if the tool was killed there.
// Until the last write the old setting must stay in force, and the objects that were
// left behind must not prevent the next attempt.
func TestKilledTool(t *testing.T) {
	_, c := startPlatform(t)
	change := edit(t, "killed", 1, replaceInTree("answerWithin: 10s", "answerWithin: 20s"))
	for writes := 0; ; writes++ {
		remaining := writes
		failing := *c
		failing.Put = func(ctx context.Context, kind, name string, ifVersion int64, value []byte) (int64, error) {
			if remaining == 0 {
				return 0, errKilled
			}
			remaining--
			return c.Put(ctx, kind, name, ifVersion, value)
		}
		_, err := Apply(t.Context(), &failing, change)
		if err == nil {
			break
		}
		if !errors.Is(err, errKilled) {
			t.Fatal(err)
		}
		if got := setting(t, c, "a", "answerWithin"); got != "10s" {
			t.Errorf("killed after %d writes: got %s in force, want 10s", writes, got)
		}
	}
	if got := setting(t, c, "a", "answerWithin"); got != "20s" {
		t.Errorf("after all writes: got %s in force, want 20s", got)
	}
}

var errKilled = errors.New("the tool was killed")

// TestUnsound applies an edit that is valid with its base but not with a change that was
// accepted since. Apply must check the merged tree and reject it.
func TestUnsound(t *testing.T) {
	_, c := startPlatform(t)
	twoVersions := replaceInTree(`"1": {pool: p, cost: 1, quality: 0.9}`, `"1": {pool: p, cost: 1, quality: 0.9}, "2": {pool: p, cost: 1, quality: 0.95}`)
	if _, err := Apply(t.Context(), c, edit(t, "two versions", 1, twoVersions)); err != nil {
		t.Fatal(err)
	}
	higherTarget := strings.Replace(twoVersions, "workloads: {y: {}}", "workloads: {y: {values: {qualityTarget: 0.94}}}", 1)
	if _, err := Apply(t.Context(), c, edit(t, "target", 2, higherTarget)); err != nil {
		t.Fatal(err)
	}
	_, err := Apply(t.Context(), c, edit(t, "one version", 2, tree))
	var ps config.Problems
	if !errors.As(err, &ps) || !strings.Contains(err.Error(), "qualityTarget 0.94 cannot be met") {
		t.Errorf("got %v, want the problem of the merged tree", err)
	}
}
