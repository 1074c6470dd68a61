// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/drive"
	"github.com/traildrift/traildrift/internal/fakes"
)

// slowServicePools returns two endpoints for each pool, with service calls that take long
// enough for a fault to occur during them.
func slowServicePools(work string) []Pool {
	pools := testPools(2)
	pools[2].ServiceTime = span(work)
	return pools
}

// result returns the outcome of a request as tests compare it: "whole", the kind and run state
// of an error as kind/run, "noAnswer", or the defect of a wrong answer.
func result(a drive.Answer, err error) string {
	switch {
	case a.Err != nil:
		return drive.ErrorName(a.Err)
	case err != nil:
		return "noAnswer"
	case a.InvalidReason != "":
		return a.InvalidReason
	default:
		return "whole"
	}
}

// outcome is the outcome of a request; took is the time until it was received.
type outcome struct {
	answer drive.Answer
	result string
	took   time.Duration
}

// send sends a request to an entry in the background and returns a channel that receives its
// outcome.
func send(f *Fleet, entry int, a drive.Request) <-chan outcome {
	out := make(chan outcome, 1)
	go func() {
		start := time.Now()
		got, err := f.Caller(entry, testKey).Do(a)
		out <- outcome{got, result(got, err), time.Since(start)}
	}()
	return out
}

// waitForCall waits until a service has executed the call with the given body and returns its
// guard.
func waitForCall(t *testing.T, f *Fleet, body string) *Node {
	t.Helper()
	for deadline := stepDeadline(); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if n := f.GuardOfCall(body); n != nil {
			return n
		}
	}
	t.Fatalf("timed out waiting for the service call %q", body)
	return nil
}

// expect fails the test unless the outcome is one of those wanted.
func expect(t *testing.T, what string, got outcome, want ...string) {
	t.Helper()
	for _, w := range want {
		if got.result == w {
			return
		}
	}
	t.Errorf("%s: got %s (%v), want %v", what, got.result, got.answer.Err, want)
}

// expectCalls fails the test unless services executed the call with the given body that often.
func expectCalls(t *testing.T, f *Fleet, body string, want int) {
	t.Helper()
	if got := f.ServiceCalls()[body]; got != want {
		t.Errorf("service calls of %q: got %d, want %d", body, got, want)
	}
}

// keyKinds are the two kinds of idempotency key: the caller's own key and a ticket.
var keyKinds = []string{"own", "ticket"}

// newKey returns a new key of a kind; a ticket is issued by the given entry.
func newKey(t *testing.T, f *Fleet, kind string, entry int) string {
	t.Helper()
	if kind == "own" {
		return fmt.Sprintf("%s-%d", t.Name(), time.Now().UnixNano())
	}
	a, err := f.Caller(entry, testKey).Do(drive.Request{Path: "/v1/tickets", Deadline: stepDeadline()})
	if err != nil {
		t.Fatal(err)
	}
	var out struct {
		Ticket string `json:"ticket"`
	}
	if err := json.Unmarshal(a.Body, &out); err != nil || out.Ticket == "" {
		t.Fatalf("no ticket in %s", a.Body)
	}
	return out.Ticket
}

// TestRepeats sends requests with the same key to both entries at the same time: the service
// runs one of them, and every caller gets its answer, also later. A request with the same key
// and another body is refused.
func TestRepeats(t *testing.T) {
	f := startFleet(t, Options{Entries: 2, Pools: slowServicePools("100ms")})
	for _, kind := range keyKinds {
		body := "note " + kind
		key := newKey(t, f, kind, 0)
		var all []<-chan outcome
		for i := range 10 {
			all = append(all, send(f, i%2, note(key, body)))
		}
		all = append(all, send(f, 1, note(key, body)))
		var first []byte
		for _, c := range all {
			got := <-c
			expect(t, kind, got, "whole")
			if first == nil {
				first = got.answer.Body
			}
			if string(got.answer.Body) != string(first) {
				t.Errorf("%s: got %s, want the answer of the one run %s", kind, got.answer.Body, first)
			}
		}
		expect(t, kind+", later", <-send(f, 1, note(key, body)), "whole")
		expect(t, kind+", another body", <-send(f, 0, note(key, "other")), "keyReused/notRun")
		expect(t, kind+", another body elsewhere", <-send(f, 1, note(key, "other")), "keyReused/notRun")
		expectCalls(t, f, body, 1)
		expectCalls(t, f, "other", 0)
	}
}

