// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"bytes"
	"fmt"
	"regexp"
	"testing"

	"github.com/traildrift/traildrift/internal/desk"
	"github.com/traildrift/traildrift/internal/drive"
	"github.com/traildrift/traildrift/internal/golden"
)

// volatileParts are the parts of an answer that differ from run to run, and their replacements.
var volatileParts = []struct {
	re   *regexp.Regexp
	with string
}{
	{regexp.MustCompile(`\b[0-9a-f]{16}-[0-9a-f]{11}-[0-9a-f]+\b`), "REQUEST"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+(Z|[+-]\d\d:\d\d)`), "TIME"},
	{regexp.MustCompile(`tds1\.[\w.-]+`), "TOKEN"},
}

// normalise replaces the volatile parts of text.
func normalise(text string) string {
	for _, c := range volatileParts {
		text = c.re.ReplaceAllString(text, c.with)
	}
	return text
}

// TestSession compares the answers of real processes with a golden file: chats, a session, a
// service call, refusals and an explanation. It then checks the planned stops and the number of
// bill lines.
func TestSession(t *testing.T) {
	f := startFleet(t, Options{Entries: 2, Pools: testPools(1)})
	var out bytes.Buffer
	record := func(title string, entry int, key string, a drive.Request) drive.Answer {
		got, err := f.Caller(entry, key).Do(a)
		fmt.Fprintf(&out, "== %s\nstatus %d model %q version %q session %q retry %q bad %q err %v\n%s\n", title,
			got.Status, got.Model, got.Version, got.Session, got.RetryAfter, got.InvalidReason, err, got.Body)
		return got
	}
	record("chat, whole", 0, testKey, chat("history", "lot 7", false))
	streamed := record("chat, streamed", 1, testKey, chat("history", "lot 8", true))
	open := chat("tags", "lot 9", false)
	open.Header["Traildrift-Session"] = "new"
	opened := record("session opened", 0, testKey, open)
	kept := chat("tags", "lot 10", false)
	kept.Header["Traildrift-Session"] = opened.Session
	record("session kept at another entry", 1, testKey, kept)
	foreign := chat("hints", "bar 1", false)
	foreign.Header["Traildrift-Session"] = opened.Session
	record("session of another workspace", 0, "lima-key", foreign)
	record("service", 0, testKey, note("", "mortgage discharged"))
	record("model not allowed", 0, "lima-key", chat("deedwriter", "bar 2", false))
	record("wrong key", 0, "nobody", chat("history", "lot 11", false))
	late := chat("history", "lot 12", false)
	late.Header["Traildrift-Deadline"] = "2020-01-01T00:00:00Z"
	record("deadline passed", 0, testKey, late)
	record("no JSON", 0, testKey, drive.Request{Path: "/v1/chat/completions", Body: "{", Deadline: stepDeadline()})
	rec, err := desk.FindTrail(t.Context(), f.Store, streamed.RequestID)
	for err != nil && t.Context().Err() == nil {
		rec, err = desk.FindTrail(t.Context(), f.Store, streamed.RequestID)
	}
	fmt.Fprintln(&out, "== explain the streamed chat")
	if err := desk.Explain(&out, rec); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "session.golden", []byte(normalise(out.String())))
	for _, n := range f.Nodes() {
		if err := n.Stop(stepDeadline()); err != nil {
			t.Errorf("planned stop of %s: got %v, want nil", n.VM.Name, err)
		}
	}
	lines, err := desk.Bills(t.Context(), f.Store, "")
	if err != nil || len(lines) != 5 {
		t.Errorf("bills: got %d lines and %v, want 5 and nil", len(lines), err)
	}
}
