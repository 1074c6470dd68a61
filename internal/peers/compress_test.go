// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/elems"
	"github.com/traildrift/traildrift/internal/mirror"
)

// longSpec returns a configuration of many routes, which compresses to less than a fifth.
func longSpec() json.RawMessage {
	var list []string
	for i := range 400 {
		list = append(list, fmt.Sprintf(`{"name":"r-%d","host":"h%d.example","prefix":"/p%d/","kind":"stream","timeout":25000}`, i, i%7, i))
	}
	return json.RawMessage(`{"routes":[` + strings.Join(list, ",") + `]}`)
}

func TestLongSpecificationsAreCompressed(t *testing.T) {
	p := startPeer(t, "p")
	pl := newTestPuller(p)
	now := time.Now()
	spec := longSpec()
	p.mirror.Replace("config", []mirror.Object{{Name: "a", Revision: 5, Spec: spec}}, 5, now, time.Time{})
	p.mirror.Replace("k", nil, 5, now, time.Time{})
	d, _ := p.mirror.Since("config", -1)
	var ps compressionCache
	sent := encodeDelta("config", d, now.Sub(d.ConfirmedAt), now, &ps, false)
	text, err := json.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	if got, most := len(text), len(spec)/5; got > most {
		t.Errorf("sent: got %d bytes of %d, want at most %d", got, len(spec), most)
	}
	again := encodeDelta("config", d, now.Sub(d.ConfirmedAt), now, &ps, false)
	if &sent.Changes[0].Compressed[0] != &again.Changes[0].Compressed[0] {
		t.Error("encoded again: compressed anew, want the cached bytes")
	}
	var got mirror.Object
	pl.Mirror.OnChange = func(kind string, c mirror.Change) {
		if kind == "config" {
			got = c.Object
		}
	}
	if !pl.pull(context.Background(), p.Peer, true) {
		t.Fatal("pull: got a stale peer, want a fresh one")
	}
	if string(got.Spec) != string(spec) {
		t.Errorf("specification: got %d bytes, want the %d that were stored", len(got.Spec), len(spec))
	}
}

// Guards against an invalid specification that passes for a valid one, and against others that are lost with it.
func TestInvalidCompressionCostsItsObject(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	packed := func(text string) []byte {
		b, err := compress([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	k := kindChanges{Number: 5, Changes: []wireChange{
		{Object: mirror.Object{Name: "noGzip", Revision: 1}, Compressed: []byte("no gzip")},
		{Object: mirror.Object{Name: "noJSON", Revision: 2}, Compressed: packed(`{"a":`)},
		{Object: mirror.Object{Name: "deep", Revision: 3}, Compressed: packed(`{"a":` + deep + `,"b":7}`)},
		{Object: mirror.Object{Name: "good", Revision: 4}, Compressed: packed(`{"b":7}`)},
	}}
	list, _, err := k.decode(time.Now())
	if err != nil || len(list) != len(k.Changes) {
		t.Fatalf("got %d changes, %v, want %d", len(list), err, len(k.Changes))
	}
	for _, c := range list {
		var v struct{ B int }
		err := elems.Object(c.Spec, &v)
		if readable := c.Name == "deep" || c.Name == "good"; readable != (err == nil && v.B == 7) {
			t.Errorf("%s: got %v, %v, want that it can be read: %v", c.Name, v, err, readable)
		}
		if !json.Valid(c.Spec) {
			t.Errorf("%s: got %.40q, want JSON that can be told to others", c.Name, c.Spec)
		}
	}
}