// TestEntryKilled kills the entry that holds the run of a key. A repeat at another entry is
// answered at once that the request may have run, and so are all later repeats. The request
// never runs again.
func TestEntryKilled(t *testing.T) {
	f := startFleet(t, Options{Entries: 2, Pools: slowServicePools("300ms")})
	keys := map[string]string{}
	for _, kind := range keyKinds {
		keys[kind] = newKey(t, f, kind, 0)
	}
	var lost []<-chan outcome
	for _, kind := range keyKinds {
		lost = append(lost, send(f, 0, note(keys[kind], kind)))
		waitForCall(t, f, kind)
	}
	f.Entries[0].Kill()
	for _, kind := range keyKinds {
		<-lost[0]
		lost = lost[1:]
		got := <-send(f, 1, note(keys[kind], kind))
		expect(t, kind, got, "keyUnsettled/mayHaveRun")
		if got.took > maxPromptDelay || got.answer.RetryAfter == "" {
			t.Errorf("%s: got an answer after %v with retry %q, want one at once with a time", kind, got.took, got.answer.RetryAfter)
		}
	}
	if err := f.Entries[0].Start(); err != nil {
		t.Fatal(err)
	}
	if err := f.WaitReady(stepDeadline()); err != nil {
		t.Fatal(err)
	}
	for _, kind := range keyKinds {
		expect(t, kind+" at the entry's next incarnation", <-send(f, 0, note(keys[kind], kind)), "keyUnsettled/mayHaveRun")
		expectCalls(t, f, kind, 1)
	}
}

// TestEntryFrozen freezes the entry that holds the run of a key, until the repeat at another
// entry has been answered. The call does not end before: on a busy machine, a call of a fixed time
// ended before the freeze, and the entry answered the repeat before it had stopped.
func TestEntryFrozen(t *testing.T) {
	f := startFleet(t, Options{Entries: 2, Pools: slowServicePools("300ms")})
	for _, kind := range keyKinds {
		key := newKey(t, f, kind, 0)
		release := holdCalls(f)
		lost := send(f, 0, note(key, kind))
		waitForCall(t, f, kind)
		f.Entries[0].Freeze()
		expectFrozen(t, f, key, kind, send(f, 1, note(key, kind)), lost, release)
	}
}

// holdCalls lets the service calls that begin from now on wait until release is called.
func holdCalls(f *Fleet) (release func()) {
	var all []func()
	for _, s := range f.Services {
		all = append(all, s.Hold())
	}
	return func() {
		for _, r := range all {
			r()
		}
	}
}

// expectFrozen checks the answers while an entry is frozen, and then thaws it and calls release,
// which lets the call end. The repeat at the other entry is answered at once that the request may
// have run. The first caller and a later repeat get the answer of the one run.
func expectFrozen(t *testing.T, f *Fleet, key, kind string, repeat, lost <-chan outcome, release func()) {
	t.Helper()
	got := <-repeat
	f.Entries[0].Thaw()
	release()
	expect(t, kind+" while the entry is frozen", got, "keyUnsettled/mayHaveRun")
	if got.took > maxPromptDelay {
		t.Errorf("%s: got an answer after %v, want one at once", kind, got.took)
	}
	expect(t, kind+" after the thaw", <-lost, "whole")
	expect(t, kind+" again", <-send(f, 1, note(key, kind)), "whole")
	expectCalls(t, f, kind, 1)
}

// TestEntryFrozenWhileFollowed freezes the entry that holds the run of a key after another
// entry has begun to follow that run. The repeat is answered at once that the request may have
// run, as if the entry had been frozen before.
func TestEntryFrozenWhileFollowed(t *testing.T) {
	f := startFleet(t, Options{Entries: 2, Pools: slowServicePools("5s")})
	for _, kind := range keyKinds {
		key := newKey(t, f, kind, 0)
		lost := send(f, 0, note(key, kind))
		waitForCall(t, f, kind)
		repeat := send(f, 1, note(key, kind))
		waitForFollower(t, f.Entries[0])
		f.Entries[0].Freeze()
		expectFrozen(t, f, key, kind, repeat, lost, func() {})
	}
}

// waitForFollower waits until another entry follows a run that n holds.
func waitForFollower(t *testing.T, n *Node) {
	t.Helper()
	for deadline := stepDeadline(); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if n.readState().Followers > 0 {
			return
		}
	}
	t.Fatalf("timed out waiting for a follower of a run of %s", n.VM.Name)
}

// TestGuardKilled kills the guard during the service call: the answer says that the request
// may have run, and no repeat runs it again.
func TestGuardKilled(t *testing.T) {
	f := startFleet(t, Options{Entries: 2, Pools: slowServicePools("300ms")})
	for _, kind := range append(keyKinds, "none") {
		key := ""
		if kind != "none" {
			key = newKey(t, f, kind, 0)
		}
		lost := send(f, 0, note(key, kind))
		guard := waitForCall(t, f, kind)
		guard.Kill()
		if err := guard.Start(); err != nil {
			t.Fatal(err)
		}
		expect(t, kind, <-lost, "endpointLost/mayHaveRun")
		if key != "" {
			expect(t, kind+", repeated", <-send(f, 1, note(key, kind)), "endpointLost/mayHaveRun")
		}
		expectCalls(t, f, kind, 1)
	}
}

