// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/traildrift/traildrift/pkg/pool"
)

func TestLimitDatagramsHaveTheirLength(t *testing.T) {
	for _, c := range []struct {
		body any
		want int
	}{{Notice{}, noticeBytes}, {LimitQuery{}, limitQueryBytes}} {
		if got := binary.Size(c.body); got != c.want {
			t.Errorf("%T: got %d bytes, want %d", c.body, got, c.want)
		}
	}
}

// TestLimitSharersHaveAShare checks that limit queries go only to routers which themselves compute
// that they have a share of the limit.
func TestLimitSharersHaveAShare(t *testing.T) {
	const routers, endpoints, most = 12, 20, 4
	fleets := make([]*Fleet, routers)
	for i := range fleets {
		fleets[i] = NewFleet(fmt.Sprint("vm-", i))
		for j := range routers {
			fleets[i].Put(Peer{Name: fmt.Sprint("vm-", j)})
		}
	}
	for k := range endpoints {
		id := fmt.Sprint("e-", k)
		share := make(map[string]bool)
		for _, f := range fleets {
			b := pool.NewBook()
			self, all, _ := f.SenderHashes()
			b.SetSenders(pool.Senders{Self: self, All: all})
			b.Put(pool.Entry{ID: id, Revision: 1})
			// Three routers share a limit of 0, and one more for each two requests per second.
			b.Get(id).RecordPeerNotice(pool.Notice{Limit: pool.Limited, PerSecond: 2 * (most - 3)}, b.Get(id).ReceivedAt)
			if holders, self := b.Get(id).LimitSharers(); self {
				share[f.self] = true
			} else if holders != most {
				t.Fatalf("%s: got %d routers that share the limit, want %d", id, holders, most)
			}
		}
		if len(share) != most {
			t.Errorf("%s: got %d routers that compute a share for themselves, want %d", id, len(share), most)
		}
		for _, f := range fleets {
			for _, p := range f.limitSharers(pool.HashOf(id), most) {
				if !share[p.Name] || p.Name == f.self {
					t.Errorf("%s: %s would send a limit query to %s (%x), which has no share", id, f.self, p.Name, xxhash.Sum64String(p.Name))
				}
			}
		}
	}
}

// TestLimitQueryIsAnswered checks that the answer to a limit query reaches the sender under its
// token, that notices arrive, and that a query for which OnLimitQuery returns no answer gets none.
func TestLimitQueryIsAnswered(t *testing.T) {
	list, all := twoTransports(t)
	received := make(chan Notice, 4)
	borrower, lender := list[0], list[1]
	borrower.OnNotice = func(_ netip.Addr, l Notice) { received <- l }
	want := Notice{Endpoint: 7, Incarnation: 8, Limit: uint8(pool.Limited), PerSecond: 2.5, IsAnswer: true, Granted: true, WaitMs: 400}
	lender.OnLimitQuery = func(q LimitQuery) (Notice, bool) {
		return want, q.Incarnation == want.Incarnation && q.PerSecond == want.PerSecond
	}
	stored := Notice{Endpoint: 7, Incarnation: 8, Limit: uint8(pool.Limited), PerSecond: 3, Leaving: true}
	lender.Notices = func() []Notice { return []Notice{stored} }
	for _, n := range list {
		n.fleet.Put(all[0])
		n.fleet.Put(all[1])
	}
	end := runTransports(t, list)
	borrower.SendLimitQuery(LimitQuery{Endpoint: 7, Incarnation: 9, PerSecond: 2.5}, 2, 0)
	borrower.SendLimitQuery(LimitQuery{Endpoint: 7, Incarnation: 8, PerSecond: 2.5}, 2, 1)
	if got := <-received; got != want {
		t.Errorf("answer: got %+v, want %+v", got, want)
	}
	for _, all := range []bool{true, false} {
		lender.SendNotice(stored, all)
		if got := <-received; got != stored {
			t.Errorf("notice sent to all: %v: got %+v, want %+v", all, got, stored)
		}
	}
	borrower.QueryState(all[0].Token)
	if got := <-received; got != stored {
		t.Errorf("notice for a router that has just started: got %+v, want %+v", got, stored)
	}
	end()
}

// TestRemovedRouterKeepsItsShare checks that a router whose registration was removed counts as a
// sender for removedSenderTTL: it may be stopping, or be unreachable only for the routers that
// removed it.
func TestRemovedRouterKeepsItsShare(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFleet("vm-1")
	f.Now = func() time.Time { return now }
	f.Put(Peer{Name: "vm-1"})
	f.Put(Peer{Name: "vm-2"})
	_, _, before := f.SenderHashes()
	f.Remove("vm-2")
	if _, all, generation := f.SenderHashes(); len(all) != 2 || generation != before || f.SenderCount() != 2 {
		t.Errorf("removed: got %d hashes, generation %d, %d senders, want 2, %d and 2", len(all), generation, f.SenderCount(), before)
	}
	f.Put(Peer{Name: "vm-2"})
	if _, all, generation := f.SenderHashes(); len(all) != 2 || generation != before {
		t.Errorf("registered again: got %d hashes, generation %d, want 2 and %d", len(all), generation, before)
	}
	f.Remove("vm-2")
	now = now.Add(removedSenderTTL)
	if _, all, generation := f.SenderHashes(); len(all) != 1 || generation == before {
		t.Errorf("after removedSenderTTL: got %d hashes, generation %d, want 1 and another", len(all), generation)
	}
}
