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

	"github.com/traildrift/traildrift/internal/mirror"
)

// longSpec returns a configuration of many routes.
func longSpec() json.RawMessage {
	var list []string
	for i := range 400 {
		list = append(list, fmt.Sprintf(`{"name":"r-%d","host":"h%d.example","prefix":"/p%d/","kind":"stream","timeout":25000}`, i, i%7, i))
	}
	return json.RawMessage(`{"routes":[` + strings.Join(list, ",") + `]}`)
}

func TestLongSpecificationsArePacked(t *testing.T) {
	p := serve(t, "p")
	a := asker(p)
	now := time.Now()
	spec := longSpec()
	p.mirror.Replace("config", []mirror.Object{{Name: "a", Revision: 5, Spec: spec}}, 5, now, time.Time{})
	p.mirror.Replace("k", nil, 5, now, time.Time{})
	d, _ := p.mirror.Since("config", -1)
	var ps packs
	sent := encode("config", d, now.Sub(d.ConfirmedAt), now, &ps, false)
	text, err := json.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	if got, most := len(text), len(spec)/5; got > most {
		t.Errorf("sent: got %d bytes of %d, want at most %d", got, len(spec), most)
	}
	again := encode("config", d, now.Sub(d.ConfirmedAt), now, &ps, false)
	if &sent.Changes[0].Packed[0] != &again.Changes[0].Packed[0] {
		t.Error("sent again: packed anew, want what was kept")
	}
	var got mirror.Object
	a.Mirror.OnChange = func(kind string, c mirror.Change) {
		if kind == "config" {
			got = c.Object
		}
	}
	if !a.ask(context.Background(), p.Peer, true) {
		t.Fatal("ask: got false, want true")
	}
	if string(got.Spec) != string(spec) {
		t.Errorf("specification: got %d bytes, want the %d that were stored", len(got.Spec), len(spec))
	}
}

func TestBrokenPackIsRefused(t *testing.T) {
	k := kindAnswer{Changes: []wireChange{{Object: mirror.Object{Name: "a", Revision: 1}, Packed: []byte("no gzip")}}}
	if got, err := k.decode(time.Now()); err == nil {
		t.Errorf("got %v, want an error", got)
	}
}
