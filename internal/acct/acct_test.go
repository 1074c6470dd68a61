// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package acct

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
	"unsafe"

	"github.com/cockroachdb/errors"

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

// Guards against waits, refusals, prices, predicted ends, moves and silent attempts that are missing in the
// tables or counted wrongly: each value of the golden file follows from contention.log by hand.
func TestContentionTables(t *testing.T) {
	a := New()
	f, err := os.Open(filepath.Join("testdata", "contention.log"))
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.CombineErrors(a.Read("d-1", f), f.Close()); err != nil {
		t.Fatal(err)
	}
	a.Finish()
	var out bytes.Buffer
	for _, table := range a.Tables() {
		switch table.Name {
		case "causes", "held", "refusals", "classes", "ends", "moved", "silent":
			if err := table.write(&out, 0); err != nil {
				t.Fatal(err)
			}
		}
	}
	golden.Check(t, "contention.golden", out.Bytes())
}

// Guards against a table that grows with the workspaces or names one.
func TestClassesAreBounded(t *testing.T) {
	const workspaces = 100_000
	a := New()
	for i := range workspaces {
		a.addContentionRequest(nil, &line{Route: "r", Workspace: fmt.Sprint("workspace-", i), Price: 1}, inTime)
	}
	a.addContentionRequest(nil, &line{Route: "r", Workspace: "workspace-7", Price: 1}, late)
	table := a.classTable()
	if got, limit := len(table.Rows), len(workspaceClasses); got > limit {
		t.Errorf("rows: got %d, want %d at most", got, limit)
	}
	if text := fmt.Sprint(table.Rows); strings.Contains(text, "workspace-") {
		t.Errorf("the table names a workspace: %s", text)
	}
	if row := table.Rows[0]; row[0] != "largest" || row[1] != "1" || row[2] != "2" || row[3] != "1" {
		t.Errorf("largest workspace: got %v, want one workspace with two requests, one of them late", row)
	}
}

// Guards against memory without a bound for long logs, and against requests that are left out of the tables
// without saying so.
func TestMemoryIsBounded(t *testing.T) {
	a := New()
	a.contention.requests = make([]contentionRequest, maxContentionRequests)
	a.addContentionRequest(nil, &line{Route: "r"}, inTime)
	if len(a.contention.requests) != maxContentionRequests || a.OmittedRequests != 1 {
		t.Errorf("requests kept and left out: got %d and %d, want %d and 1", len(a.contention.requests), a.OmittedRequests, maxContentionRequests)
	}
	if got, limit := unsafe.Sizeof(contentionRequest{}), uintptr(32); got > limit {
		t.Errorf("size of a request: got %d bytes, want %d at most", got, limit)
	}
	var s samples
	for range maxSamples + 1 {
		s.add(1)
	}
	if s.n != maxSamples+1 || len(s.kept) != maxSamples {
		t.Errorf("samples: got %d of %d kept, want %d of %d", len(s.kept), s.n, maxSamples, maxSamples+1)
	}
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

// Guards against late streams whose head is blamed on the wrong attempt: a stream that was moved, fell
// silent or broke off after its head was late by the attempt that gave the head, not by what followed.
func TestDivideResumed(t *testing.T) {
	held := int64(30)
	for _, outcome := range []string{outcomeMoved, outcomeSilent, "failed"} {
		attempts := []line{
			{HeadMs: 100, Outcome: "failed"},
			{HeadMs: 600, Outcome: outcome, Status: 200, Events: 3, ReadMs: 150, WaitMs: 50, Endpoint: "e"},
			{HeadMs: 900, Outcome: outcomeDelivered, Status: 200, Events: 3, ReadMs: 500},
		}
		end := &line{HeadMs: 750, HeldMs: &held}
		want := map[Cause]int64{FailedAttempt: 100, PromptRead: 150, QueueWait: 50, UnpredictedWait: 400, Held: 30, Router: 20}
		got, sum := make(map[Cause]int64), int64(0)
		for _, p := range divideTime(attempts, end) {
			got[p.cause] += p.ms
			sum += p.ms
		}
		for _, c := range latenessCauses {
			if got[c] != want[c] {
				t.Errorf("%s: %s: got %d ms, want %d", outcome, c, got[c], want[c])
			}
		}
		if sum != end.HeadMs {
			t.Errorf("%s: sum: got %d ms, want %d", outcome, sum, end.HeadMs)
		}
		if a := headAttempt(attempts); a.Endpoint != "e" {
			t.Errorf("%s: the head is taken to be that of %q, want e", outcome, a.Endpoint)
		}
	}
	if headAttempt(nil) != nil {
		t.Error("a request without attempts has a head")
	}
}

// Guards against the pause of a move or a resumption being missed, as each attempt logs its own pauses
// only. It is unknown where the time of the last event was not logged.
func TestPauseAfter(t *testing.T) {
	t0 := time.Unix(1000, 0)
	attempts := []line{
		{SentAt: t0, TookMs: 1500, Outcome: outcomeMoved, Status: 200, Events: 3, PauseMs: 40},
		{SentAt: t0.Add(1600 * time.Millisecond), HeadMs: 100, Outcome: "failed"},
		{SentAt: t0.Add(1800 * time.Millisecond), HeadMs: 500, Outcome: outcomeDelivered, Status: 200, Events: 3, PauseMs: 50},
	}
	if got := longestPause(attempts); got != 800 {
		t.Errorf("longest pause: got %d ms, want 800", got)
	}
	attempts[0].TookMs = 0
	if got := longestPause(attempts); got != 50 {
		t.Errorf("longest pause without the time of the last event: got %d ms, want 50", got)
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
