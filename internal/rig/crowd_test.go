// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/crowd"
	"github.com/traildrift/traildrift/internal/drive"
	"github.com/traildrift/traildrift/internal/store"
)

// The smallest machine of the users' sites that runs an endpoint has this memory. Its 4,096 descriptors are lowered, so
// that a small crowd could take them all.
const (
	crowdMemoryMB    = 216
	crowdDescriptors = 400
	// crowdReserve is how many descriptors must be left to links and the platform.
	crowdReserve = 64
	// crowdBody and crowdHead are the largest sizes of a body and of a head that an entry takes, in bytes.
	crowdBody = 4 << 20
	crowdHead = 16 << 10
	// crowdTime is how long a crowd is played, and crowdLead how long before an ordinary caller comes.
	crowdTime = 4 * time.Second
	crowdLead = 1500 * time.Millisecond
)

// crowdHeads returns a function that makes the head of a POST request to a path of an entry.
func crowdHeads(path string, more ...string) func(c *crowd.Conn) string {
	return func(*crowd.Conn) string {
		return crowd.Head(http.MethodPost, path, "entry", append([]string{"Authorization: Bearer " + testKey, "Content-Type: application/json"}, more...)...)
	}
}

// Whatever clients send, entries and guards stay within the memory and the descriptors of their machines, and serve
// others.
//
// Guards against an entry or a guard that runs out of memory or descriptors, or hangs.
func TestCrowdAtFleet(t *testing.T) {
	program, err := crowd.Build("../..", "tdfake", t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv(envOtherProgram, program)
	largest := func(*crowd.Conn) int { return crowdBody }
	link := func(n *Node) netip.AddrPort { return netip.AddrPortFrom(n.Operators.Addr(), portLink) }
	callers := func(n *Node) netip.AddrPort { return n.Callers }
	operators := func(n *Node) netip.AddrPort { return n.Operators }
	for _, row := range []struct {
		name    string
		role    string
		door    func(n *Node) netip.AddrPort
		clients int
		behave  func(c *crowd.Conn)
	}{
		{"entryBodiesShort", store.RoleEntry, callers, 200, crowd.Short(crowdHeads("/v1/chat/completions"), largest)},
		{"entryBodiesShortNoRoute", store.RoleEntry, callers, 200, crowd.Short(crowdHeads("/none"), largest)},
		{"entryBodiesShortNoKey", store.RoleEntry, callers, 200, crowd.Short(func(*crowd.Conn) string {
			return crowd.Head(http.MethodPost, "/v1/chat/completions", "entry")
		}, largest)},
		{"entryBodiesShortReadyPath", store.RoleEntry, callers, 200, crowd.Short(crowdHeads("/readyz"), largest)},
		{"entryBodiesInPieces", store.RoleEntry, callers, 200, crowd.ShortInPieces(crowdHeads("/svc/fetch/x"), crowdBody)},
		{"entryBodiesInChunks", store.RoleEntry, callers, 200, crowd.ShortInChunks(crowdHeads("/svc/fetch/x"), 1<<20)},
		{"entryBodiesHalf", store.RoleEntry, callers, 200, crowd.Half(crowdHeads("/svc/fetch/x"), crowdBody)},
		{"entryBodiesOver", store.RoleEntry, callers, 200, crowd.Over(crowdHeads("/svc/fetch/x"))},
		{"entryManyMessages", store.RoleEntry, callers, 30, func(c *crowd.Conn) {
			items := "{\"model\":\"none\",\"messages\":[" + strings.Repeat("0,", crowdBody/2-100) + "0]}"
			if c.Send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", crowdHeads("/v1/chat/completions")(c), len(items), items)) {
				c.Drain()
			}
		}},
		{"entryFieldsShort", store.RoleEntry, callers, 300, crowd.Fields(crowdHeads("/svc/fetch/x"), crowdHead, true, false)},
		{"entryFieldsWhole", store.RoleEntry, callers, 300, crowd.Fields(crowdHeads("/svc/fetch/x"), crowdHead, true, true)},
		{"entryHeadsSlow", store.RoleEntry, callers, 600, crowd.SlowHead(crowdHeads("/svc/fetch/x"))},
		{"entrySilent", store.RoleEntry, callers, 600, crowd.Silent},
		{"entryKept", store.RoleEntry, callers, 600, crowd.Kept(crowdHeads("/readyz"))},
		{"entryPipelines", store.RoleEntry, callers, 200, crowd.Pipeline(crowdHeads("/readyz"))},
		{"entryOperatorsSilent", store.RoleEntry, operators, 600, crowd.Silent},
		{"entryOperatorsBodiesShort", store.RoleEntry, operators, 200, crowd.Short(crowdHeads("/metrics"), largest)},
		{"entryLinkSilent", store.RoleEntry, link, 600, crowd.Silent},
		{"entryLinkFrames", store.RoleEntry, link, 100, crowd.Frame(16<<20, 16<<20-1)},
		{"guardLinkSilent", store.RoleEndpoint, link, 600, crowd.Silent},
		{"guardLinkFrames", store.RoleEndpoint, link, 100, crowd.Frame(16<<20, 16<<20-1)},
		{"guardOperatorsSilent", store.RoleEndpoint, operators, 600, crowd.Silent},
		{"guardOperatorsBodiesShort", store.RoleEndpoint, operators, 200, crowd.Short(crowdHeads("/metrics"), largest)},
		{"guardOperatorsUnread", store.RoleEndpoint, operators, 300, crowd.Pipeline(crowdHeads("/metrics"))},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Setenv(envOtherRole, row.role)
			f := startFleet(t, Options{Entries: 1, Pools: testPools(1), Descriptors: crowdDescriptors})
			n := f.Entries[0]
			if row.role == store.RoleEndpoint {
				n = f.Guards[2]
			}
			playCrowd(t, f, n, row.door(n), row.clients, row.behave)
		})
	}
}

