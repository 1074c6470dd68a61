// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/desk"
	"github.com/traildrift/traildrift/internal/drive"
	"github.com/traildrift/traildrift/internal/fakes"
)

// TestCutAnswers cuts answers at the engine: a cut answer is resumed at its offset, and one
// that ends early without its end marker is reported as not whole. No run is repeated.
func TestCutAnswers(t *testing.T) {
	f := startFleet(t, Options{Entries: 1, Pools: testPools(1)})
	engine := f.Engines["deedwriter-1"]
	for _, streamed := range []bool{true, false} {
		engine.Set(fakes.Faults{DisconnectAfter: 3})
		expect(t, fmt.Sprint("cut, streamed ", streamed), <-send(f, 0, chat("history", "lot", streamed)), "whole")
	}
	engine.Set(fakes.Faults{TruncateAfter: 3})
	expect(t, "ended early without its marker", <-send(f, 0, chat("history", "lot", true)), "notWhole/ran")
	for id, n := range f.EngineRuns() {
		if n != 1 {
			t.Errorf("run %s ran %d times, want 1", id, n)
		}
	}
}

// TestCallerGone cancels the run of a caller that closes its connection during the stream.
func TestCallerGone(t *testing.T) {
	pools := testPools(1)
	pools[0].Engine.PerToken = span("20ms")
	f := startFleet(t, Options{Entries: 1, Pools: pools})
	body, err := json.Marshal(fakes.ChatRequest{Model: "history", Messages: []fakes.Message{{Content: "x"}}, MaxTokens: 900, Stream: true})
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", f.Entries[0].Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
	if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	running := func() int { n, _ := f.Engines["deedwriter-1"].Load(); return n }
	if got := running(); got != 1 {
		t.Errorf("running: got %d, want 1", got)
	}
	_ = c.Close()
	start := time.Now()
	waitFor(t, "the end of the run", func() bool { return running() == 0 })
	if took := time.Since(start); took > maxPromptDelay {
		t.Errorf("run of a caller that disconnected: ended after %v, want less than 8s", took)
	}
}

