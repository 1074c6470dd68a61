// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package quota bounds what the callers of a process hold together: connections, and the memory of heads, bodies and
// answers. docs/design/callers.md describes the account.
package quota

import (
	"container/list"
	"sync"
	"time"
)

// Account is the memory that the callers of some doors hold. Create it with NewAccount.
type Account struct {
	// name is the name in metrics and log lines.
	name string
	// Now returns the time; tests replace it.
	Now func() time.Time
	// OnEvent is called for each connection that is refused or gives way; nil for no call. It must not block, and must
	// not call the account.
	OnEvent func(e Event)
	// maxBytes is the bound of usedBytes; 0 for none.
	maxBytes int64
	// mu guards the fields below, and those of the connections.
	mu sync.Mutex
	// usedBytes is the sum of what the connections hold. It is never negative.
	usedBytes int64
	// stages holds the connections of all doors that may give way, by stage; in each list those that have gone the longest
	// without progress are first.
	stages [stageCount]list.List
}

// Event describes a connection that was refused or gave way.
type Event struct {
	Door string
	What What
	// Held is the memory that the connection gave back, in bytes.
	Held int64
}

// What is what happened to a connection.
type What string

// The events: a connection that was closed as it was accepted; memory that was not granted; and connections that gave way,
// which are one that was refused and waited for its close, one without a request, one with a part of a head, and ones with
// a body or an answer of which nothing moved; and an answer of which the caller took nothing for the time of a write.
const (
	RefusedConnection What = "refusedConnection"
	RefusedMemory     What = "refusedMemory"
	EvictedClosing    What = "evictedClosing"
	EvictedIdle       What = "evictedIdle"
	EvictedHead       What = "evictedHead"
	EvictedBody       What = "evictedBody"
	EvictedAnswer     What = "evictedAnswer"
	TimedOutAnswer    What = "timedOutAnswer"
)

// stage is what a connection waits for.
type stage int

const (
	// closing is a connection whose request was refused, and which is about to be closed.
	closing stage = iota
	// idle is a connection without any part of a request.
	idle
	// head is a connection with a part of a head.
	head
	// body is a connection whose request's body is being read.
	body
	// answer is a connection to which an answer is being written.
	answer
	stageCount
	// service is a connection whose request is at work. It does not give way.
	service
)

// whats are the events of connections that give way, by stage.
var whats = [stageCount]What{EvictedClosing, EvictedIdle, EvictedHead, EvictedBody, EvictedAnswer}

const (
	// stallTime is how long a connection must have gone without progress before it gives way to others for its memory. It
	// is longer than a packet that was lost and sent again delays a sender.
	stallTime = time.Second
	// admitsPerSecond is the number of new connections that a door without room takes, in place of the oldest ones: these
	// give way the sooner, the fewer connections the door may have, but not before minRoomTime, in which a caller that has
	// just connected can send a request.
	admitsPerSecond = 2000
	minRoomTime     = 20 * time.Millisecond
	// pressTime is how long after a connection found no room others are closed after their requests.
	pressTime = time.Second
)

// NewAccount returns an account of maxBytes of memory; 0 for no bound. The name is that in metrics and log lines.
func NewAccount(name string, maxBytes int64) *Account {
	return &Account{Now: time.Now, name: name, maxBytes: maxBytes}
}

// UsedBytes returns the memory that is held.
func (a *Account) UsedBytes() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usedBytes
}

// use is what memory is wanted for. What is left free for others differs.
type use int

const (
	// forService is a request that was read whole.
	forService use = iota
	// forWaiting is a connection without a whole head.
	forWaiting
	// forBody is a body that is being read, or an answer that is not passed on yet.
	forBody
)

// reserve returns how much of the account memory for a use must leave free.
func (a *Account) reserve(u use) int64 {
	switch u {
	case forWaiting:
		return a.maxBytes / 8
	case forBody:
		return a.maxBytes / 4
	default:
		return 0
	}
}

