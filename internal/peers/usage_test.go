// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"fmt"
	"maps"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/duty"
	"github.com/traildrift/traildrift/pkg/usage"
)

// usageOf returns a final report with the counts of so many workspaces.
func usageOf(workspaces int) UsageReport {
	r := UsageReport{WallTime: time.UnixMilli(1_800_000_000_123), token: []byte("token-of-a-0123456")[:tokenBytes], Gossip: duty.Gossip{Holder: "vm-b", Incarnation: 1 << 60, Revision: 77, Settled: 41, Resigned: true}}
	r.Reporter, r.Window, r.Final, r.Counts = usage.Reporter{Router: "vm-a", Incarnation: 1<<63 + 5}, 42, true, usage.Counts{}
	for i := range workspaces {
		r.Counts[fmt.Sprintf("workspace-%03d", i)] = uint64(i + 1)
	}
	r.Total = r.Counts.Sum()
	return r
}

// TestUsageInDatagrams checks that the datagrams of a report of many workspaces have at most
// maxDatagramBytes bytes each, and together hold all counts.
func TestUsageInDatagrams(t *testing.T) {
	for _, n := range []int{0, 1, 60, 333, 1000} {
		want := usageOf(n)
		list, err := encodeUsageReport(&want)
		if err != nil {
			t.Fatal(err)
		}
		got := make(usage.Counts)
		for _, b := range list {
			if len(b) > maxDatagramBytes {
				t.Errorf("%d workspaces: got a datagram of %d bytes, want %d at most", n, len(b), maxDatagramBytes)
			}
			r, err := decodeUsageReport(b[bodyAt:])
			if err != nil {
				t.Fatal(err)
			}
			maps.Copy(got, r.Counts)
			r.Counts = want.Counts
			if !reflect.DeepEqual(*r, want) {
				t.Errorf("%d workspaces: got %+v, want %+v", n, *r, want)
			}
		}
		if !maps.Equal(got, want.Counts) {
			t.Errorf("%d workspaces: got %d counts, want all", n, len(got))
		}
	}
}

func TestUsageAckRoundTrip(t *testing.T) {
	want := UsageAck{Router: "vm-b", Incarnation: 9, Window: 42, Complete: true, TrueTime: time.UnixMilli(1_800_000_000_123), Gossip: duty.Gossip{Holder: strings.Repeat("h", 200), Revision: 8}}
	b, err := encodeUsageAck(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeUsageAck(b[bodyAt:])
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
}

// FuzzUsage checks that any bytes decode without a panic, and that a decoded report can be encoded
// again.
func FuzzUsage(f *testing.F) {
	r := usageOf(3)
	list, err := encodeUsageReport(&r)
	if err != nil {
		f.Fatal(err)
	}
	a, err := encodeUsageAck(UsageAck{Router: "vm-b"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(list[0][bodyAt:])
	f.Add(a[bodyAt:])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := decodeUsageReport(b); err == nil {
			if _, err := encodeUsageReport(r); err != nil {
				t.Errorf("encoding a decoded report: %v", err)
			}
		}
		_, _ = decodeUsageAck(b)
	})
}
