// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package duty

import (
	"slices"
	"time"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/epoch"
	"github.com/traildrift/traildrift/pkg/usage"
)

// Kind is the kind of an Action.
type Kind string

// The kinds of actions. The router reports the outcome of each with Machine.Done; until then
// Machine.Next returns Nothing.
const (
	// Nothing means that no action is due.
	Nothing Kind = ""
	// Read reads the stored record.
	Read Kind = "read"
	// Create stores a record if the store holds none.
	Create Kind = "create"
	// Write replaces the stored record if it has the revision in Action.Record.
	Write Kind = "write"
	// Send sends a report to the platform.
	Send Kind = "send"
)

// Action is what a router has to do next.
type Action struct {
	Kind Kind
	// Record is the record to store, for Create and Write. Its Revision is that of the record to be
	// replaced.
	Record Record
	// Report is the report to send, with the fencing token Fence, for Send. The call must have ended
	// at Deadline.
	Report   Report
	Fence    int64
	Deadline time.Time
	// IssuedAt is when Next returned the action.
	IssuedAt time.Time
}

// Outcome is the result of an Action.
type Outcome string

// The outcomes.
const (
	// Done means that the action succeeded.
	Done Outcome = "done"
	// Conflict means that the store holds a record of another revision, or one at all for Create.
	Conflict Outcome = "conflict"
	// Missing means that the store holds no record.
	Missing Outcome = "missing"
	// Failed means that the action was not performed. Unknown means that it may have been, or may
	// still be.
	Failed  Outcome = "failed"
	Unknown Outcome = "unknown"
	// Refused means that the platform does not accept a report from this holder.
	Refused Outcome = "refused"
)

// View is the state of a router and its fleet that Machine.Next depends on.
type View struct {
	// Rank is the number of connected routers that come before this one in the order of takeover,
	// not counting the holder. Peers is the number of connected routers besides this one.
	Rank, Peers int
	// StoreReachable is set if the store has answered lately.
	StoreReachable bool
	// Ready holds the reports that may be settled, in the order of windows.
	Ready []Report
	// Window is the current window.
	Window usage.Window
	// Epoch is the newest known epoch of the store.
	Epoch int64
}

const (
	// authorityFraction is the part of the lease for which a holder may act after it has issued a
	// write.
	authorityFraction = 0.5
	// minAuthorityLeft is the authority that must be left for a call to begin.
	minAuthorityLeft = config.Span(300 * time.Millisecond)
	// takeoverRankDelay is the additional delay per rank before a router takes the duties over.
	takeoverRankDelay = config.Span(time.Second)
	// resignedRankDelay replaces takeoverRankDelay if the holder has resigned.
	resignedRankDelay = config.Span(300 * time.Millisecond)
	// initialBackoff is the pause after a failed call. It doubles with each further failure, up to
	// maxBackoff.
	initialBackoff = config.Span(400 * time.Millisecond)
	maxBackoff     = config.Span(4 * time.Second)
	// maxFailures is the number of consecutive failed calls after which a holder resigns if there
	// are other routers, which may reach the store or the platform where it cannot.
	maxFailures = 2
)

