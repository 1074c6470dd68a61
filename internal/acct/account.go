// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package acct

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxLineBytes is the maximum length of a log line. Read fails on a longer one.
	maxLineBytes = 1 << 20
	// maxHeadWaits is the maximum number of attempts that are kept to find what a late request
	// waited for. At 48 bytes each they take 48 MB, which is enough for two million log lines.
	// Further attempts count in all tables, but are not found as blockers of late requests.
	maxHeadWaits = 1 << 20
)

// Account holds the sums and samples of the logs that were read. Create it with New. It is not
// safe for concurrent use.
type Account struct {
	// Requests is the number of all requests, Late of those served late, Failed of those not
	// served. Read sets them.
	Requests, Late, Failed int
	// OmittedAttempts is the number of attempts beyond maxHeadWaits, which are not considered as
	// blockers of late requests. Read sets it.
	OmittedAttempts int
	// OmittedRequests is the number of requests beyond maxContentionRequests, which are missing in the table of
	// workspace classes. Read sets it.
	OmittedRequests int

	// interned holds the names of endpoints, routes and models in headWaits.
	interned  stringTable
	sources   []*source
	byName    map[string]*source
	misses    []miss
	headWaits []headWait
	missRows  map[missKey]*Totals
	blockers  map[blockerKey]*Totals
	bytes     map[bytesKey]int64
	calls     map[callKey]*callTimes
	// tokens is by route, attemptCounts by endpoint.
	tokens        map[string]*Tokens
	headTimes     map[headTimeKey]*HeadTimes
	attemptCounts map[string]int
	contention    contention
}

// miss is a request that was late or not served.
type miss struct {
	src *source
	// arrived is by the clock of the log until Finish puts it on the common clock; sent likewise.
	arrived time.Time
	route   string
	model   string
	// overMs is by how much the request was late or, if it was not served, how long it took.
	overMs    int64
	mainCause Cause
	parts     []causeTime
	// endpoint, sent and headMs are those of the attempt that gave the caller the head; see
	// headAttempt.
	endpoint string
	sent     time.Time
	headMs   int64
}

// headWait is the interval in which an attempt waited for its head: headMs from sent on. src is
// the index of the source; endpoint, route and model are indexes in Account.interned.
type headWait struct {
	src, endpoint, route, model int32
	sent                        time.Time
	headMs, readMs              int32
}

// stringTable assigns each distinct string an index, from 0 on. The zero value is empty.
type stringTable struct {
	strings []string
	indexes map[string]int32
}

// index returns the index of a name, which it adds if it is new.
func (n *stringTable) index(name string) int32 {
	if i, ok := n.indexes[name]; ok {
		return i
	}
	if n.indexes == nil {
		n.indexes = make(map[string]int32)
	}
	i := int32(len(n.strings))
	n.strings, n.indexes[name] = append(n.strings, name), i
	return i
}

// New returns an empty account.
func New() *Account {
	return &Account{
		byName: make(map[string]*source), missRows: make(map[missKey]*Totals), blockers: make(map[blockerKey]*Totals), bytes: make(map[bytesKey]int64),
		calls: make(map[callKey]*callTimes), tokens: make(map[string]*Tokens), headTimes: make(map[headTimeKey]*HeadTimes), attemptCounts: make(map[string]int),
		contention: newContention(),
	}
}

// Read adds one log. name is the name of the router that wrote it; a line whose text before its
// first brace names another router counts for that one. Lines that cannot be decoded are skipped.
// Read returns the error of r, or bufio.ErrTooLong if a line is longer than 1 MiB, each wrapped.
func (a *Account) Read(name string, r io.Reader) error {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		router, l, ok := parse(scan.Bytes())
		if !ok {
			continue
		}
		if router == "" {
			router = name
		}
		a.addLine(a.sourceOf(router), l)
	}
	return errors.Wrap(scan.Err(), name)
}

func (a *Account) sourceOf(name string) *source {
	s, ok := a.byName[name]
	if !ok {
		s = &source{name: name, index: int32(len(a.sources)), configTimes: make(map[string]time.Time)}
		a.byName[name] = s
		a.sources = append(a.sources, s)
	}
	return s
}

// addLine adds one line. The lines of the attempts of a request come before that of its end, and
// those of other requests may come in between.
func (a *Account) addLine(s *source, l line) {
	switch l.Msg {
	case msgStarted:
		// Requests that were under way at a restart have no line of their end.
		s.attempts = nil
	case msgConfig:
		s.recordConfig(&l)
	case msgAttempt:
		s.addAttempt(l)
	case msgEnded:
		a.addRequest(s, &l, s.takeAttempts(l.Request))
	case msgStoreCall:
		a.addCall(s, &l)
	case msgSent:
		a.addPeerBytes(&l)
	}
}

