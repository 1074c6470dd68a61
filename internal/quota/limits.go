// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package quota

import (
	"encoding/json"
	"fmt"

	"golang.org/x/sys/unix"

	"github.com/traildrift/traildrift/pkg/fault"
)

// Settings are what a process may use and what it gives to callers; 0 stands for the default of each.
type Settings struct {
	// MemoryMB is the memory of the process, CallersMB that of callers.
	MemoryMB, CallersMB int
	// Descriptors is the number of file descriptors of the process, CallersConns that of the callers' connections.
	Descriptors, CallersConns int
}

// Limits are the bounds that follow from Settings.
type Limits struct {
	// CallersBytes is the bound of the account of callers, OthersBytes that of the other doors together.
	CallersBytes, OthersBytes int64
	// Callers, Peers, Links and Few are the greatest numbers of connections of callers, of other routers, of processes of
	// the own fleet, and of a balancer or operators.
	Callers, Peers, Links, Few int
}

const (
	// callersMemoryPercent is the part of the memory that callers may hold. What is collected as garbage takes as much again,
	// and the process itself some 20 MB.
	callersMemoryPercent = 35
	// othersPart is the part of the memory of callers that is left to the other doors, so that these answer while callers
	// hold all that they may.
	othersPart = 7
	// defaultCallersMB is the memory of callers if that of the process is not bounded.
	defaultCallersMB = 256
	// fewConns is the greatest number of connections of doors that few processes use.
	fewConns = 64
	// descriptorParts divides the descriptors: callers have six parts, the connections to endpoints six, other routers
	// two, each of the two doors that few processes use one at most, and files and the store what is left. A process of the
	// own fleet has links in place of connections to endpoints.
	descriptorParts, callersParts, linksParts, peersParts, fewParts = 18, 6, 6, 2, 1
)

// Limits returns the bounds for a process with these settings.
func (s Settings) Limits() Limits {
	mb := s.CallersMB
	if mb == 0 {
		mb = max(s.MemoryMB*callersMemoryPercent/100, 1)
		if s.MemoryMB == 0 {
			mb = defaultCallersMB
		}
	}
	l := Limits{OthersBytes: int64(mb) << 20 / othersPart}
	l.CallersBytes = int64(mb)<<20 - l.OthersBytes
	fds := s.descriptors()
	l.Callers = min(fds*callersParts/descriptorParts, int(l.CallersBytes/ConnBytes/2))
	if s.CallersConns > 0 {
		l.Callers = s.CallersConns
	}
	l.Callers = max(l.Callers, 1)
	l.Links = max(fds*linksParts/descriptorParts, 1)
	l.Peers = max(fds*peersParts/descriptorParts, 1)
	l.Few = max(min(fds*fewParts/descriptorParts, fewConns), 1)
	return l
}

// descriptors returns the number of descriptors that the process may use.
func (s Settings) descriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxDescriptors {
		limit.Cur = maxDescriptors
	}
	if s.Descriptors > 0 {
		return min(s.Descriptors, int(limit.Cur))
	}
	return int(limit.Cur)
}

// maxDescriptors is the number of descriptors that is reckoned with if the environment allows more.
const maxDescriptors = 1 << 20

// retryAfterSeconds is when a caller that was refused unread is asked to come back.
const retryAfterSeconds = 0.5

// HTTPRefusal returns the HTTP response to a connection whose request was not read.
func HTTPRefusal() []byte {
	body, err := json.Marshal(fault.Body{Error: fault.New(fault.Overloaded, fault.NotRun, "Other callers use all that callers may hold.")})
	if err != nil {
		panic(err)
	}
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: %d\r\nRetry-After: %.3f\r\nConnection: close\r\n\r\n%s", len(body), retryAfterSeconds, body)
}