// Machine is the state machine of one router for the duties. It does no I/O and has no clock.
// Create it with New. It is not safe for concurrent use.
type Machine struct {
	// self is the name of the router's VM. incarnation identifies the router's process among those
	// of the VM. lease is the time within which two VMs must not alternate as the holder.
	self        string
	incarnation uint64
	lease       config.Span
	// startedAt is when the router started, or when the store was last found to hold no record.
	startedAt time.Time
	// rec is the newest known record. known is set if there is one; complete is set if it comes
	// from the store, and not from gossip, which carries only some of its fields.
	rec             Record
	known, complete bool
	// knownAt is when rec's revision became known. holderSeenAt is when gossip was last received
	// from its holder, or knownAt if that is later.
	knownAt, holderSeenAt time.Time
	// holderResigned is set if rec's holder has resigned, as its gossip reports.
	holderResigned bool
	// authorityEnd is when this router, as the holder, must have ended all calls; zero if it may
	// make none.
	authorityEnd time.Time
	// writeSeq is the sequence number of this router's last write, which was issued at
	// writeIssuedAt. It grows with each write.
	writeSeq      int64
	writeIssuedAt time.Time
	// peers is the number of other connected routers at the last call of Next.
	peers int
	// inFlight is set while an action is in progress.
	inFlight bool
	// notBefore is the earliest time of the next action after a failed one. failures is the number
	// of consecutive failures.
	notBefore time.Time
	failures  int
	// writeInDoubt is set if it is not known whether a write was performed, or with which revision.
	writeInDoubt bool
	// accepted holds the windows whose reports the platform has accepted from this router.
	accepted map[usage.Window]bool
	// removedRevision is the newest revision that the store was found not to hold any more. Gossip
	// of other routers may still carry it.
	removedRevision epoch.Revision
	// settled is the newest window that the store or gossip reported as settled. It never decreases.
	settled usage.Window
	// resignedUntil is the time until which this router neither holds nor takes over the duties.
	// stopped is set if that is permanent.
	resignedUntil time.Time
	stopped       bool
}

// New returns the machine of a router that starts now on the VM named vm. incarnation identifies
// the process among the VM's routers. lease is the time within which two VMs must not alternate as
// the holder.
func New(vm string, incarnation uint64, lease config.Span, now time.Time) *Machine {
	return &Machine{self: vm, incarnation: incarnation, lease: lease, startedAt: now, accepted: make(map[usage.Window]bool)}
}

// isHolder reports whether this incarnation of the router is the holder, according to the newest
// known record.
func (m *Machine) isHolder() bool {
	return m.known && !m.isRestored() && m.rec.Holder == m.self && m.rec.Incarnation == m.incarnation
}

// isRestored reports whether the newest known record was brought back by the store, so that it names no
// holder. Gossip does not tell.
func (m *Machine) isRestored() bool { return m.complete && m.rec.restored() }

// resigned reports whether this router has resigned or stopped.
func (m *Machine) resigned(now time.Time) bool { return m.stopped || now.Before(m.resignedUntil) }

// Holds reports whether this router is the holder, by a record read from the store, and has not
// resigned.
func (m *Machine) Holds(now time.Time) bool { return m.isHolder() && m.complete && !m.resigned(now) }

// Settled returns the newest window that is known to be settled: its counts are final.
func (m *Machine) Settled() usage.Window { return m.settled }

// Record returns the newest known record. It has only the fields that gossip carries if it was not
// read from the store.
func (m *Machine) Record() (r Record, known bool) { return m.rec, m.known }

// Gossip returns the message to send to other routers.
func (m *Machine) Gossip(now time.Time) Gossip {
	g := Gossip{Settled: m.settled}
	if m.known && !m.isRestored() {
		g.Holder, g.Incarnation, g.Revision = m.rec.Holder, m.rec.Incarnation, m.rec.Revision
		g.Resigned = m.holderResigned
		if m.isHolder() {
			// A call in progress may still reach the platform.
			g.Resigned = m.resigned(now) && !m.inFlight
		}
	}
	return g
}

// ReceiveGossip merges a message received from the router of the VM named from.
func (m *Machine) ReceiveGossip(now time.Time, from string, g Gossip) {
	m.settled = max(m.settled, g.Settled)
	if g.Holder == "" || g.Revision <= m.removedRevision {
		return
	}
	if !m.known || g.Revision > m.rec.Revision {
		m.rec = Record{Holder: g.Holder, Incarnation: g.Incarnation, Revision: g.Revision, Settled: m.settled}
		m.known, m.complete, m.holderResigned = true, false, false
		m.authorityEnd = time.Time{}
		m.knownAt, m.holderSeenAt = now, now
	}
	if g.Revision == m.rec.Revision && from == g.Holder && from != m.self {
		m.holderResigned = g.Resigned
		m.holderSeenAt = now
	}
}

