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

// missKey groups late and failed requests. second is that of their arrival, counted from the start.
type missKey struct {
	route, model string
	mainCause    Cause
	second       int
}

// Totals holds sums over a group of late or failed requests.
type Totals struct {
	Requests int
	// OverMs is the sum of how much they were late or, for requests that were not served, of how
	// long they took to fail, in milliseconds.
	OverMs int64
	// CauseMs is their time by cause, in milliseconds, in the order of latenessCauses.
	CauseMs [10]int64
}

// add adds the sums of o.
func (r *Totals) add(o *Totals) {
	r.Requests += o.Requests
	r.OverMs += o.OverMs
	for i := range r.CauseMs {
		r.CauseMs[i] += o.CauseMs[i]
	}
}

// blockerKey groups late requests by route, model and the attempt that they waited for.
type blockerKey struct {
	// blocker is the route and the model of that attempt, or a text that there is none in the logs.
	route, model, blocker string
	// sameRouter says that the router of the late request had sent that attempt too.
	sameRouter bool
}

// bytesKey groups bytes by content and by whether they crossed availability zones.
type bytesKey struct {
	content   string
	crossZone bool
}

// addPeerBytes adds the bytes that a router sent to other routers. All of them count as crossing
// zones, as the log does not say where they went.
func (a *Account) addPeerBytes(l *line) {
	a.bytes[bytesKey{"notes of load and failures", true}] += l.AttemptReportBytes
	a.bytes[bytesKey{"reports on roll-outs", true}] += l.TrialReportBytes
	a.bytes[bytesKey{"questions to routers", true}] += l.PullRequestBytes
	a.bytes[bytesKey{"answers to routers", true}] += l.PullResponseBytes
}

// callKey groups calls to the store.
type callKey struct {
	verb, kind string
	status     int
	router     string
}

// callTimes holds the times of one router's calls of a kind, by the clock of its log.
type callTimes struct {
	src   *source
	times []time.Time
	// seconds holds the times on the common clock, in whole seconds from the start. setSeconds
	// fills it.
	seconds []int
}

func (a *Account) addCall(s *source, l *line) {
	r := getOrNew(a.calls, callKey{l.Verb, l.Kind, l.Status, s.name})
	r.src = s
	r.times = append(r.times, l.Time)
}

// setSeconds converts the times to seconds from the start on the common clock, sorted.
func (r *callTimes) setSeconds(start time.Time) {
	for _, at := range r.times {
		r.seconds = append(r.seconds, int(math.Floor(at.Add(-r.src.clockOffset).Sub(start).Seconds())))
	}
	slices.Sort(r.seconds)
}

// Tokens holds sums over the attempts of a route.
type Tokens struct {
	Attempts int
	// Predicted is the number of prompt tokens that routers predicted the endpoints would read.
	Predicted int64
	// PassedOver is the number of attempts that did not go to the endpoint estimated to hold the
	// prefix of the prompt, PassedTokens the predicted number of tokens read in them. CostMs and
	// PassedCostMs are the sums of the predicted costs that were compared in these attempts, at the
	// endpoint picked and at the one passed over, in milliseconds.
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

// headTimeKey groups attempts whose predicted and actual times to the head are compared.
type headTimeKey struct{ route, model string }

// HeadTimes holds predicted and actual times to the head, in milliseconds, of the attempts of a
// route and model.
type HeadTimes struct {
	// N is the number of attempts, of which the first maxHeadTimes are kept.
	N                 int
	predicted, actual []float64
}

// maxHeadTimes is the maximum number of times that are kept per route and model. Those of the
// first hour of a busy route are as informative as all of them.
const maxHeadTimes = 20_000

func (a *Account) addHeadTime(route string, t *line) {
	h := getOrNew(a.headTimes, headTimeKey{route, t.Model})
	h.N++
	if len(h.actual) < maxHeadTimes {
		h.predicted = append(h.predicted, float64(t.WaitMs+t.ReadMs))
		h.actual = append(h.actual, float64(t.HeadMs))
	}
}

// Correlation returns the Pearson correlation of the predicted and the actual times that were
// kept; 0 where it is undefined, as for fewer than two attempts.
func (h *HeadTimes) Correlation() float64 {
	if c := stat.Correlation(h.predicted, h.actual, nil); !math.IsNaN(c) {
		return c
	}
	return 0
}

// predictionErrors returns the actual times minus the predicted ones, in milliseconds, sorted.
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
	// Name is one word, which is also the base name of the CSV file. Title is the heading.
	Name, Title string
	// Head holds the names of the columns, Rows a cell for each of them.
	Head []string
	Rows [][]string
}

// Tables returns all tables. Call Finish before.
func (a *Account) Tables() []Table {
	return []Table{a.causes(), a.seconds(), a.waits(), a.zoneBytes(), a.storeCalls(), a.topCallers(), a.prompts(), a.headTimeTable(),
		a.holdTable(), a.refusalTable(), a.classTable(), a.endTable(), a.moveTable(), a.silenceTable()}
}

// missRowsBy sums the late and failed requests over the keys that group maps to the same key. The
// keys are in the order of the rows: by second, then the largest OverMs first.
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

// maxTopCallers is the number of rows of the table of routers that call the store most.
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

// headTimeKeys returns the keys of headTimes, sorted by route and model.
func (a *Account) headTimeKeys() []headTimeKey {
	return slices.SortedFunc(maps.Keys(a.headTimes), func(p, q headTimeKey) int {
		return cmp.Or(cmp.Compare(p.route, q.route), cmp.Compare(p.model, q.model))
	})
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

func formatRounded(f float64) string { return strconv.FormatFloat(math.Round(f), 'f', 0, 64) }

// orDash returns a name, or a dash for an empty one.
func orDash(name string) string {
	if name == "" {
		return "-"
	}
	return name
}