// TestLinkCut interrupts the links between entries and guards, or loses messages on them, at
// different points of a request. Each request is answered and runs once.
func TestLinkCut(t *testing.T) {
	f := startFleet(t, Options{Entries: 2, Pools: slowServicePools("200ms")})
	each := func(do func(*Relay)) {
		for _, r := range f.Relays {
			do(r)
		}
	}
	tests := []struct {
		name           string
		before, inject func()
	}{
		{"broken while it runs", nil, func() { each((*Relay).CloseConns) }},
		{"cut for a while", nil, func() { each((*Relay).Cut); time.AfterFunc(500*time.Millisecond, func() { each((*Relay).Heal) }) }},
		{"answers lost on the way", nil, func() {
			each((*Relay).DropFromVM)
			time.AfterFunc(400*time.Millisecond, func() { each((*Relay).Heal); each((*Relay).CloseConns) })
		}},
		{"request lost on the way", func() { each((*Relay).DropToVM) }, func() { each((*Relay).Heal); each((*Relay).CloseConns) }},
	}
	for _, tt := range tests {
		for _, kind := range append(keyKinds, "none") {
			body := tt.name + " " + kind
			key := ""
			if kind != "none" {
				key = newKey(t, f, kind, 0)
			}
			if tt.before != nil {
				tt.before()
			}
			lost := send(f, 0, note(key, body))
			if tt.before == nil {
				waitForCall(t, f, body)
			} else {
				time.Sleep(100 * time.Millisecond)
			}
			tt.inject()
			expect(t, body, <-lost, "whole")
			expectCalls(t, f, body, 1)
		}
	}
}

// TestPlatformDown stops the platform: requests with the caller's own key are refused at once
// as not run, while tickets and all other requests are served. If the platform loses its answer
// to a write or answers too slowly, the claim is settled later, and the request runs once.
func TestPlatformDown(t *testing.T) {
	f := startFleet(t, Options{Entries: 2, Pools: testPools(1)})
	ticket := newKey(t, f, "ticket", 0)
	f.Objects.Set(fakes.Faults{Down: true})
	got := <-send(f, 0, note("down", "down"))
	expect(t, "own key", got, "platformDown/notRun")
	if got.took > maxPromptDelay || got.answer.RetryAfter == "" {
		t.Errorf("own key: got an answer after %v with retry %q, want one at once with a time", got.took, got.answer.RetryAfter)
	}
	expect(t, "ticket", <-send(f, 1, note(ticket, "ticket")), "whole")
	expect(t, "fresh ticket", <-send(f, 1, note(newKey(t, f, "ticket", 1), "fresh")), "whole")
	expect(t, "no key", <-send(f, 0, note("", "no key")), "whole")
	expect(t, "chat", <-send(f, 0, chat("history", "lot", true)), "whole")
	expectCalls(t, f, "down", 0)
	f.Objects.Set(fakes.Faults{ResponseLossRate: 1})
	expect(t, "own key, the write's answer lost", <-send(f, 0, note("lost", "lost")), "whole")
	expect(t, "repeated elsewhere", <-send(f, 1, note("lost", "lost")), "whole")
	expectCalls(t, f, "lost", 1)
	for i := range 100 { // enough keys to read every bucket of the claim log
		expect(t, "own key", <-send(f, 0, note(fmt.Sprint("warm", i), "warm")), "whole")
	}
	f.Objects.Set(fakes.Faults{Delay: span("3s")})
	got = <-send(f, 0, note("slow", "slow"))
	expect(t, "own key, platform too slow", got, "platformDown/notRun")
	f.Objects.Set(fakes.Faults{})
	time.Sleep(1500 * time.Millisecond) // until the delayed write has taken effect
	expect(t, "repeated after a claim in doubt", <-send(f, 1, note("slow", "slow")), "whole")
	expectCalls(t, f, "slow", 1)
}

// TestTickets refuses forged tickets and tickets of another workspace.
func TestTickets(t *testing.T) {
	f := startFleet(t, Options{Entries: 1, Pools: testPools(1)})
	key := newKey(t, f, "ticket", 0)
	expect(t, "forged", <-send(f, 0, note(strings.Replace(key, ".t1.", ".t2.", 1), "forged")), "keyInvalid/notRun")
	foreign, err := f.Caller(0, "lima-key").Do(drive.Request{Path: "/v1/tickets", Deadline: stepDeadline()})
	if err != nil {
		t.Fatal(err)
	}
	other := strings.Split(string(foreign.Body), `"`)[3]
	expect(t, "another workspace's", <-send(f, 0, note(other, "foreign")), "keyInvalid/notRun")
	if got := len(f.ServiceCalls()); got != 0 {
		t.Errorf("service calls: got %d, want 0", got)
	}
}