// Stop resigns the duties permanently.
func (m *Machine) Stop() { m.stopped = true }

// Next returns the action to perform now. It returns Nothing while an action is in progress or a
// backoff lasts.
func (m *Machine) Next(now time.Time, v View) Action {
	if m.inFlight || now.Before(m.notBefore) {
		return Action{}
	}
	m.peers = v.Peers
	var a Action
	switch {
	case m.resigned(now):
	case m.writeInDoubt && v.StoreReachable:
		a.Kind = Read
	case m.isHolder() && m.complete:
		a = m.holderAction(now, v)
	case v.StoreReachable:
		a = m.candidateAction(now, v)
	}
	if a.Kind != Nothing {
		a.IssuedAt, m.inFlight = now, true
	}
	if a.Kind == Write || a.Kind == Create {
		m.writeSeq++
		m.writeIssuedAt, a.Record.WriteSeq = now, m.writeSeq
		a.Record.Epoch = max(v.Epoch, a.Record.Revision.Epoch())
	}
	return a
}

// holderAction returns the action of a holder: it sends the unsent reports while its last write
// gives it authority, and otherwise writes the record to gain authority.
func (m *Machine) holderAction(now time.Time, v View) Action {
	if m.rec.Fresh && now.Before(m.authorityFrom(m.knownAt)) {
		// The holder named in a removed record may still have authority.
		return Action{}
	}
	unsent := m.firstUnsent()
	if unsent != nil && minAuthorityLeft.After(now).Before(m.authorityEnd) {
		return Action{Kind: Send, Report: *unsent, Fence: m.rec.EffectiveFence(), Deadline: m.authorityEnd}
	}
	if v.StoreReachable && (unsent != nil || len(v.Ready) > 0) {
		return Action{Kind: Write, Record: m.rec.renewed(v.Ready, m.isAccepted, v.Window)}
	}
	return Action{}
}

// authorityFrom returns the end of the authority that a write issued at a time gives.
func (m *Machine) authorityFrom(at time.Time) time.Time {
	return at.Add(time.Duration(authorityFraction * float64(m.lease)))
}

// firstUnsent returns the first stored report that the platform has not accepted; nil if there is
// none.
func (m *Machine) firstUnsent() *Report {
	for i := range m.rec.Unsent {
		if !m.accepted[m.rec.Unsent[i].Window] {
			return &m.rec.Unsent[i]
		}
	}
	return nil
}

// isAccepted reports whether the platform has accepted this router's report of a window.
func (m *Machine) isAccepted(w usage.Window) bool { return m.accepted[w] }

// candidateAction returns the action of a router that is not the holder: it takes the duties over
// if there is no record, or if nothing was received from the holder for long enough.
func (m *Machine) candidateAction(now time.Time, v View) Action {
	rank := time.Duration(v.Rank)
	if !m.known {
		if now.Before(m.lease.After(m.startedAt).Add(rank * time.Duration(takeoverRankDelay))) {
			return Action{}
		}
		return Action{Kind: Create, Record: Record{Holder: m.self, Incarnation: m.incarnation, Fresh: true, Settled: max(m.settled, v.Window-1)}}
	}
	if now.Before(m.takeoverAt(rank)) {
		return Action{}
	}
	if !m.complete {
		return Action{Kind: Read}
	}
	next := m.rec.takeover(m.self, m.incarnation, v.Window)
	if m.isRestored() {
		// A later holder may have settled the same windows with other counts.
		next.Fresh, next.Unsent = true, nil
	}
	return Action{Kind: Write, Record: next}
}

