// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package usage

import (
	"maps"
	"slices"
)

// Reporter identifies one incarnation of a router, that is, one run of its process.
type Reporter struct {
	Router      string
	Incarnation uint64
}

// Counts are numbers of requests by the names of workspaces.
type Counts map[string]uint64

// Sum returns the number of requests of all workspaces together.
func (c Counts) Sum() (sum uint64) {
	for _, n := range c {
		sum += n
	}
	return sum
}

// Report holds the requests that one router counted in a window, or a part of the workspaces.
type Report struct {
	// Reporter is the router that counted the requests.
	Reporter Reporter
	Window   Window
	// Final is set if the reporter counts no more requests in the window. Total is then the sum of
	// all its counts, of which the report may hold a part; 0 before.
	Final  bool
	Total  uint64
	Counts Counts
}

const (
	// maxWindows is the number of windows that are stored: those that may still be reported.
	windowsMost = 16
	// maxReporters bounds the reporters per window, maxWorkspaces the workspaces per reporter.
	tellersMost    = 4096
	workspacesMost = 4096
)

// Counter holds the counts of all routers of a fleet that a process knows, by window. Create it
// with NewCounter. It is not safe for concurrent use.
type Counter struct {
	windows map[Window]map[Reporter]*part
}

// part holds the known counts of one reporter in one window.
type part struct {
	counts Counts
	// total is the sum of the reporter's counts once final is set. total never decreases, and final
	// is never reset.
	total uint64
	final bool
}

// complete reports whether all counts of the reporter are known.
func (p *part) complete() bool { return p.final && p.counts.Sum() >= p.total }

// NewCounter returns an empty Counter.
func NewCounter() *Counter { return &Counter{windows: make(map[Window]map[Reporter]*part)} }

// part returns the counts of a reporter in a window and adds them if there are none; nil if the
// window has maxReporters already.
func (b *Counter) part(w Window, t Reporter) *part {
	tellers := b.windows[w]
	if tellers == nil {
		tellers = make(map[Reporter]*part)
		b.windows[w] = tellers
	}
	p := tellers[t]
	if p == nil && len(tellers) < tellersMost {
		p = &part{counts: make(Counts)}
		tellers[t] = p
	}
	return p
}

// Add counts one request of a workspace. It drops the request without an error if maxReporters or
// maxWorkspaces is exceeded.
func (b *Counter) Add(t Reporter, w Window, workspace string) {
	if p := b.part(w, t); p != nil {
		p.raise(workspace, p.counts[workspace]+1)
	}
}

// raise sets the count of a workspace to n unless it is higher already. It ignores workspaces
// beyond maxWorkspaces.
func (p *part) raise(workspace string, n uint64) {
	if _, ok := p.counts[workspace]; ok || len(p.counts) < workspacesMost {
		p.counts[workspace] = max(p.counts[workspace], n)
	}
}

// Merge merges a report received from a router, in the window now. It ignores reports of windows
// that are not stored: those more than one ahead of now, and those maxWindows or more behind it.
func (b *Counter) Merge(r Report, now Window) {
	if r.Window > now+1 || r.Window <= now-windowsMost {
		return
	}
	p := b.part(r.Window, r.Reporter)
	if p == nil {
		return
	}
	for workspace, n := range r.Counts {
		p.raise(workspace, n)
	}
	p.final = p.final || r.Final
	p.total = max(p.total, r.Total)
}

// Report returns the known counts of a router in a window as a report to send. final sets its
// Final and Total.
func (b *Counter) Report(t Reporter, w Window, final bool) Report {
	r := Report{Reporter: t, Window: w, Final: final, Counts: Counts{}}
	if p := b.windows[w][t]; p != nil {
		r.Counts = maps.Clone(p.counts)
	}
	if final {
		r.Total = r.Counts.Sum()
	}
	return r
}

// Complete reports whether all counts of one incarnation of a router in a window are known.
func (b *Counter) Complete(t Reporter, w Window) bool {
	p := b.windows[w][t]
	return p != nil && p.complete()
}

// Missing returns, in order, the names of those routers whose counts in a window are not all known:
// no incarnation of the router has reported the window, or one of them not completely.
func (b *Counter) Missing(w Window, routers []string) (missing []string) {
	heard, untold := make(map[string]bool), make(map[string]bool)
	for t, p := range b.windows[w] {
		heard[t.Router] = true
		untold[t.Router] = untold[t.Router] || !p.complete()
	}
	for _, name := range routers {
		if !heard[name] || untold[name] {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return missing
}

// Sum returns the known counts of a window, added over all routers.
func (b *Counter) Sum(w Window) Counts {
	sum := make(Counts)
	for _, p := range b.windows[w] {
		for workspace, n := range p.counts {
			sum[workspace] += n
		}
	}
	return sum
}

// Expire drops the windows that Merge would ignore in the window now.
func (b *Counter) Expire(now Window) {
	maps.DeleteFunc(b.windows, func(w Window, _ map[Reporter]*part) bool { return w <= now-windowsMost || w > now+1 })
}
