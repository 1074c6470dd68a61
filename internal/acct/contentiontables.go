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
)

func (a *Account) holdTable() Table {
	t := Table{Name: "held", Title: "Requests that waited in a router for a place; times and the age of the load report that decided, in ms",
		Head: []string{"route", "requests", "in time", "late", "not served", "held p50", "held p90", "age p50", "age p90"}}
	for _, route := range slices.Sorted(maps.Keys(a.contention.holds)) {
		h := a.contention.holds[route]
		t.Rows = append(t.Rows, slices.Concat([]string{route, strconv.Itoa(h.requests), strconv.Itoa(h.inTime), strconv.Itoa(h.late), strconv.Itoa(h.failed)}, h.heldMs.row(), h.ageMs.row()))
	}
	return t
}

// row returns the cells of the median and the 90th percentile, rounded.
func (s *samples) row() []string {
	return []string{formatRoundedOrDash(s.quantile(0.5)), formatRoundedOrDash(s.quantile(0.9))}
}

func formatRoundedOrDash(f float64) string {
	if math.IsNaN(f) {
		return "-"
	}
	return formatRounded(f)
}

func (a *Account) refusalTable() Table {
	t := Table{Name: "refusals", Title: "Requests that admission control refused, by cause; times and the age of the load report that decided, in ms",
		Head: []string{"route", "cause", "outcome", "requests", "held p50", "held p90", "age p50", "age p90"}}
	m := a.contention.refusals
	keys := slices.SortedFunc(maps.Keys(m), func(p, q refusalKey) int {
		return cmp.Or(cmp.Compare(m[q].requests, m[p].requests), cmp.Compare(p.route, q.route), cmp.Compare(p.cause, q.cause), cmp.Compare(p.outcome, q.outcome))
	})
	for _, k := range keys {
		f := m[k]
		t.Rows = append(t.Rows, slices.Concat([]string{k.route, k.cause, k.outcome, strconv.Itoa(f.requests)}, f.heldMs.row(), f.ageMs.row()))
	}
	return t
}

// classSums holds sums over the requests of a row of the table of classes.
type classSums struct {
	requests, late, failed int
	price                  samples
	// unasked holds the price cost of each request for which a larger model was not asked.
	unasked samples
}

func (s *classSums) add(p *contentionRequest) {
	s.requests++
	switch p.result {
	case late:
		s.late++
	case failed:
		s.failed++
	case inTime:
	}
	s.price.add(float64(p.price))
	if p.unaskedCost > 0 {
		s.unasked.add(float64(p.unaskedCost))
	}
}

// classColumns holds the names of the columns that classSums.row fills.
var classColumns = []string{"requests", "late", "not served", "price mean", "price p90", "unasked", "their price cost"}

func (s *classSums) row() []string {
	return []string{strconv.Itoa(s.requests), strconv.Itoa(s.late), strconv.Itoa(s.failed), formatFraction(s.price.mean()), formatFraction(s.price.quantile(0.9)), strconv.Itoa(s.unasked.n), formatFraction(s.unasked.mean())}
}

// mean returns the mean of the values that were kept; NaN if there are none.
func (s *samples) mean() float64 {
	sum := 0.0
	for _, v := range s.kept {
		sum += v
	}
	return sum / float64(len(s.kept))
}

// formatFraction formats a number with two decimal places; a dash for NaN.
func formatFraction(f float64) string {
	if math.IsNaN(f) {
		return "-"
	}
	return fmt.Sprintf("%.2f", f)
}

// workspaceClasses are the names of the classes in the order of rows: the workspace with most requests, the
// next largeWorkspaces, the rest, and requests without a workspace. Tables name no workspace and have as
// many rows for any number of them.
var workspaceClasses = [...]string{"largest", "next four", "others", "anonymous"}

// largeWorkspaces is the number of workspaces of the second class: a few large ones exist beside many small.
const largeWorkspaces = 4

