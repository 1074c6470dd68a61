// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"reflect"
	"testing"

	"github.com/traildrift/traildrift/pkg/roll"
)

// fullReport returns a report with the maximum number of routes and faults.
func fullReport() roll.Report {
	r := roll.Report{Trial: 1 << 60, Reporter: 77, Requests: 90000, Exposed: 4000}
	for i := range uint32(roll.MaxRows) {
		r.Routes = append(r.Routes, roll.RouteCounts{Route: i, OldGood: 100 * i, OldBad: i, NewGood: 7, NewGoodLight: 8})
	}
	for i := range uint32(roll.MaxFaults) {
		r.Faults = append(r.Faults, roll.FaultCounts{Route: i, Endpoint: 1 << 31, Loaded: 3, Light: i})
	}
	return r
}

func TestReportsFitIntoADatagram(t *testing.T) {
	want := fullReport()
	b, err := encodeTrialReport(make([]byte, bodyAt), want)
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > maxDatagramBytes {
		t.Errorf("encoded: got %d bytes, want at most %d", len(b), maxDatagramBytes)
	}
	got, err := decodeTrialReport(b[bodyAt:])
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded: got %+v and %v, want %+v", got, err, want)
	}
}

func TestInvalidReportsAreRejected(t *testing.T) {
	b, err := encodeTrialReport(nil, fullReport())
	if err != nil {
		t.Fatal(err)
	}
	for n := range b {
		if _, err := decodeTrialReport(b[:n]); err == nil {
			t.Fatalf("%d bytes of %d: got no error, want one", n, len(b))
		}
	}
	if _, err := decodeTrialReport(append(b, 0)); err == nil {
		t.Error("report with an extra byte: got no error, want one")
	}
	tooMany := fullReport()
	tooMany.Routes = append(tooMany.Routes, roll.RouteCounts{})
	if _, err := encodeTrialReport(nil, tooMany); err == nil {
		t.Error("report with a route too many: got no error, want one")
	}
}

// FuzzReport checks that any bytes decode without a panic, and that what was decoded is encoded to
// the same bytes.
func FuzzReport(f *testing.F) {
	b, err := encodeTrialReport(nil, fullReport())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, in []byte) {
		r, err := decodeTrialReport(in)
		if err != nil {
			return
		}
		out, err := encodeTrialReport(nil, r)
		if err != nil || string(out) != string(in) {
			t.Errorf("got %x and %v, want %x", out, err, in)
		}
	})
}
