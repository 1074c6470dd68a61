// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/ledger"
	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/bill"
)

// TestBillsBeyondBuffer bills more runs than the writer buffers. No line may count as lost,
// as the guard keeps those without room, and a planned stop must write all of them. Guards
// against a stop that writes only the lines that fit into the buffer at once.
func TestBillsBeyondBuffer(t *testing.T) {
	written := make(map[string]bool)
	c := &store.Client{Put: func(_ context.Context, _, _ string, _ int64, value []byte) (int64, error) {
		var lines []bill.Line
		if err := json.Unmarshal(value, &lines); err != nil {
			t.Fatal(err)
		}
		for _, l := range lines {
			written[l.ID] = true
		}
		return 1, nil
	}}
	const runs = 5
	g := &Guard{unbilledLines: make(map[wire.RunKey]unbilledLine)}
	g.bills = ledger.New(zap.NewNop(), c, ledger.Options[bill.Line]{Kind: ledger.KindBills, Prefix: "p", MaxRecords: 2})
	for i := range runs {
		g.unbilledLines[wire.RunKey{RunID: fmt.Sprint(i), Attempt: 1}] = unbilledLine{line: bill.Line{ID: fmt.Sprint(i)}}
	}
	g.billAll()
	if held, lost := g.bills.Held(); held != 2 || lost != 0 {
		t.Errorf("got %d lines held and %d lost, want 2 and 0", held, lost)
	}
	if err := g.flushBills(t.Context()); err != nil || len(written) != runs {
		t.Errorf("flush: got %d lines written, %v, want %d", len(written), err, runs)
	}
}

// TestFailedFetchConfirmsNothing sends a heartbeat with a newer revision whose settings the
// entry does not serve. The guard's settings must not count as confirmed, as they are known
// to be old.
func TestFailedFetchConfirmsNothing(t *testing.T) {
	h := startHarness(t)
	c := h.dial(t)
	beat := func(revision int64) {
		t.Helper()
		var reply wire.HeartbeatReply
		if err := c.Call(t.Context(), wire.MethodHeartbeat, wire.Heartbeat{Stamp: wire.Stamp{Revision: revision}}, &reply); err != nil {
			t.Fatal(err)
		}
	}
	beat(h.holder.Revision())
	confirmed := h.g.Holder.ConfirmedAt()
	if confirmed.IsZero() {
		t.Error("a heartbeat with the same revision: got no confirmation, want one")
	}
	link.Handle(h.local.Mux, wire.MethodDelta, func(context.Context, *link.Conn, wire.Delta) (wire.DeltaReply, error) {
		return wire.DeltaReply{}, errors.New("not served")
	})
	beat(h.holder.Revision() + 1)
	if got := h.g.Holder.ConfirmedAt(); !got.Equal(confirmed) {
		t.Errorf("a heartbeat whose settings were not fetched: got a confirmation %v after the last one, want none", got.Sub(confirmed))
	}
}