// TestSlowReader sends a caller that reads slowly its whole answer, and meanwhile serves
// others.
func TestSlowReader(t *testing.T) {
	// The answer takes 8 s, and several times that on a busy machine. No check depends on that
	// time.
	settings := strings.Replace(testSettings, "answerWithin: 20s", "answerWithin: 5m", 1)
	f := startFleet(t, Options{Entries: 1, Pools: testPools(1), Settings: settings})
	long := chat("history", "long", true)
	long.Chat.MaxTokens = 4000
	body, _ := json.Marshal(long.Chat)
	c, err := net.Dial("tcp", f.Entries[0].Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", testKey, len(body), body)
	for range 5 {
		expect(t, "another caller", <-send(f, 0, chat("history", "lot", true)), "whole")
	}
	_ = c.SetReadDeadline(stepDeadline())
	// Read the body without the chunked framing, as a chunk may end in the middle of an event.
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var all strings.Builder
	p := make([]byte, 8<<10)
	for {
		_ = c.SetReadDeadline(stepDeadline())
		n, err := resp.Body.Read(p)
		all.Write(p[:n])
		if err != nil {
			break
		}
		if all.Len() < 200<<10 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	if got := strings.Count(all.String(), `"delta"`); got != 4000 || !strings.Contains(all.String(), "[DONE]") {
		t.Errorf("got %d tokens, want 4000 and the end marker", got)
	}
}

// TestBills expects one bill line for each answered request and none for a request that did
// not run, although the platform is down, then loses answers, and an entry is killed before
// it has written its bills.
func TestBills(t *testing.T) {
	f := startFleet(t, Options{Entries: 2, Pools: testPools(1), GuardSettings: "billAfter: 500ms\n"})
	f.Objects.Set(fakes.Faults{Down: true})
	want := map[string]bool{}
	ask := func(entry int, a drive.Request) {
		a.Header["Traildrift-Deadline"] = time.Now().Add(3 * time.Second).Format(time.RFC3339Nano)
		got := <-send(f, entry, a)
		expect(t, "chat", got, "whole")
		want[got.answer.RequestID] = true
	}
	for i := range 6 {
		ask(i%2, chat("history", fmt.Sprint(i), i%3 == 0))
	}
	refused := <-send(f, 0, note("refused", "refused"))
	expect(t, "own key while the platform is down", refused, "platformDown/notRun")
	f.Entries[0].Kill()
	f.Objects.Set(fakes.Faults{ResponseLossRate: 0.5})
	ask(1, chat("history", "last", true))
	waitFor(t, "every bill", func() bool {
		lines, err := desk.Bills(t.Context(), f.Store, "")
		return err == nil && len(lines) >= len(want)
	})
	f.Objects.Set(fakes.Faults{})
	for _, n := range append(f.Guards, f.Entries[1]) {
		if err := n.Stop(stepDeadline()); err != nil {
			t.Fatal(err)
		}
	}
	lines, err := desk.Bills(t.Context(), f.Store, "")
	if err != nil || len(lines) != len(want) {
		t.Errorf("lines: got %d %v, want %d", len(lines), err, len(want))
	}
	for _, l := range lines {
		if !want[l.ID] || len(l.Attempts) != 1 || l.Attempts[0].CompletionTokens != 8 {
			t.Errorf("got a line %+v, want one for each answer", l)
		}
	}
}

// TestRetryBudget fails every attempt in a pool and bounds the number of attempts, so that
// retries do not multiply the load: 200 requests may cause at most 260 attempts.
func TestRetryBudget(t *testing.T) {
	pools := testPools(4)
	f := startFleet(t, Options{Entries: 1, Pools: pools[:1]})
	for _, e := range f.Engines {
		e.Set(fakes.Faults{FailureRate: 1})
	}
	const requests = 200
	for range requests {
		expect(t, "a chat while the pool fails", <-send(f, 0, chat("history", "lot", false)), "endpointLost/mayHaveRun", "endpointFailed/mayHaveRun", "notWhole/ran")
	}
	if got, maxAttempts := len(f.EngineRuns()), requests*13/10; got > maxAttempts || got < requests {
		t.Errorf("attempts of %d requests: got %d, want at most %d", requests, got, maxAttempts)
	}
}

// TestSessionsOutliveEntries restarts every entry and makes another version cheaper: the
// session keeps its version.
func TestSessionsOutliveEntries(t *testing.T) {
	f := startFleet(t, Options{Entries: 2, Pools: testPools(1)})
	open := chat("tags", "lot", false)
	open.Header["Traildrift-Session"] = "new"
	first := <-send(f, 0, open)
	expect(t, "opened", first, "whole")
	for _, n := range f.Entries {
		n.Kill()
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.WaitReady(stepDeadline()); err != nil {
		t.Fatal(err)
	}
	cheaper := strings.Replace(testSettings, `"3": {pool: deedwriter, cost: 12`, `"3": {pool: deedwriter, cost: 1`, 1)
	revision, err := f.Apply(cheaper, "test")
	if err != nil {
		t.Fatal(err)
	}
	if err := f.WaitRevision(revision, stepDeadline()); err != nil {
		t.Fatal(err)
	}
	next := chat("tags", "lot", true)
	expect(t, "without the session", <-send(f, 1, next), "whole")
	next.Header["Traildrift-Session"] = first.answer.Session
	got := <-send(f, 1, next)
	if got.result != "whole" || got.answer.Model != first.answer.Model || got.answer.Version != first.answer.Version {
		t.Errorf("got %s by %s@%s, want whole by %s@%s", got.result, got.answer.Model, got.answer.Version, first.answer.Model, first.answer.Version)
	}
}

// TestDeadline answers a request soon after its deadline has passed, whether it is queued or
// running, and cancels the run. A queued request is reported as not run.
func TestDeadline(t *testing.T) {
	pools := testPools(1)[:1]
	pools[0].Slots, pools[0].Engine.Slots = 1, 1
	pools[0].Engine.PerToken = span("100ms")
	f := startFleet(t, Options{Entries: 1, Pools: pools})
	ask := func(within time.Duration) <-chan outcome {
		a := chat("history", "lot", false)
		a.Chat.MaxTokens = 200
		a.Header["Traildrift-Deadline"] = time.Now().Add(within).Format(time.RFC3339Nano)
		return send(f, 0, a)
	}
	running := ask(1500 * time.Millisecond)
	waitFor(t, "the run", func() bool { return len(f.EngineRuns()) == 1 })
	waiting := ask(500 * time.Millisecond)
	got := <-waiting
	expect(t, "queued request", got, "deadlinePassed/notRun")
	if got.took > maxPromptDelay {
		t.Errorf("the answer took %v, want it soon after the deadline", got.took)
	}
	got = <-running
	expect(t, "running request", got, "deadlinePassed/mayHaveRun", "notWhole/ran", "endpointLost/mayHaveRun", "deadlinePassed/ran")
	if got.took > maxPromptDelay {
		t.Errorf("the answer took %v, want it soon after the deadline", got.took)
	}
	waitFor(t, "the end of the run", func() bool { n, _ := f.Engines["deedwriter-1"].Load(); return n == 0 })
	if got := len(f.EngineRuns()); got != 1 {
		t.Errorf("runs: got %d, want 1", got)
	}
}

// TestOverload refuses requests beyond the capacity of slots and queue as not run, with a time
// to retry at, and answers the rest.
func TestOverload(t *testing.T) {
	pools := testPools(1)[:1]
	pools[0].Slots, pools[0].Waiting = 1, 2
	pools[0].Engine.PerToken = span("20ms")
	f := startFleet(t, Options{Entries: 1, Pools: pools})
	var all []<-chan outcome
	for range 12 {
		all = append(all, send(f, 0, chat("history", "lot", true)))
	}
	counts := map[string]int{}
	for _, c := range all {
		got := <-c
		counts[got.result]++
		if got.result != "whole" && got.answer.RetryAfter == "" {
			t.Errorf("got %s without a time to retry at", got.result)
		}
	}
	if counts["whole"] < 3 || counts["whole"]+counts["overloaded/notRun"]+counts["noVersion/notRun"] != 12 {
		t.Errorf("got %v, want at least 3 whole and the rest refused as not run", counts)
	}
	if got := len(f.EngineRuns()); got != counts["whole"] {
		t.Errorf("runs: got %d, want %d", got, counts["whole"])
	}
}

// TestOutageBeyondBuffers fills the entry's buffers for bill lines during an outage of the
// platform. A workload with onBillsFull: refuse is refused as not run and the other one is
// served. After the outage every answer is billed once, by the guard where the entry had no
// room for the line.
func TestOutageBeyondBuffers(t *testing.T) {
	refusing := strings.Replace(testSettings, "history: {values: {qualityTarget: 0.9}}", "history: {values: {qualityTarget: 0.9, onBillsFull: refuse}}", 1)
	f := startFleet(t, Options{Entries: 1, Pools: testPools(1), Settings: refusing, EntrySettings: "recordsHeld: 4\n", GuardSettings: "billAfter: 300ms\n"})
	f.Objects.Set(fakes.Faults{Down: true})
	want := map[string]bool{}
	for i := range 10 {
		a := chat("tags", fmt.Sprint(i), false)
		a.Header["Traildrift-Deadline"] = time.Now().Add(2 * time.Second).Format(time.RFC3339Nano)
		got := <-send(f, 0, a)
		expect(t, "a workload without onBillsFull: refuse", got, "whole")
		want[got.answer.RequestID] = true
	}
	got := <-send(f, 0, chat("history", "lot", false))
	expect(t, "a workload with onBillsFull: refuse", got, "platformDown/notRun")
	f.Objects.Set(fakes.Faults{})
	waitFor(t, "every bill", func() bool {
		lines, err := desk.Bills(t.Context(), f.Store, "")
		return err == nil && len(lines) >= len(want)
	})
	lines, err := desk.Bills(t.Context(), f.Store, "")
	if err != nil || len(lines) != len(want) {
		t.Errorf("lines: got %d %v, want %d", len(lines), err, len(want))
	}
	for _, l := range lines {
		if !want[l.ID] {
			t.Errorf("got a line for %s, which was not answered", l.ID)
		}
	}
}

// TestSessionEnds refuses a session token after the session's lifetime of 1 s.
func TestSessionEnds(t *testing.T) {
	f := startFleet(t, Options{Entries: 1, Pools: testPools(1), Settings: strings.Replace(testSettings, "tags: {values: {qualityTarget: 0.5}}", "tags: {values: {qualityTarget: 0.5, sessionFor: 1s}}", 1)})
	a := chat("tags", "lot", false)
	a.Header["Traildrift-Session"] = "new"
	first := <-send(f, 0, a)
	expect(t, "opened", first, "whole")
	a.Header["Traildrift-Session"] = first.answer.Session
	waitFor(t, "the session's end", func() bool { return (<-send(f, 0, a)).result == "sessionEnded/notRun" })
}