// TestPlannedStop stops an entry that has a stream and a run with a follower, and then guards
// under load. Every request is answered whole.
func TestPlannedStop(t *testing.T) {
	f := startFleet(t, Options{Entries: 2, Pools: slowServicePools("200ms")})
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	stop := make(chan struct{})
	for i := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := f.Caller(1, testKey)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				a := chat("history", fmt.Sprint(i, n), n%2 == 0)
				if i%4 == 0 {
					a = note("", fmt.Sprint(i, n))
				}
				got, err := c.Do(a)
				mu.Lock()
				counts[result(got, err)]++
				mu.Unlock()
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	long := chat("history", "long", true)
	long.Chat.MaxTokens = 300
	stream := send(f, 0, long)
	ticket := newKey(t, f, "ticket", 0)
	held := send(f, 0, note(ticket, "held"))
	waitForCall(t, f, "held")
	joined := send(f, 1, note(ticket, "held"))
	time.Sleep(50 * time.Millisecond)
	if err := f.Entries[0].Stop(stepDeadline()); err != nil {
		t.Errorf("stop of an entry: got %v, want nil", err)
	}
	expect(t, "a stream at the stopping entry", <-stream, "whole")
	expect(t, "a ticket's request at the stopping entry", <-held, "whole")
	expect(t, "one that joined it from another entry", <-joined, "whole")
	for _, g := range []*Node{f.Guards[0], f.Guards[2], f.Guards[4]} {
		if err := g.Stop(stepDeadline()); err != nil {
			t.Errorf("stop of %s: got %v, want nil", g.VM.Name, err)
		}
	}
	time.Sleep(200 * time.Millisecond)
	close(stop)
	wg.Wait()
	if counts["whole"] < 50 || len(counts) != 1 {
		t.Errorf("answers while guards stop: got %v, want whole ones only", counts)
	}
}

// TestBucketServer freezes the entry that serves some buckets of the claim log. The other
// entry writes the claims itself, and the thawed entry adds none later.
func TestBucketServer(t *testing.T) {
	f := startFleet(t, Options{Entries: 2, Pools: testPools(1)})
	key := func(i int) string { return fmt.Sprint("key ", i) }
	const keys = 12
	f.Entries[1].Freeze()
	for i := range keys {
		expect(t, "while the other entry is frozen", <-send(f, 0, note(key(i), key(i))), "whole")
	}
	f.Entries[1].Thaw()
	for i := range keys {
		expect(t, "repeated elsewhere", <-send(f, 1, note(key(i), key(i))), "whole")
		expectCalls(t, f, key(i), 1)
	}
}

// TestGuardSilent cuts the link to the guard permanently during the service call: the answer
// says within a few seconds that the request may have run.
func TestGuardSilent(t *testing.T) {
	f := startFleet(t, Options{Entries: 1, Pools: slowServicePools("100ms")})
	lost := send(f, 0, note("", "silent"))
	guard := waitForCall(t, f, "silent")
	f.Relays[guard.VM.Name].Cut()
	expect(t, "after the cut", <-lost, "endpointLost/mayHaveRun")
	expectCalls(t, f, "silent", 1)
}

// TestKilledBeforeDispatch kills an entry while the write of its claim is delayed. If the
// claim takes effect after the entry has died, the key is used up; if it never does, a repeat
// runs. Either way the request runs at most once.
func TestKilledBeforeDispatch(t *testing.T) {
	f := startFleet(t, Options{Entries: 2, Pools: testPools(1)})
	for i := range 20 { // enough keys to read every bucket of the claim log
		expect(t, "own key", <-send(f, 0, note(fmt.Sprint("warm", i), "warm")), "whole")
	}
	f.Objects.Set(fakes.Faults{Delay: span("700ms")})
	before, _ := f.Objects.Calls()
	lost := send(f, 0, note("spent", "spent"))
	time.Sleep(200 * time.Millisecond)
	f.Entries[0].Kill()
	<-lost
	waitFor(t, "the late write", func() bool { now, _ := f.Objects.Calls(); return now["put"] > before["put"] })
	f.Objects.Set(fakes.Faults{})
	time.Sleep(100 * time.Millisecond)
	expect(t, "repeated", <-send(f, 1, note("spent", "spent")), "keyUnsettled/mayHaveRun", "whole")
	if got := f.ServiceCalls()["spent"]; got > 1 {
		t.Errorf("service calls: got %d, want at most 1", got)
	}
}
