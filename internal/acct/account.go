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
	// lineMost bounds a line of a log, in bytes.
	lineMost = 1 << 20
	// intervalsMost bounds the attempts that are kept to find what a late one waited
	// behind: at 48 bytes each they take 48 MB, enough for two million lines of
	// logs. Later ones count in all tables, but hold up nobody.
	intervalsMost = 1 << 20
)

// Account is what logs tell. Use New.
type Account struct {
	// Requests counts all requests, Late those served late, Failed those not served.
	Requests, Late, Failed int
	// LeftOut counts attempts beyond those that are kept.
	LeftOut int

	names   names
	sources []*source
	byName  map[string]*source
	ends    []ended
	ivals   []interval
	rows    map[rowKey]*Row
	behind  map[behindKey]*Row
	bytes   map[bytesKey]int64
	calls   map[callKey]*callRow
	tokens  map[string]*Tokens
	heads   map[headKey]*Heads
	load    map[string]int
}

// ended is a request that was late or not served.
type ended struct {
	src   *source
	at    time.Time
	route string
	model string
	over  int64
	main  Cause
	parts []share
	// endpoint and sent are those of the last attempt.
	endpoint string
	sent     time.Time
	head     int64
}

// interval is the time in which an attempt waited for its head. Names stand as their
// numbers, see names.
type interval struct {
	src, endpoint, route, model int32
	sent                        time.Time
	headMs, readMs              int32
}

// names numbers names. The zero value has none.
type names struct {
	list    []string
	numbers map[string]int32
}

// number returns the number of a name.
func (n *names) number(name string) int32 {
	if i, ok := n.numbers[name]; ok {
		return i
	}
	if n.numbers == nil {
		n.numbers = make(map[string]int32)
	}
	i := int32(len(n.list))
	n.list, n.numbers[name] = append(n.list, name), i
	return i
}

// New returns an empty account.
func New() *Account {
	return &Account{
		byName: make(map[string]*source), rows: make(map[rowKey]*Row), behind: make(map[behindKey]*Row), bytes: make(map[bytesKey]int64),
		calls: make(map[callKey]*callRow), tokens: make(map[string]*Tokens), heads: make(map[headKey]*Heads), load: make(map[string]int),
	}
}

// Read takes in one log. Its lines are those of the router that name names, unless
// something before a line's first brace names another one.
func (a *Account) Read(name string, log io.Reader) error {
	scan := bufio.NewScanner(log)
	scan.Buffer(nil, lineMost)
	for scan.Scan() {
		router, l, ok := parse(scan.Bytes())
		if !ok {
			continue
		}
		if router == "" {
			router = name
		}
		a.take(a.source(router), l)
	}
	return errors.Wrap(scan.Err(), name)
}

func (a *Account) source(name string) *source {
	s, ok := a.byName[name]
	if !ok {
		s = &source{name: name, number: int32(len(a.sources)), marks: make(map[string]time.Time)}
		a.byName[name] = s
		a.sources = append(a.sources, s)
	}
	return s
}

// take takes in one line.
func (a *Account) take(s *source, l line) {
	switch l.Msg {
	case msgStarted:
		// What was under way in an earlier life has no end.
		s.attempts = s.attempts[:0]
	case msgConfig:
		s.mark(&l)
	case msgAttempt:
		s.attempts = append(s.attempts, l)
	case msgEnded:
		a.request(s, &l)
		s.attempts = s.attempts[:0]
	case msgStoreCall:
		a.call(s, &l)
	case msgSent:
		a.sentToPeers(&l)
	}
}

// request takes in the end of a request whose attempts came before.
func (a *Account) request(s *source, end *line) {
	a.Requests++
	for i := range s.attempts {
		a.attempt(s, end.Route, &s.attempts[i])
	}
	e := ended{src: s, at: end.At.Add(-time.Duration(end.TookMs) * time.Millisecond), route: end.Route}
	if n := len(s.attempts); n > 0 {
		last := &s.attempts[n-1]
		e.model, e.endpoint, e.sent, e.head = last.Model, last.Endpoint, last.Sent, last.HeadMs
	}
	if end.Outcome != outcomeWhole {
		a.Failed++
		e.main, e.over = refused(end.Outcome), end.TookMs
		a.ends = append(a.ends, e)
		return
	}
	e.over, e.main, e.parts = late(s.attempts, end)
	if e.over > 0 {
		a.Late++
		a.ends = append(a.ends, e)
	}
}

