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

// missKey names a row of the table of late and failed requests.
type missKey struct {
	route, model string
	mainCause    Cause
	second       int
}

// Totals sums up requests.
type Totals struct {
	Requests int
	// OverMs is by how much they were late, or how long they were held in vain.
	OverMs int64
	// CauseMs is where their time went, in milliseconds, in the order of lateness.
	CauseMs [9]int64
}

// add sums up rows.
func (r *Totals) add(o *Totals) {
	r.Requests += o.Requests
	r.OverMs += o.OverMs
	for i := range r.CauseMs {
		r.CauseMs[i] += o.CauseMs[i]
	}
}

// blockerKey names what late requests waited behind.
type blockerKey struct {
	route, model, blocker string
	// sameRouter says that the same router had sent it.
	sameRouter bool
}

// bytesKey names bytes by what they were and whether they crossed zones.
type bytesKey struct {
	content   string
	crossZone bool
}

// addPeerBytes takes in what a router sent to others.
func (a *Account) addPeerBytes(l *line) {
	a.bytes[bytesKey{"notes of load and failures", true}] += l.AttemptReportBytes
	a.bytes[bytesKey{"reports on roll-outs", true}] += l.TrialReportBytes
	a.bytes[bytesKey{"questions to routers", true}] += l.PullRequestBytes
	a.bytes[bytesKey{"answers to routers", true}] += l.PullResponseBytes
}

// callKey names calls to the store.
type callKey struct {
	verb, kind string
	status     int
	router     string
}

// callTimes holds when calls were made.
type callTimes struct {
	src   *source
	times []time.Time
	// seconds holds them on the common clock.
	seconds []int
}

func (a *Account) addCall(s *source, l *line) {
	r := getOrNew(a.calls, callKey{l.Verb, l.Kind, l.Status, s.name})
	r.src = s
	r.times = append(r.times, l.Time)
}

// setSeconds puts the calls on the common clock.
func (r *callTimes) setSeconds(start time.Time) {
	for _, at := range r.times {
		r.seconds = append(r.seconds, int(math.Floor(at.Add(-r.src.clockOffset).Sub(start).Seconds())))
	}
	slices.Sort(r.seconds)
}

// Tokens sums up the prompts of a route.
type Tokens struct {
	Attempts int
	// Predicted is what the routers believed would be read.
	Predicted int64
	// PassedOver counts the attempts that did not go where the prefix was believed to
	// be, PassedTokens what was read for that, and the costs, in milliseconds, are the
	// sums of the ones compared.
	PassedOver           int
	PassedTokens         int64
	CostMs, PassedCostMs int64
}

func (a *Account) addTokens(route string, t *line) {
	r := getOrNew(a.tokens, route)
	r.Attempts++
	r.Predicted += int64(t.UnreadTokens)
	if t.PassedOver != "" {
		r.PassedOver++
		r.PassedTokens += int64(t.UnreadTokens)
		r.CostMs += t.CostMs
		r.PassedCostMs += t.PassedCostMs
	}
}

// headTimeKey names attempts whose times to the head are compared.
type headTimeKey struct{ route, model string }

// HeadTimes holds foretold times to the head and actual ones, in milliseconds.
type HeadTimes struct {
	// N counts them all; at most headsMost of them are kept.
	N                 int
	predicted, actual []float64
}

// maxHeadTimes bounds the times that are kept of one sort; those of the first hour of a busy
// sort say as much as all.
const maxHeadTimes = 20_000

func (a *Account) addHeadTime(route string, t *line) {
	h := getOrNew(a.headTimes, headTimeKey{route, t.Model})
	h.N++
	if len(h.actual) < maxHeadTimes {
		h.predicted = append(h.predicted, float64(t.WaitMs+t.ReadMs))
		h.actual = append(h.actual, float64(t.HeadMs))
	}
}

// Correlation returns that of foretold and actual times; 0 where there is none.
func (h *HeadTimes) Correlation() float64 {
	if c := stat.Correlation(h.predicted, h.actual, nil); !math.IsNaN(c) {
		return c
	}
	return 0
}

// predictionErrors returns by how much heads came later than foretold, in order.
func (h *HeadTimes) predictionErrors() []float64 {
	late := make([]float64, len(h.actual))
	for i, t := range h.actual {
		late[i] = t - h.predicted[i]
	}
	slices.Sort(late)
	return late
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
	return []Table{a.causes(), a.seconds(), a.waits(), a.zoneBytes(), a.storeCalls(), a.topCallers(), a.prompts(), a.headTimeTable()}
}

// missRowsBy sums up the rows of late and failed requests by what of gives.
func (a *Account) missRowsBy(group func(k missKey) missKey) ([]missKey, map[missKey]*Totals) {
	sum := make(map[missKey]*Totals)
	for k, r := range a.missRows {
		getOrNew(sum, group(k)).add(r)
	}
	keys := slices.SortedFunc(maps.Keys(sum), func(p, q missKey) int {
		return cmp.Or(cmp.Compare(p.second, q.second), cmp.Compare(sum[q].OverMs, sum[p].OverMs), cmp.Compare(p.route, q.route), cmp.Compare(p.model, q.model), cmp.Compare(p.mainCause, q.mainCause))
	})
	return keys, sum
}

