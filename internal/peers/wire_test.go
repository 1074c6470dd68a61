// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/elems"
	"github.com/traildrift/traildrift/internal/mirror"
)

// Guards against a pull response that is lost for one change that can't be encoded, and against an object that its
// recipients take for removed as it is missing from a whole list.
func TestUnreadableObjectCostsItself(t *testing.T) {
	for _, compress := range []bool{false, true} {
		d := mirror.Delta{Revision: 40, Full: true}
		for i := range 2 * minCompressedList {
			d.Changes = append(d.Changes, mirror.Change{Object: mirror.Object{Name: string(rune('a' + i)), Revision: 7, Spec: json.RawMessage(`{"b":7}`)}})
		}
		d.Changes[3].Spec = json.RawMessage(`{"b":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`)
		d.Changes[5].Spec = json.RawMessage(`{"b":`)
		now := time.Now()
		sent := pullResponse{Kinds: map[string]kindChanges{"k": encodeDelta("k", d, 0, now, &compressionCache{}, compress)}}
		var buf bytes.Buffer
		if err := sent.encode(&buf); err != nil {
			t.Fatalf("compressed %v: %v", compress, err)
		}
		got, err := decodeResponse(&buf)
		if err != nil {
			t.Fatalf("compressed %v: %v", compress, err)
		}
		k := got.Kinds["k"]
		list, bad, err := k.decode(now)
		if err != nil || len(list) != len(d.Changes) || len(bad) != 0 {
			t.Fatalf("compressed %v: got %d changes, %d left out, %v, want %d", compress, len(list), len(bad), err, len(d.Changes))
		}
		for i, c := range list {
			var v struct{ B int }
			if err := elems.Object(c.Spec, &v); (err == nil) != (i != 3 && i != 5) {
				t.Errorf("compressed %v, change %d: got %v, %v, want that 3 and 5 alone can't be read", compress, i, v, err)
			}
		}
	}
}

// FuzzPullResponse checks that no response panics the decoder, and that each change that it yields can be told to others.
func FuzzPullResponse(f *testing.F) {
	packed, err := compress([]byte(`[{"name":"a","revision":1,"spec":{}},7]`))
	if err != nil {
		f.Fatal(err)
	}
	for _, s := range []string{
		`{"kinds":{"k":{"revision":3,"changes":[{"name":"a","revision":2,"spec":{"b":1}},7,{"name":[]}]}}}`,
		`{"kinds":{"k":null,"l":{"changes":[{"packed":"AAAA"}]}}}`,
		`{"kinds":{"k":{"bytes":99999999999}}}`,
		`{"kinds":{"k":{"epoch":-1,"changes":[{"revision":-9}]}}}`,
		`{"kinds":{"k":{"bytes":` + string(rune('0'+len(packed)%10)) + `}}}`,
	} {
		f.Add([]byte(s + "\n"))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := decodeResponse(bytes.NewReader(text))
		if err != nil {
			return
		}
		now := time.Unix(1e9, 0)
		for kind, k := range got.Kinds {
			list, _, err := k.decode(now)
			if err != nil {
				continue
			}
			for _, c := range list {
				if _, err := json.Marshal(c.Object); err != nil {
					t.Errorf("%s: %q can't be told to others: %v", kind, c.Spec, err)
				}
			}
		}
	})
}

// Guards against a whole list that removes an object that could not be decoded.
func TestBadChangeOfWholeListRemovesNothing(t *testing.T) {
	got, err := decodeResponse(strings.NewReader(`{"kinds":{"k":{"revision":9,"whole":true,"changes":[{"name":"a","revision":"x"},7,{"name":"b","revision":3}]}}}` + "\n"))
	if err != nil {
		t.Fatal(err)
	}
	k := got.Kinds["k"]
	list, bad, err := k.decode(time.Now())
	if err != nil || len(list) != 2 || len(bad) != 1 {
		t.Fatalf("got %d changes, %d left out, %v, want a, b and one without a name", len(list), len(bad), err)
	}
	names := map[string]bool{}
	for _, c := range list {
		names[c.Name] = elems.Object(c.Spec, &struct{}{}) == nil
	}
	if names["a"] || len(names) != 2 {
		t.Errorf("changes: got %v, want a, which can't be read, and b", names)
	}
}