// grant charges n bytes to c, and reports whether it did. A connection may hold as much as it leaves free. If there is
// not enough, others that hold memory without progress give way. mu must be held.
func (a *Account) grant(c *Conn, n int64, u use) bool {
	if c.evicted {
		return false
	}
	possible := n+c.heldBytes+a.left(c, n, u) <= a.maxBytes
	for !a.fits(c, n, u) {
		if !possible || !a.evictStalled(c) {
			a.report(c.door, RefusedMemory, 0)
			return false
		}
	}
	a.usedBytes += n
	c.heldBytes += n
	return true
}

// left returns how much must be left free when n bytes are charged to c.
func (a *Account) left(c *Conn, n int64, u use) int64 { return max(c.heldBytes+n, a.reserve(u)) }

// fits reports whether n bytes can be charged to c. mu must be held.
func (a *Account) fits(c *Conn, n int64, u use) bool {
	return a.maxBytes == 0 || a.usedBytes+n+a.left(c, n, u) <= a.maxBytes
}

// evictStalled takes the memory of a connection other than c that has made no progress for stallTime. It reports whether
// there was one. mu must be held.
func (a *Account) evictStalled(c *Conn) bool {
	before := a.Now().Add(-stallTime)
	for _, s := range []stage{head, body, answer, closing, idle} {
		for e := a.stages[s].Front(); e != nil; e = e.Next() {
			v := e.Value.(*Conn)
			if v.since.After(before) {
				break
			}
			if v != c {
				a.evict(v, false)
				return true
			}
		}
	}
	return false
}

// makeRoom closes the connection of a door that has gone the longest without progress, and at least for its room time, unless
// it is about to be closed. If it closed none, it returns when it may: the zero time if no connection may ever give way. mu
// must be held.
func (a *Account) makeRoom(d *Door) (closed bool, at time.Time) {
	if v := oldest(d, &a.stages[closing]); v != nil {
		a.evict(v, true)
		return true, at
	}
	var first *Conn
	for _, s := range []stage{idle, head, body, answer} {
		v := oldest(d, &a.stages[s])
		if v != nil && (first == nil || v.since.Before(first.since)) {
			first = v
		}
	}
	if first == nil {
		return false, at
	}
	if at := first.since.Add(d.roomTime()); a.Now().Before(at) {
		return false, at
	}
	a.evict(first, true)
	return true, at
}

// oldest returns the first connection of a door in a list; nil if there is none.
func oldest(d *Door, l *list.List) *Conn {
	for e := l.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); c.door == d {
			return c
		}
	}
	return nil
}

// evict takes the memory of a connection and ends what it waits for. A body ends with an error, so that its request is
// answered, unless the connection has to be closed; all others are closed. mu must be held.
func (a *Account) evict(c *Conn, closed bool) {
	a.report(c.door, whats[c.stage], c.heldBytes)
	s := c.stage
	soft := s == body && !closed
	a.discharge(c, !soft)
	if soft {
		_ = c.TCPConn.SetReadDeadline(longAgo)
		return
	}
	if s == head && c.door.refusal != nil {
		writeNow(c.TCPConn, c.door.refusal)
	}
	_ = c.TCPConn.Close()
}

// discharge takes what a connection holds from the account for good, and the connection itself if it is closed. mu must
// be held.
func (a *Account) discharge(c *Conn, closed bool) {
	a.setStage(c, service)
	a.usedBytes -= c.heldBytes
	c.heldBytes, c.evicted = 0, true
	if closed && !c.closed {
		c.closed = true
		c.door.conns--
	}
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// setStage sets what a connection waits for, from now on. mu must be held.
func (a *Account) setStage(c *Conn, s stage) {
	c.since = a.Now()
	switch {
	case c.element != nil && c.stage == s:
		a.stages[s].MoveToBack(c.element)
		return
	case c.element != nil:
		a.stages[c.stage].Remove(c.element)
		c.element = nil
	}
	c.stage = s
	if s < stageCount {
		c.element = a.stages[s].PushBack(c)
	}
}

func (a *Account) report(d *Door, w What, held int64) {
	if a.OnEvent != nil {
		a.OnEvent(Event{d.name, w, held})
	}
}
