// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package elems

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// nested returns lists nested so deeply.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// Guards against values beside a too deep one that are lost or changed.
func TestBound(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{`{"a":[1],"b":2}`, `{"a":[1],"b":2}`},
		{`{"a":[[1]],"b":2}`, `{"a":[null],"b":2}`},
		{`{"a":[{"x":"]}\""},3],"b":[[[]],"[[["]}`, `{"a":[null,3],"b":[null,"[[["]}`},
		{`[[[`, `[[null`},
		{`"\"[[[["`, `"\"[[[["`},
		{``, ``},
	} {
		if got := Bound([]byte(c.text), 2); string(got) != c.want {
			t.Errorf("%s: got %s, want %s", c.text, got, c.want)
		}
	}
	deep := `{"items":[1,` + nested(100_000) + `,2]}`
	var got struct{ Items List[int] }
	if err := json.Unmarshal([]byte(deep), &got); err == nil {
		t.Error("deep text: got no error of encoding/json, want one")
	}
	if err := Unmarshal([]byte(deep), &got); err != nil || !slices.Equal(got.Items.Items, []int{1, 2}) || len(got.Items.Bad) != 1 {
		t.Errorf("deep text: got %v, %v, want 1 and 2", got.Items.Items, err)
	}
}

// Guards against a list that is lost for one element, and against an element that is left out without a word.
func TestListKeepsGoodElements(t *testing.T) {
	var l List[struct{ Port uint16 }]
	if err := Unmarshal([]byte(`[{"port":1},{"port":70000},[],{"port":1e400},{"port":2},"x",{"port":3}]`), &l); err != nil {
		t.Fatal(err)
	}
	var ports []uint16
	for _, v := range l.Items {
		ports = append(ports, v.Port)
	}
	if !slices.Equal(ports, []uint16{1, 2, 3}) {
		t.Errorf("ports: got %v, want 1, 2 and 3", ports)
	}
	if len(l.Bad) != 4 || l.Bad[0].Index != 1 || l.Bad[3].Index != 5 || !strings.Contains(l.Err().Error(), "70000") {
		t.Errorf("left out: got %v, want elements 1, 2, 3 and 5", l.Bad)
	}
	if err := Unmarshal([]byte(`{"port":1}`), &l); err == nil {
		t.Error("object in place of a list: got no error, want one")
	}
}

// Guards against an object that can't be read and passes for an empty one.
func TestUnreadableObjectIsNoObject(t *testing.T) {
	var v struct{ A int }
	for _, text := range []json.RawMessage{nil, json.RawMessage("null"), json.RawMessage("[]"), json.RawMessage("7"), Unreadable(errors.New("too odd"))} {
		if err := Object(text, &v); err == nil {
			t.Errorf("%s: got no error, want one", text)
		}
	}
	if err := Object(Unreadable(errors.New("too odd")), &v); err.Error() != "too odd" {
		t.Errorf("unreadable: got %v, want the reason", err)
	}
	if err := Object(json.RawMessage(`{"a":1}`), &v); err != nil || v.A != 1 {
		t.Errorf("object: got %v, %v, want 1", v.A, err)
	}
}

// FuzzBound checks that JSON within the depth is unchanged, that JSON stays JSON, and that no result is too deep.
func FuzzBound(f *testing.F) {
	for _, s := range []string{`{"a":[[[1]],"]"]}`, `[[[[`, `"\`, `{"a":"\"["}`, nested(20), `]]]][[[[`, `[[],[[[]]],{}]`} {
		f.Add([]byte(s), 2)
	}
	f.Fuzz(func(t *testing.T, text []byte, depth int) {
		if depth < 1 || depth > 100 {
			return
		}
		got := Bound(text, depth)
		if json.Valid(text) && !json.Valid(got) {
			t.Errorf("%q to %d: got %q, want JSON", text, depth, got)
		}
		if json.Valid(got) && deeper(got, depth) >= 0 {
			t.Errorf("%q to %d: got %q, which is deeper", text, depth, got)
		}
		if deeper(text, depth) < 0 && !bytes.Equal(got, text) {
			t.Errorf("%q to %d: got %q, want it unchanged", text, depth, got)
		}
	})
}

// FuzzList checks that a list of JSON values is never lost as a whole.
func FuzzList(f *testing.F) {
	for _, s := range []string{`[1,"a",{}]`, `[]`, `null`, `[1e400]`, `{}`, `[null]`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var raw []json.RawMessage
		want := json.Unmarshal(text, &raw)
		var l List[int]
		if err := json.Unmarshal(text, &l); (err == nil) != (want == nil) {
			t.Errorf("%q: got %v, want as for raw elements: %v", text, err, want)
		}
		if want == nil && len(l.Items)+len(l.Bad) != len(raw) {
			t.Errorf("%q: got %d elements and %d left out, want %d in all", text, len(l.Items), len(l.Bad), len(raw))
		}
	})
}

// Guards against a log line that grows with the number of bad elements, and against one for each reading.
func TestReporterLogsOnceAndShort(t *testing.T) {
	core, logs := observer.New(zap.ErrorLevel)
	r := Reporter{Log: zap.New(core)}
	for range 3 {
		r.Report("k", "a", errors.New(strings.Repeat("x", 1<<20)))
		r.Report("k", "", errors.New("no name"))
	}
	r.Forget("k", "a")
	r.Report("k", "a", errors.New("again"))
	lines := logs.All()
	if len(lines) != 3 {
		t.Fatalf("lines: got %d, want one for each object, and one after it was forgotten", len(lines))
	}
	if got := len(lines[0].ContextMap()["error"].(string)); got != maxReportText {
		t.Errorf("error in a line: got %d bytes, want %d", got, maxReportText)
	}
}