// attempt takes in one attempt of a request on a route.
func (a *Account) attempt(s *source, route string, t *line) {
	a.load[t.Endpoint]++
	a.bytes[bytesKey{"prompts and bodies", t.Far}] += t.SentBytes
	a.bytes[bytesKey{"answers", t.Far}] += t.GotBytes
	a.read(route, t)
	if t.Outcome == outcomeDropped || t.Outcome == "delivered" {
		a.head(route, t)
	}
	if len(a.ivals) >= intervalsMost {
		a.LeftOut++
		return
	}
	n := &a.names
	a.ivals = append(a.ivals, interval{s.number, n.number(t.Endpoint), n.number(route), n.number(t.Model), t.Sent, int32(t.HeadMs), int32(t.ReadMs)})
}

// Finish puts the logs on one clock and fills the tables; it is called once, after the
// last Read.
func (a *Account) Finish() {
	align(a.sources)
	for i := range a.ivals {
		a.ivals[i].sent = a.ivals[i].sent.Add(-a.sources[a.ivals[i].src].ahead)
	}
	slices.SortFunc(a.ivals, func(p, q interval) int {
		return cmp.Or(cmp.Compare(p.endpoint, q.endpoint), p.sent.Compare(q.sent), cmp.Compare(p.src, q.src))
	})
	first := a.first()
	for i := range a.ends {
		e := &a.ends[i]
		e.at = e.at.Add(-e.src.ahead)
		e.sent = e.sent.Add(-e.src.ahead)
		a.enter(e, int(e.at.Sub(first)/time.Second))
	}
	for _, c := range a.calls {
		c.place(first)
	}
}

// first returns when the first attempt was sent or the first request ended.
func (a *Account) first() (t time.Time) {
	earlier := func(at time.Time) {
		if t.IsZero() || at.Before(t) {
			t = at
		}
	}
	for i := range a.ivals {
		earlier(a.ivals[i].sent)
	}
	for i := range a.ends {
		earlier(a.ends[i].at.Add(-a.ends[i].src.ahead))
	}
	return t
}

// enter adds a late or failed request to the tables.
func (a *Account) enter(e *ended, second int) {
	r := entry(a.rows, rowKey{e.route, e.model, e.main, second})
	r.Requests++
	r.OverMs += e.over
	for _, p := range e.parts {
		r.Parts[slices.Index(lateness, p.cause)] += p.ms
	}
	if e.main != Behind && e.main != Unforeseen {
		return
	}
	key := behindKey{route: e.route, model: e.model, behind: "nothing that the logs tell of"}
	if b := a.ahead(e); b != nil {
		key.behind, key.own = a.names.list[b.route]+" "+a.names.list[b.model], b.src == e.src.number
	}
	q := entry(a.behind, key)
	q.Requests++
	q.OverMs += e.over
}

// lookBack is how many attempts at an endpoint before a late one are looked at.
const lookBack = 64

// ahead returns the attempt with the longest prompt among those that were sent to the
// same endpoint before a late one and had no head yet; nil if there is none.
func (a *Account) ahead(e *ended) (found *interval) {
	endpoint := a.names.number(e.endpoint)
	i, _ := slices.BinarySearchFunc(a.ivals, e, func(p interval, e *ended) int {
		return cmp.Or(cmp.Compare(p.endpoint, endpoint), p.sent.Compare(e.sent))
	})
	for j := i - 1; j >= max(i-lookBack, 0) && a.ivals[j].endpoint == endpoint; j-- {
		p := &a.ivals[j]
		over := p.sent.Add(time.Duration(p.headMs) * time.Millisecond)
		if over.After(e.sent) && (found == nil || p.readMs > found.readMs) {
			found = p
		}
	}
	return found
}

// entry returns what a map holds under a key; a new zero value if there is none.
func entry[K comparable, V any](in map[K]*V, key K) *V {
	v, ok := in[key]
	if !ok {
		v = new(V)
		in[key] = v
	}
	return v
}