func (a *Account) causes() Table {
	t := Table{Name: "causes", Title: "Late and failed requests by route, model and main cause; their time by cause, in ms", Head: []string{"route", "model", "main cause", "requests", "over"}}
	for _, c := range latenessCauses {
		t.Head = append(t.Head, string(c))
	}
	keys, sum := a.missRowsBy(func(k missKey) missKey { k.second = 0; return k })
	for _, k := range keys {
		r := sum[k]
		row := []string{k.route, orDash(k.model), string(k.mainCause), strconv.Itoa(r.Requests), formatInt(r.OverMs)}
		for _, ms := range r.CauseMs {
			row = append(row, formatInt(ms))
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

func (a *Account) seconds() Table {
	t := Table{Name: "seconds", Title: "Late and failed requests by second and main cause", Head: []string{"second", "main cause", "requests", "over ms"}}
	keys, sum := a.missRowsBy(func(k missKey) missKey { return missKey{mainCause: k.mainCause, second: k.second} })
	for _, k := range keys {
		t.Rows = append(t.Rows, []string{strconv.Itoa(k.second), string(k.mainCause), strconv.Itoa(sum[k].Requests), formatInt(sum[k].OverMs)})
	}
	return t
}

func (a *Account) waits() Table {
	t := Table{Name: "waits", Title: "What late requests waited behind", Head: []string{"route", "model", "behind", "sent by", "requests", "over ms"}}
	keys := slices.SortedFunc(maps.Keys(a.blockers), func(p, q blockerKey) int {
		return cmp.Or(cmp.Compare(a.blockers[q].OverMs, a.blockers[p].OverMs), cmp.Compare(p.route+p.model+p.blocker, q.route+q.model+q.blocker))
	})
	for _, k := range keys {
		by := "others"
		if k.sameRouter {
			by = "itself"
		}
		t.Rows = append(t.Rows, []string{k.route, orDash(k.model), k.blocker, by, strconv.Itoa(a.blockers[k].Requests), formatInt(a.blockers[k].OverMs)})
	}
	return t
}

func (a *Account) zoneBytes() Table {
	t := Table{Name: "bytes", Title: "Bytes by what they were; what routers send one another is counted as crossing zones", Head: []string{"what", "in the zone", "across zones"}}
	contents := make(map[string]bool)
	for k := range a.bytes {
		contents[k.content] = true
	}
	for _, what := range slices.Sorted(maps.Keys(contents)) {
		t.Rows = append(t.Rows, []string{what, formatInt(a.bytes[bytesKey{what, false}]), formatInt(a.bytes[bytesKey{what, true}])})
	}
	return t
}

func (a *Account) storeCalls() Table {
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

// maxTopCallers is how many routers the table of those that call the store most has.
const maxTopCallers = 10

func (a *Account) topCallers() Table {
	t := Table{Name: "askers", Title: "Routers that call the store most", Head: []string{"router", "calls"}}
	sum := make(map[string]int)
	for k, r := range a.calls {
		sum[k.router] += len(r.seconds)
	}
	names := slices.SortedFunc(maps.Keys(sum), func(p, q string) int { return cmp.Or(cmp.Compare(sum[q], sum[p]), cmp.Compare(p, q)) })
	for _, name := range names[:min(maxTopCallers, len(names))] {
		t.Rows = append(t.Rows, []string{name, strconv.Itoa(sum[name])})
	}
	return t
}

func (a *Account) prompts() Table {
	t := Table{Name: "prompts", Title: "Prompts: tokens believed to be read, and where the holder of a prefix was passed over", Head: []string{"route", "attempts", "tokens", "passed over", "tokens for that", "mean cost ms", "of the holder"}}
	for _, route := range slices.Sorted(maps.Keys(a.tokens)) {
		r := a.tokens[route]
		n := int64(max(r.PassedOver, 1))
		t.Rows = append(t.Rows, []string{route, strconv.Itoa(r.Attempts), formatInt(r.Predicted), strconv.Itoa(r.PassedOver), formatInt(r.PassedTokens), formatInt(r.CostMs / n), formatInt(r.PassedCostMs / n)})
	}
	return t
}

func (a *Account) headTimeTable() Table {
	t := Table{Name: "heads", Title: "Times to the head, foretold and actual, in ms", Head: []string{"route", "model", "attempts", "foretold", "actual", "over p10", "over p50", "over p90", "correlation"}}
	for _, k := range a.headTimeKeys() {
		h := a.headTimes[k]
		row := []string{k.route, orDash(k.model), strconv.Itoa(h.N), formatRounded(stat.Mean(h.predicted, nil)), formatRounded(stat.Mean(h.actual, nil))}
		for _, p := range []float64{0.1, 0.5, 0.9} {
			row = append(row, formatRounded(stat.Quantile(p, stat.Empirical, h.predictionErrors(), nil)))
		}
		t.Rows = append(t.Rows, append(row, fmt.Sprintf("%.2f", h.Correlation())))
	}
	return t
}

// headTimeKeys returns the keys of heads in order.
func (a *Account) headTimeKeys() []headTimeKey {
	return slices.SortedFunc(maps.Keys(a.headTimes), func(p, q headTimeKey) int {
		return cmp.Or(cmp.Compare(p.route, q.route), cmp.Compare(p.model, q.model))
	})
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

func formatRounded(f float64) string { return strconv.FormatFloat(math.Round(f), 'f', 0, 64) }

// orDash returns a name, or a dash for none.
func orDash(name string) string {
	if name == "" {
		return "-"
	}
	return name
}