// takeoverAt returns when this router, of the given rank, may take the duties over. The holder's
// calls end half a lease after the write that gave rec its revision, so that none of them arrives
// after the lease; a holder that has resigned makes none. A VM that held the duties before waits
// for the lease in any case, so that two VMs do not alternate within it. After an earlier process of
// its own, a router waits only until the calls of that process have ended.
func (m *Machine) takeoverAt(rank time.Duration) time.Time {
	switch {
	case m.isRestored():
		// The last holder may be any router, and its authority lasts until half a lease after the return.
		return m.lease.After(m.knownAt).Add(rank * time.Duration(takeoverRankDelay))
	case m.isHolder():
		return m.knownAt
	case m.rec.Holder == m.self:
		return m.authorityFrom(m.knownAt)
	case m.holderResigned && !slices.Contains(m.rec.PastHolders, m.self):
		return m.knownAt.Add(rank * time.Duration(resignedRankDelay))
	default:
		// holderSeenAt is never before knownAt.
		last := m.holderSeenAt
		if m.holderResigned {
			last = m.knownAt
		}
		return m.lease.After(last).Add(rank * time.Duration(takeoverRankDelay))
	}
}

// Done records the outcome of an action that Next returned. r is the record that the store
// returned; it is used after Done and Conflict, except for a Create that succeeded.
func (m *Machine) Done(now time.Time, a Action, o Outcome, r Record) {
	m.inFlight = false
	if a.Kind == Send {
		m.reportDone(now, a, o)
		return
	}
	switch o {
	case Done, Conflict:
		m.failures, m.writeInDoubt = 0, false
		if a.Kind == Create && o == Done {
			// The store does not return the revision of a created object: read it.
			m.writeInDoubt = true
			return
		}
		m.adopt(now, r)
	case Missing:
		m.failures, m.writeInDoubt = 0, false
		m.resetRecord(now)
	default:
		m.writeInDoubt = m.writeInDoubt || o == Unknown && a.Kind != Read
		m.recordFailure(now)
	}
}

// reportDone records the outcome of sending a report.
func (m *Machine) reportDone(now time.Time, a Action, o Outcome) {
	switch o {
	case Done:
		m.accepted[a.Report.Window] = true
		m.failures = 0
	case Refused:
		m.resign(now)
	default:
		m.recordFailure(now)
	}
}

// adopt replaces the known record by one that the store returned.
func (m *Machine) adopt(now time.Time, r Record) {
	if !m.known || r.Revision != m.rec.Revision {
		m.knownAt, m.holderSeenAt, m.holderResigned = now, now, false
	}
	m.rec, m.known, m.complete = r, true, true
	m.settled = max(m.settled, r.Settled)
	m.rec.Settled = m.settled
	m.authorityEnd = time.Time{}
	if m.isHolder() && r.WriteSeq == m.writeSeq {
		// If the record comes from a read or a conflict, the write may have been performed long
		// ago, but not before it was issued.
		m.authorityEnd = m.authorityFrom(m.writeIssuedAt)
	}
	for w := range m.accepted {
		if w < m.settled-maxUnsent {
			delete(m.accepted, w)
		}
	}
}

// resetRecord records that the store holds no record: the next one is created as after a start.
func (m *Machine) resetRecord(now time.Time) {
	m.removedRevision = max(m.removedRevision, m.rec.Revision)
	m.rec, m.known, m.complete, m.holderResigned = Record{}, false, false, false
	m.authorityEnd, m.startedAt = time.Time{}, now
}

// recordFailure records a failed call: it starts the backoff, and resigns after maxFailures if this
// router is the holder and there are others.
func (m *Machine) recordFailure(now time.Time) {
	pause := min(initialBackoff<<min(m.failures, 8), maxBackoff)
	m.notBefore = pause.After(now)
	m.failures++
	if m.isHolder() && m.failures >= maxFailures && m.peers > 0 {
		m.resign(now)
	}
}

// resign leaves the duties to other routers for two leases.
func (m *Machine) resign(now time.Time) {
	m.resignedUntil = (2 * m.lease).After(now)
	m.authorityEnd, m.failures = time.Time{}, 0
}
