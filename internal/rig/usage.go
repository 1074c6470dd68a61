// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/admin"
	"github.com/traildrift/traildrift/internal/desk"
)

// Usage is the resource usage of a process since its start.
type Usage struct {
	// CPU is the user and system time, as the zero time plus that duration.
	CPU time.Time
	// ResidentBytes is the memory in bytes.
	ResidentBytes int64
	// Mallocs is the number of heap allocations.
	Mallocs uint64
	// LinkBytes and LinkMessages count what the links carried, both ways.
	LinkBytes, LinkMessages int64
	// Revision is the revision of the settings in force.
	Revision int64
	// Violations is the number of broken invariants that the process counted.
	Violations int64
}

// Dump returns the state dump of the process, as JSON.
func (n *Node) Dump() ([]byte, error) { return desk.Fetch(n.Operators, "", "/debug/state") }

// entryState holds the fields of an entry's state dump that the rig reads.
type entryState struct {
	Followers int `json:"followers"`
	Endpoints []struct {
		Usable bool `json:"usable"`
	} `json:"endpoints"`
}

// readState reads an entry's state, and returns the zero value if the entry does not answer.
func (n *Node) readState() entryState {
	body, err := n.Dump()
	if err != nil {
		return entryState{}
	}
	var d struct {
		Role entryState `json:"role"`
	}
	if json.Unmarshal(body, &d) != nil {
		return entryState{}
	}
	return d.Role
}

// usableEndpoints returns how many endpoints an entry can use now.
func (n *Node) usableEndpoints() int {
	count := 0
	for _, e := range n.readState().Endpoints {
		if e.Usable {
			count++
		}
	}
	return count
}

// ticksPerSecond is USER_HZ, the clock ticks per second of the times in /proc/PID/stat.
const ticksPerSecond = 100

// Usage reads the resource usage of the process from /proc/PID/stat and its state dump.
func (n *Node) Usage() (Usage, error) {
	u := Usage{}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.Pid()))
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const utime, stime, rss = 11, 12, 21
	if len(fields) <= rss {
		return u, errors.New("rig: /proc/PID/stat has too few fields")
	}
	user, _ := strconv.ParseInt(fields[utime], 10, 64)
	system, _ := strconv.ParseInt(fields[stime], 10, 64)
	pages, _ := strconv.ParseInt(fields[rss], 10, 64)
	u.CPU = time.Time{}.Add(time.Duration(user+system) * time.Second / ticksPerSecond)
	u.ResidentBytes = pages * int64(os.Getpagesize())
	body, err := n.Dump()
	if err != nil {
		return u, err
	}
	var d struct {
		Memory       admin.Memory `json:"memory"`
		LinkBytes    int64        `json:"linkBytes"`
		LinkMessages int64        `json:"linkMessages"`
		Revision     int64        `json:"revision"`
		Violations   int64        `json:"violations"`
	}
	if err := json.Unmarshal(body, &d); err != nil {
		return u, err
	}
	u.Mallocs, u.LinkBytes, u.LinkMessages = d.Memory.Mallocs, d.LinkBytes, d.LinkMessages
	u.Revision, u.Violations = d.Revision, d.Violations
	return u, nil
}
