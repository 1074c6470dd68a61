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
	// maxLineBytes bounds a line of a log, in bytes.
	maxLineBytes = 1 << 20
	// maxHeadWaits bounds the attempts that are kept to find what a late one waited
	// behind: at 48 bytes each they take 48 MB, enough for two million lines of
	// logs. Later ones count in all tables, but hold up nobody.
	maxHeadWaits = 1 << 20
)

// Account is what logs tell. Use New.
type Account struct {
	// Requests counts all requests, Late those served late, Failed those not served.
	Requests, Late, Failed int
	// OmittedAttempts counts attempts beyond those that are kept.
	OmittedAttempts int

	interned      stringTable
	sources       []*source
	byName        map[string]*source
	misses        []miss
	headWaits     []headWait
	missRows      map[missKey]*Totals
	blockers      map[blockerKey]*Totals
	bytes         map[bytesKey]int64
	calls         map[callKey]*callTimes
	tokens        map[string]*Tokens
	headTimes     map[headTimeKey]*HeadTimes
	attemptCounts map[string]int
}

// miss is a request that was late or not served.
type miss struct {
	src       *source
	arrived   time.Time
	route     string
	model     string
	overMs    int64
	mainCause Cause
	parts     []causeTime
	// endpoint and sent are those of the last attempt.
	endpoint string
	sent     time.Time
	headMs   int64
}

// headWait is the time in which an attempt waited for its head. Names stand as their
// numbers, see names.
type headWait struct {
	src, endpoint, route, model int32
	sent                        time.Time
	headMs, readMs              int32
}

// stringTable numbers stringTable. The zero value has none.
type stringTable struct {
	strings []string
	indexes map[string]int32
}

// index returns the index of a name.
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
	}
}

// Read takes in one log. Its lines are those of the router that name names, unless
// something before a line's first brace names another one.
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

// addLine takes in one line.
func (a *Account) addLine(s *source, l line) {
	switch l.Msg {
	case msgStarted:
		// What was under way in an earlier life has no end.
		s.attempts = s.attempts[:0]
	case msgConfig:
		s.recordConfig(&l)
	case msgAttempt:
		s.attempts = append(s.attempts, l)
	case msgEnded:
		a.addRequest(s, &l)
		s.attempts = s.attempts[:0]
	case msgStoreCall:
		a.addCall(s, &l)
	case msgSent:
		a.addPeerBytes(&l)
	}
}

// addRequest takes in the end of a addRequest whose attempts came before.
func (a *Account) addRequest(s *source, end *line) {
	a.Requests++
	for i := range s.attempts {
		a.addAttempt(s, end.Route, &s.attempts[i])
	}
	e := miss{src: s, arrived: end.Time.Add(-time.Duration(end.TookMs) * time.Millisecond), route: end.Route}
	if n := len(s.attempts); n > 0 {
		last := &s.attempts[n-1]
		e.model, e.endpoint, e.sent, e.headMs = last.Model, last.Endpoint, last.SentAt, last.HeadMs
	}
	if end.Outcome != outcomeWhole {
		a.Failed++
		e.mainCause, e.overMs = notServed(end.Outcome), end.TookMs
		a.misses = append(a.misses, e)
		return
	}
	e.overMs, e.mainCause, e.parts = latenessOf(s.attempts, end)
	if e.overMs > 0 {
		a.Late++
		a.misses = append(a.misses, e)
	}
}

// addAttempt takes in one addAttempt of a request on a route.
func (a *Account) addAttempt(s *source, route string, t *line) {
	a.attemptCounts[t.Endpoint]++
	a.bytes[bytesKey{"prompts and bodies", t.CrossZone}] += t.SentBytes
	a.bytes[bytesKey{"answers", t.CrossZone}] += t.GotBytes
	a.addTokens(route, t)
	if t.Outcome == outcomeDropped || t.Outcome == "delivered" {
		a.addHeadTime(route, t)
	}
	if len(a.headWaits) >= maxHeadWaits {
		a.OmittedAttempts++
		return
	}
	n := &a.interned
	a.headWaits = append(a.headWaits, headWait{s.index, n.index(t.Endpoint), n.index(route), n.index(t.Model), t.SentAt, int32(t.HeadMs), int32(t.ReadMs)})
}

// Finish puts the logs on one clock and fills the tables; it is called once, after the
// last Read.
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

// start returns when the start attempt was sent or the start request ended.
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

// addMiss adds a late or failed request to the tables.
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

// maxLookBack is how many attempts at an endpoint before a late one are looked at.
const maxLookBack = 64

// blocker returns the attempt with the longest prompt among those that were sent to the
// same endpoint before a late one and had no head yet; nil if there is none.
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

// getOrNew returns what a map holds under a key; a new zero value if there is none.
func getOrNew[K comparable, V any](in map[K]*V, key K) *V {
	v, ok := in[key]
	if !ok {
		v = new(V)
		in[key] = v
	}
	return v
}
