// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package acct

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"gonum.org/v1/gonum/stat"
)

// rowKey names a row of the table of late and failed requests.
type rowKey struct {
	route, model string
	main         Cause
	second       int
}

// Row sums up requests.
type Row struct {
	Requests int
	// OverMs is by how much they were late, or how long they were held in vain.
	OverMs int64
	// Parts is where their time went, in milliseconds, in the order of lateness.
	Parts [9]int64
}

// add sums up rows.
func (r *Row) add(o *Row) {
	r.Requests += o.Requests
	r.OverMs += o.OverMs
	for i := range r.Parts {
		r.Parts[i] += o.Parts[i]
	}
}

// behindKey names what late requests waited behind.
type behindKey struct {
	route, model, behind string
	// own says that the same router had sent it.
	own bool
}

// bytesKey names bytes by what they were and whether they crossed zones.
type bytesKey struct {
	what string
	far  bool
}

// sentToPeers takes in what a router sent to others.
func (a *Account) sentToPeers(l *line) {
	a.bytes[bytesKey{"notes of load and failures", true}] += l.Notes
	a.bytes[bytesKey{"reports on roll-outs", true}] += l.Reports
	a.bytes[bytesKey{"questions to routers", true}] += l.Questions
	a.bytes[bytesKey{"answers to routers", true}] += l.Answers
}

// callKey names calls to the store.
type callKey struct {
	verb, kind string
	status     int
	router     string
}

// callRow holds when calls were made.
type callRow struct {
	src *source
	at  []time.Time
	// seconds holds them on the common clock.
	seconds []int
}

func (a *Account) call(s *source, l *line) {
	r := entry(a.calls, callKey{l.Verb, l.Kind, l.Status, s.name})
	r.src = s
	r.at = append(r.at, l.At)
}

// place puts the calls on the common clock.
func (r *callRow) place(first time.Time) {
	for _, at := range r.at {
		r.seconds = append(r.seconds, int(math.Floor(at.Add(-r.src.ahead).Sub(first).Seconds())))
	}
	slices.Sort(r.seconds)
}

// Tokens sums up the prompts of a route.
type Tokens struct {
	Attempts int
	// Believed is what the routers believed would be read.
	Believed int64
	// PassedOver counts the attempts that did not go where the prefix was believed to
	// be, PassedTokens what was read for that, and the costs, in milliseconds, are the
	// sums of the ones compared.
	PassedOver           int
	PassedTokens         int64
	CostMs, PassedCostMs int64
}

func (a *Account) read(route string, t *line) {
	r := entry(a.tokens, route)
	r.Attempts++
	r.Believed += int64(t.Unread)
	if t.Passed != "" {
		r.PassedOver++
		r.PassedTokens += int64(t.Unread)
		r.CostMs += t.CostMs
		r.PassedCostMs += t.PassedCostMs
	}
}

// headKey names attempts whose times to the head are compared.
type headKey struct{ route, model string }

// Heads holds foretold times to the head and actual ones, in milliseconds.
type Heads struct {
	// N counts them all; at most headsMost of them are kept.
	N                int
	foretold, actual []float64
}

// headsMost bounds the times that are kept of one sort; those of the first hour of a busy
// sort say as much as all.
const headsMost = 20_000

func (a *Account) head(route string, t *line) {
	h := entry(a.heads, headKey{route, t.Model})
	h.N++
	if len(h.actual) < headsMost {
		h.foretold = append(h.foretold, float64(t.WaitMs+t.ReadMs))
		h.actual = append(h.actual, float64(t.HeadMs))
	}
}

// Correlation returns that of foretold and actual times; 0 where there is none.
func (h *Heads) Correlation() float64 {
	if c := stat.Correlation(h.foretold, h.actual, nil); !math.IsNaN(c) {
		return c
	}
	return 0
}

// over returns by how much heads came later than foretold, in order.
func (h *Heads) over() []float64 {
	over := make([]float64, len(h.actual))
	for i, t := range h.actual {
		over[i] = t - h.foretold[i]
	}
	slices.Sort(over)
	return over
}

// Table is one table of an account.
type Table struct {
	// Name is one word, which also names a file of it.
	Name, Title string
	Head        []string
	Rows        [][]string
}

// Tables returns all tables; Finish comes before.
func (a *Account) Tables() []Table {
	return []Table{a.causes(), a.seconds(), a.waits(), a.crossed(), a.asked(), a.askers(), a.prompts(), a.foretold()}
}

// rowsBy sums up the rows of late and failed requests by what of gives.
func (a *Account) rowsBy(of func(k rowKey) rowKey) ([]rowKey, map[rowKey]*Row) {
	sum := make(map[rowKey]*Row)
	for k, r := range a.rows {
		entry(sum, of(k)).add(r)
	}
	keys := slices.SortedFunc(maps.Keys(sum), func(p, q rowKey) int {
		return cmp.Or(cmp.Compare(p.second, q.second), cmp.Compare(sum[q].OverMs, sum[p].OverMs), cmp.Compare(p.route, q.route), cmp.Compare(p.model, q.model), cmp.Compare(p.main, q.main))
	})
	return keys, sum
}