// playCrowd plays a crowd at a process and checks what the process held, that it lives, and that an ordinary call, which
// runs at the guard of the service, is served during the crowd and after it.
func playCrowd(t *testing.T, f *Fleet, n *Node, door netip.AddrPort, clients int, behave func(c *crowd.Conn)) {
	untilServed(t, f, "a call before the crowd")
	watch := crowd.NewWatch(n.Pid(), door)
	end := time.After(crowdTime)
	c := crowd.Play(door, clients, behave)
	<-time.After(crowdLead)
	untilServed(t, f, "a call during the crowd")
	<-end
	c.End()
	peak := watch.Stop()
	t.Logf("peak: %d MB, of them %d MB unread, %d descriptors", peak.MemoryBytes>>20, peak.UnreadBytes>>20, peak.Descriptors)
	if most := int64(crowdMemoryMB) << 20; peak.MemoryBytes > most {
		t.Errorf("memory with unread bytes: got %d MB, want %d MB at most", peak.MemoryBytes>>20, most>>20)
	}
	if most := crowdDescriptors - crowdReserve; peak.Descriptors > most {
		t.Errorf("descriptors: got %d, want %d at most", peak.Descriptors, most)
	}
	untilServed(t, f, "a call after the crowd")
	if !n.Running() {
		t.Errorf("%s: got its end, want it to live", n.VM.Name)
	}
}

// untilServed makes a call that may be repeated, and again after a refusal, until it is served or the deadline of the
// step has passed.
func untilServed(t *testing.T, f *Fleet, when string) {
	t.Helper()
	var seen []string
	for until := stepDeadline(); time.Now().Before(until); <-time.After(50 * time.Millisecond) {
		q := drive.Request{Path: "/svc/fetch/x", Body: "x", Deadline: time.Now().Add(crowdPatience)}
		got := result(f.Caller(0, testKey).Do(q))
		if got == "whole" {
			return
		}
		seen = append(seen, got)
	}
	t.Errorf("%s: got %v, want whole by the deadline", when, seen[max(len(seen)-5, 0):])
}

// crowdPatience is how long an ordinary caller waits for an answer before it opens another connection.
const crowdPatience = 3 * time.Second