// classes returns the class of each workspace, as an index of workspaceClasses, and the number of
// workspaces in each. Only requests on contended routes count.
func (c *contention) classes() (class []int, counts [len(workspaceClasses)]int) {
	requests := make([]int, len(c.workspaces.strings))
	for i := range c.requests {
		if p := &c.requests[i]; c.contended[p.route] {
			requests[p.workspace]++
		}
	}
	class = make([]int, len(requests))
	order := make([]int32, 0, len(class))
	for i, name := range c.workspaces.strings {
		switch {
		case name == "":
			class[i] = len(workspaceClasses) - 1
		case requests[i] > 0:
			order = append(order, int32(i))
		}
	}
	slices.SortFunc(order, func(i, j int32) int {
		return cmp.Or(cmp.Compare(requests[j], requests[i]), cmp.Compare(c.workspaces.strings[i], c.workspaces.strings[j]))
	})
	for n, i := range order {
		switch {
		case n == 0:
			class[i] = 0
		case n <= largeWorkspaces:
			class[i] = 1
		default:
			class[i] = 2
		}
		counts[class[i]]++
	}
	return class, counts
}

func (a *Account) classTable() Table {
	t := Table{Name: "classes", Title: "Who bore contention, by class of workspaces, largest first by requests; routes that met a price", Head: append([]string{"class", "workspaces"}, classColumns...)}
	c := &a.contention
	class, counts := c.classes()
	var sums [len(workspaceClasses)]classSums
	for i := range c.requests {
		if p := &c.requests[i]; c.contended[p.route] {
			sums[class[p.workspace]].add(p)
		}
	}
	for i, name := range workspaceClasses {
		if s := &sums[i]; s.requests > 0 {
			t.Rows = append(t.Rows, append([]string{name, strconv.Itoa(counts[i])}, s.row()...))
		}
	}
	return t
}

func (a *Account) endTable() Table {
	t := Table{Name: "ends", Title: "Predicted and actual ends of streams; error as a fraction of the actual time",
		Head: []string{"route", "model", "predicted", "ended", "median error", "inside interval"}}
	m := a.contention.ends
	keys := slices.SortedFunc(maps.Keys(m), func(p, q headTimeKey) int {
		return cmp.Or(cmp.Compare(p.route, q.route), cmp.Compare(p.model, q.model))
	})
	for _, k := range keys {
		e := m[k]
		t.Rows = append(t.Rows, []string{k.route, orDash(k.model), strconv.Itoa(e.predicted), strconv.Itoa(e.ended), formatFraction(e.relative.quantile(0.5)), formatFraction(float64(e.inside) / float64(e.known))})
	}
	return t
}

func (a *Account) moveTable() Table {
	t := Table{Name: "moved", Title: "Streams that were moved to another endpoint, by how their requests ended; the pause of the move, in ms",
		Head: []string{"route", "outcome", "requests", "in time", "pause p50", "pause p90"}}
	m := a.contention.moves
	keys := slices.SortedFunc(maps.Keys(m), func(p, q moveKey) int {
		return cmp.Or(cmp.Compare(p.route, q.route), cmp.Compare(m[q].requests, m[p].requests), cmp.Compare(p.outcome, q.outcome))
	})
	for _, k := range keys {
		t.Rows = append(t.Rows, append([]string{k.route, k.outcome, strconv.Itoa(m[k].requests), strconv.Itoa(m[k].inTime)}, m[k].pauseMs.row()...))
	}
	return t
}

func (a *Account) silenceTable() Table {
	t := Table{Name: "silent", Title: "Attempts ended as silent, by what showed it; how their requests ended; time without the head, or pause, in ms",
		Head: []string{"route", "shown by", "when", "attempts", "whole", "in time", "pause p50", "pause p90"}}
	m := a.contention.silences
	text := func(k silenceKey) (by, when string) {
		by, when = "own timer", "before the head"
		if k.joint {
			by = "several routers"
		}
		if k.inStream {
			when = "in the stream"
		}
		return by, when
	}
	for k, s := range m {
		by, when := text(k)
		t.Rows = append(t.Rows, append([]string{k.route, by, when, strconv.Itoa(s.attempts), strconv.Itoa(s.whole), strconv.Itoa(s.inTime)}, s.pauseMs.row()...))
	}
	slices.SortFunc(t.Rows, slices.Compare)
	return t
}
