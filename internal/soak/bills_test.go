// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package soak

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/internal/drive"
	"github.com/traildrift/traildrift/internal/rig"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/pkg/bill"
)

// newBillRun returns a run whose platform holds the bill lines.
func newBillRun(t *testing.T, lines ...bill.Line) *run {
	body, err := json.Marshal(lines)
	if err != nil {
		t.Fatal(err)
	}
	c := &store.Client{List: func(context.Context, string, string) ([]store.Object, error) {
		return []store.Object{{Value: body}}, nil
	}}
	return &run{f: &rig.Fleet{Store: c}, tally: &tally{notes: make(map[string]*outcomes), chats: make(map[string]*outcomes), errors: make(map[string]int)}}
}

// TestAllBillFaultsAreReported checks bills of which one is missing and another is wrong. Guards
// against a missing line that hides the lines for work that never ran.
func TestAllBillFaultsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newBillRun(t, bill.Line{ID: "kahurangi/k2"})
		r.tally.notes["w1"] = &outcomes{key: "k1", whole: 1, at: time.Now()}
		r.tally.notes["w2"] = &outcomes{key: "k2", notRun: 1}
		r.checkBills(t.Context(), &injector{})
		got := strings.Join(r.violations, "; ")
		if len(r.violations) != 2 || !strings.Contains(got, "w1") || !strings.Contains(got, "w2") {
			t.Errorf("got %q, want one violation for w1 and one for w2", got)
		}
	})
}

// TestLossCountsFromTheFirstAnswer kills both processes that could write the bill line of a run just
// after its first whole answer. A repeat that is answered much later must not make the loss a
// violation, nor may kills at the time of the repeat excuse it.
func TestLossCountsFromTheFirstAnswer(t *testing.T) {
	first := time.Now()
	for _, c := range []struct {
		name   string
		killed time.Duration
		want   int
	}{{"killed after the first answer", time.Second, 0}, {"killed after the repeat", 21 * time.Second, 1}} {
		r := newBillRun(t)
		for _, at := range []time.Time{first, first.Add(20 * time.Second)} {
			r.tally.add(r.tally.notes, "w", "k", drive.Answer{Status: fasthttp.StatusOK, Done: at}, nil)
		}
		at := first.Add(c.killed)
		in := &injector{kills: map[string][]time.Time{store.RoleEntry: {at}, store.RoleEndpoint: {at}}}
		if missing, _ := r.compareBills(nil, in); len(missing) != c.want {
			t.Errorf("%s: got %d missing lines, want %d", c.name, len(missing), c.want)
		}
	}
}