func (a *Account) causes() Table {
	t := Table{Name: "causes", Title: "Late and failed requests by route, model and main cause; their time by cause, in ms", Head: []string{"route", "model", "main cause", "requests", "over"}}
	for _, c := range lateness {
		t.Head = append(t.Head, string(c))
	}
	keys, sum := a.rowsBy(func(k rowKey) rowKey { k.second = 0; return k })
	for _, k := range keys {
		r := sum[k]
		row := []string{k.route, orNone(k.model), string(k.main), strconv.Itoa(r.Requests), text(r.OverMs)}
		for _, ms := range r.Parts {
			row = append(row, text(ms))
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

func (a *Account) seconds() Table {
	t := Table{Name: "seconds", Title: "Late and failed requests by second and main cause", Head: []string{"second", "main cause", "requests", "over ms"}}
	keys, sum := a.rowsBy(func(k rowKey) rowKey { return rowKey{main: k.main, second: k.second} })
	for _, k := range keys {
		t.Rows = append(t.Rows, []string{strconv.Itoa(k.second), string(k.main), strconv.Itoa(sum[k].Requests), text(sum[k].OverMs)})
	}
	return t
}

func (a *Account) waits() Table {
	t := Table{Name: "waits", Title: "What late requests waited behind", Head: []string{"route", "model", "behind", "sent by", "requests", "over ms"}}
	keys := slices.SortedFunc(maps.Keys(a.behind), func(p, q behindKey) int {
		return cmp.Or(cmp.Compare(a.behind[q].OverMs, a.behind[p].OverMs), cmp.Compare(p.route+p.model+p.behind, q.route+q.model+q.behind))
	})
	for _, k := range keys {
		by := "others"
		if k.own {
			by = "itself"
		}
		t.Rows = append(t.Rows, []string{k.route, orNone(k.model), k.behind, by, strconv.Itoa(a.behind[k].Requests), text(a.behind[k].OverMs)})
	}
	return t
}

func (a *Account) crossed() Table {
	t := Table{Name: "bytes", Title: "Bytes by what they were; what routers send one another is counted as crossing zones", Head: []string{"what", "in the zone", "across zones"}}
	whats := make(map[string]bool)
	for k := range a.bytes {
		whats[k.what] = true
	}
	for _, what := range slices.Sorted(maps.Keys(whats)) {
		t.Rows = append(t.Rows, []string{what, text(a.bytes[bytesKey{what, false}]), text(a.bytes[bytesKey{what, true}])})
	}
	return t
}

func (a *Account) asked() Table {
	t := Table{Name: "calls", Title: "Calls to the store", Head: []string{"verb", "kind", "status", "calls", "routers"}}
	sum, routers := make(map[callKey]int), make(map[callKey]int)
	for k, r := range a.calls {
		k.router = ""
		sum[k] += len(r.seconds)
		routers[k]++
	}
	keys := slices.SortedFunc(maps.Keys(sum), func(p, q callKey) int {
		return cmp.Or(cmp.Compare(sum[q], sum[p]), cmp.Compare(p.verb+p.kind, q.verb+q.kind), cmp.Compare(p.status, q.status))
	})
	for _, k := range keys {
		t.Rows = append(t.Rows, []string{k.verb, k.kind, strconv.Itoa(k.status), strconv.Itoa(sum[k]), strconv.Itoa(routers[k])})
	}
	return t
}

// askersShown is how many routers the table of those that call the store most has.
const askersShown = 10

func (a *Account) askers() Table {
	t := Table{Name: "askers", Title: "Routers that call the store most", Head: []string{"router", "calls"}}
	sum := make(map[string]int)
	for k, r := range a.calls {
		sum[k.router] += len(r.seconds)
	}
	names := slices.SortedFunc(maps.Keys(sum), func(p, q string) int { return cmp.Or(cmp.Compare(sum[q], sum[p]), cmp.Compare(p, q)) })
	for _, name := range names[:min(askersShown, len(names))] {
		t.Rows = append(t.Rows, []string{name, strconv.Itoa(sum[name])})
	}
	return t
}

func (a *Account) prompts() Table {
	t := Table{Name: "prompts", Title: "Prompts: tokens believed to be read, and where the holder of a prefix was passed over", Head: []string{"route", "attempts", "tokens", "passed over", "tokens for that", "mean cost ms", "of the holder"}}
	for _, route := range slices.Sorted(maps.Keys(a.tokens)) {
		r := a.tokens[route]
		n := int64(max(r.PassedOver, 1))
		t.Rows = append(t.Rows, []string{route, strconv.Itoa(r.Attempts), text(r.Believed), strconv.Itoa(r.PassedOver), text(r.PassedTokens), text(r.CostMs / n), text(r.PassedCostMs / n)})
	}
	return t
}

func (a *Account) foretold() Table {
	t := Table{Name: "heads", Title: "Times to the head, foretold and actual, in ms", Head: []string{"route", "model", "attempts", "foretold", "actual", "over p10", "over p50", "over p90", "correlation"}}
	for _, k := range a.headKeys() {
		h := a.heads[k]
		row := []string{k.route, orNone(k.model), strconv.Itoa(h.N), whole(stat.Mean(h.foretold, nil)), whole(stat.Mean(h.actual, nil))}
		for _, p := range []float64{0.1, 0.5, 0.9} {
			row = append(row, whole(stat.Quantile(p, stat.Empirical, h.over(), nil)))
		}
		t.Rows = append(t.Rows, append(row, fmt.Sprintf("%.2f", h.Correlation())))
	}
	return t
}

// headKeys returns the keys of heads in order.
func (a *Account) headKeys() []headKey {
	return slices.SortedFunc(maps.Keys(a.heads), func(p, q headKey) int { return cmp.Or(cmp.Compare(p.route, q.route), cmp.Compare(p.model, q.model)) })
}

func text(n int64) string { return strconv.FormatInt(n, 10) }

func whole(f float64) string { return strconv.FormatFloat(math.Round(f), 'f', 0, 64) }

// orNone returns a name, or a dash for none.
func orNone(name string) string {
	if name == "" {
		return "-"
	}
	return name
}