// addRequest adds a request at the line of its end. attempts holds the lines of its attempts.
func (a *Account) addRequest(s *source, end *line, attempts []line) {
	a.Requests++
	for i := range attempts {
		a.addAttempt(s, end.Route, &attempts[i])
	}
	e := miss{src: s, arrived: end.Time.Add(-time.Duration(end.TookMs) * time.Millisecond), route: end.Route}
	if t := headAttempt(attempts); t != nil {
		e.model, e.endpoint, e.sent, e.headMs = t.Model, t.Endpoint, t.SentAt, t.HeadMs
	}
	r := inTime
	if end.Outcome != outcomeWhole {
		a.Failed++
		r = failed
		e.mainCause, e.overMs, e.parts = notServed(end.Outcome), end.TookMs, []causeTime{{Held, end.held()}}
	} else if e.overMs, e.mainCause, e.parts = latenessOf(attempts, end); e.overMs > 0 {
		a.Late++
		r = late
	}
	if r != inTime {
		a.misses = append(a.misses, e)
	}
	a.addContention(attempts, end, r)
}

// result is how a request was served.
type result int

// The results. A request that was served on a route without targets is in time.
const (
	inTime result = iota
	late
	failed
)

// addAttempt adds one attempt of a request on a route.
func (a *Account) addAttempt(s *source, route string, t *line) {
	a.attemptCounts[t.Endpoint]++
	a.bytes[bytesKey{"prompts and bodies", t.CrossZone}] += t.SentBytes
	a.bytes[bytesKey{"answers", t.CrossZone}] += t.GotBytes
	a.addTokens(route, t)
	if t.Outcome == outcomeDropped || t.Outcome == outcomeDelivered {
		a.addHeadTime(route, t)
	}
	if len(a.headWaits) >= maxHeadWaits {
		a.OmittedAttempts++
		return
	}
	n := &a.interned
	a.headWaits = append(a.headWaits, headWait{s.index, n.index(t.Endpoint), n.index(route), n.index(t.Model), t.SentAt, int32(t.HeadMs), int32(t.ReadMs)})
}

// Finish puts the logs on a common clock and fills the tables. Call it once, after the last Read.
func (a *Account) Finish() {
	alignClocks(a.sources)
	for i := range a.headWaits {
		a.headWaits[i].sent = a.headWaits[i].sent.Add(-a.sources[a.headWaits[i].src].clockOffset)
	}
	slices.SortFunc(a.headWaits, func(p, q headWait) int {
		return cmp.Or(cmp.Compare(p.endpoint, q.endpoint), p.sent.Compare(q.sent), cmp.Compare(p.src, q.src))
	})
	first := a.start()
	for i := range a.misses {
		e := &a.misses[i]
		e.arrived = e.arrived.Add(-e.src.clockOffset)
		e.sent = e.sent.Add(-e.src.clockOffset)
		a.addMiss(e, int(e.arrived.Sub(first)/time.Second))
	}
	for _, c := range a.calls {
		c.setSeconds(first)
	}
}

// start returns the earliest time at which an attempt was sent or a late or failed request
// arrived, on the common clock. Seconds in tables and plots count from it.
func (a *Account) start() (t time.Time) {
	earlier := func(at time.Time) {
		if t.IsZero() || at.Before(t) {
			t = at
		}
	}
	for i := range a.headWaits {
		earlier(a.headWaits[i].sent)
	}
	for i := range a.misses {
		earlier(a.misses[i].arrived.Add(-a.misses[i].src.clockOffset))
	}
	return t
}

// addMiss adds a late or failed request to the tables. second is its time of arrival, counted from
// the start.
func (a *Account) addMiss(e *miss, second int) {
	r := getOrNew(a.missRows, missKey{e.route, e.model, e.mainCause, second})
	r.Requests++
	r.OverMs += e.overMs
	for _, p := range e.parts {
		r.CauseMs[slices.Index(latenessCauses, p.cause)] += p.ms
	}
	if e.mainCause != QueueWait && e.mainCause != UnpredictedWait {
		return
	}
	key := blockerKey{route: e.route, model: e.model, blocker: "nothing that the logs tell of"}
	if b := a.blocker(e); b != nil {
		key.blocker, key.sameRouter = a.interned.strings[b.route]+" "+a.interned.strings[b.model], b.src == e.src.index
	}
	q := getOrNew(a.blockers, key)
	q.Requests++
	q.OverMs += e.overMs
}

// maxLookBack is the number of preceding attempts at an endpoint that blocker considers.
const maxLookBack = 64

// blocker returns the attempt that a late request most likely waited for: among those that were
// sent to the same endpoint earlier and had no head yet when the late one was sent, the one with
// the longest predicted time to read its prompt. It returns nil if there is none.
func (a *Account) blocker(e *miss) (found *headWait) {
	endpoint := a.interned.index(e.endpoint)
	i, _ := slices.BinarySearchFunc(a.headWaits, e, func(p headWait, e *miss) int {
		return cmp.Or(cmp.Compare(p.endpoint, endpoint), p.sent.Compare(e.sent))
	})
	for j := i - 1; j >= max(i-maxLookBack, 0) && a.headWaits[j].endpoint == endpoint; j-- {
		p := &a.headWaits[j]
		headAt := p.sent.Add(time.Duration(p.headMs) * time.Millisecond)
		if headAt.After(e.sent) && (found == nil || p.readMs > found.readMs) {
			found = p
		}
	}
	return found
}

// getOrNew returns the value of a key in a map. If there is none, it adds a zero value.
func getOrNew[K comparable, V any](in map[K]*V, key K) *V {
	v, ok := in[key]
	if !ok {
		v = new(V)
		in[key] = v
	}
	return v
}
