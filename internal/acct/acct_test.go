// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package acct

import (
	"bytes"
	"encoding/csv"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/golden"
)

// readTestLogs returns the account of the logs in testdata. They are of three routers; the clock of
// one is 90 s ahead.
func readTestLogs(t *testing.T) *Account {
	t.Helper()
	a := New()
	for _, name := range []string{"a-1.log", "b-1.log", "c-1.log"} {
		f, err := os.Open(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		if err := a.Read(strings.TrimSuffix(name, ".log"), f); err != nil {
			t.Fatal(err)
		}
		if err := f.Close(); err != nil {
			t.Fatal(err)
		}
	}
	a.Finish()
	return a
}

func TestTables(t *testing.T) {
	a := readTestLogs(t)
	var out bytes.Buffer
	if err := a.Write(&out, 0); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "account.golden", out.Bytes())
}

func TestCSV(t *testing.T) {
	a, dir := readTestLogs(t), t.TempDir()
	if err := a.WriteCSV(dir); err != nil {
		t.Fatal(err)
	}
	for _, table := range a.Tables() {
		text, err := os.ReadFile(filepath.Join(dir, table.Name+".csv"))
		if err != nil {
			t.Fatal(err)
		}
		rows, err := csv.NewReader(bytes.NewReader(text)).ReadAll()
		if err != nil {
			t.Fatal(err)
		}
		if got, want := len(rows), len(table.Rows)+1; got != want {
			t.Errorf("%s.csv: got %d rows, want %d", table.Name, got, want)
		}
	}
}

func TestPlots(t *testing.T) {
	for _, a := range []*Account{readTestLogs(t), New()} {
		dir := t.TempDir()
		a.Finish()
		if err := a.WritePlots(dir); err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"heads.svg", "lateness.svg", "load.svg", "calls.svg"} {
			text, err := os.ReadFile(filepath.Join(dir, name))
			if err != nil || !bytes.Contains(text, []byte("<svg")) {
				t.Errorf("%s: got no drawing, error %v", name, err)
			}
		}
	}
}

// The parts into which the time of a request is divided add up to the whole.
func TestDivide(t *testing.T) {
	end := &line{HeadMs: 1000, WaitedMs: 250}
	attempts := []line{
		{HeadMs: 200, Outcome: "failed"},
		{HeadMs: 100, Outcome: outcomeSilent},
		{HeadMs: 150, Outcome: outcomeDropped},
		{HeadMs: 500, Outcome: "delivered", ReadMs: 120, WaitMs: 80},
	}
	want := map[Cause]int64{EarlierRequest: 250, FailedAttempt: 200, SilenceTimeout: 100, SmallerModel: 150, PromptRead: 120, QueueWait: 80, UnpredictedWait: 300, Router: 50}
	got := make(map[Cause]int64)
	for _, p := range divideTime(attempts, end) {
		got[p.cause] += p.ms
	}
	for c, ms := range want {
		if got[c] != ms {
			t.Errorf("%s: got %d ms, want %d", c, got[c], ms)
		}
	}
}

func TestCorrelation(t *testing.T) {
	a := New()
	for i := range int64(10) {
		a.addHeadTime("r", &line{WaitMs: i, ReadMs: 2 * i, HeadMs: 5 + 6*i})
	}
	if got := a.headTimes[headTimeKey{"r", ""}].Correlation(); math.Abs(got-1) > 1e-9 {
		t.Errorf("correlation: got %v, want 1", got)
	}
	if got := (&HeadTimes{N: 1}).Correlation(); got != 0 {
		t.Errorf("correlation of a single attempt: got %v, want 0", got)
	}
}

// A clock that is an hour ahead is corrected. A log without a configuration in common with others,
// which gives nothing to compare, keeps its times.
func TestAlign(t *testing.T) {
	t0 := time.Unix(1000, 0)
	log := func(ahead time.Duration, versions ...string) *source {
		s := &source{configTimes: make(map[string]time.Time)}
		for i, v := range versions {
			s.configTimes[v] = t0.Add(time.Duration(i)*time.Second + ahead)
		}
		return s
	}
	a, b, c, alone := log(0, "1", "2", "3"), log(time.Hour, "1", "2", "3"), log(20*time.Millisecond, "1", "2", "3"), log(time.Hour, "9")
	alignClocks([]*source{a, b, c, alone})
	if got := b.clockOffset - a.clockOffset; got != time.Hour {
		t.Errorf("offset of the clock that is 1h ahead: got %v, want 1h", got)
	}
	if alone.clockOffset != 0 {
		t.Errorf("offset of a log without a common configuration: got %v, want 0", alone.clockOffset)
	}
}

// The lines of two requests that end at the same time interleave. Guards against attempts that count
// for the route of another request.
func TestRequestsInterleave(t *testing.T) {
	const log = `{"msg":"relay: An attempt has ended.","request":"r1","endpoint":"e1","model":"m1","outcome":"delivered","headMs":10}
{"msg":"relay: An attempt has ended.","request":"r2","endpoint":"e2","model":"m2","outcome":"delivered","headMs":20}
{"msg":"relay: A request has ended.","request":"r1","route":"one","outcome":"whole","headMs":10}
{"msg":"relay: A request has ended.","request":"r2","route":"two","outcome":"whole","headMs":20}
`
	a := New()
	if err := a.Read("a-1", strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	for key, want := range map[headTimeKey]int{{"one", "m1"}: 1, {"two", "m2"}: 1, {"one", "m2"}: 0} {
		got := 0
		if h := a.headTimes[key]; h != nil {
			got = h.N
		}
		if got != want {
			t.Errorf("attempts of %v: got %d, want %d", key, got, want)
		}
	}
	if got := len(a.sources[0].attempts); got != 0 {
		t.Errorf("requests whose end was not read: got %d, want none", got)
	}
}

func BenchmarkRead(b *testing.B) {
	text, err := os.ReadFile(filepath.Join("testdata", "a-1.log"))
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	a := New()
	for range b.N {
		if err := a.Read("a-1", bytes.NewReader(text)); err != nil {
			b.Fatal(err)
		}
	}
}
