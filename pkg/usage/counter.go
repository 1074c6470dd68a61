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
	maxWindows = 16
	// maxReporters bounds the reporters per window, maxWorkspaces the workspaces per reporter.
	maxReporters  = 4096
	maxWorkspaces = 4096
)

// Counter holds the counts of all routers of a fleet that a process knows, by window. Create it
// with NewCounter. It is not safe for concurrent use.
type Counter struct {
	windows map[Window]map[Reporter]*reporterCounts
}

// reporterCounts holds the known counts of one reporter in one window.
type reporterCounts struct {
	counts Counts
	// total is the sum of the reporter's counts once final is set. total never decreases, and final
	// is never reset.
	total uint64
	final bool
}

// complete reports whether all counts of the reporter are known.
func (p *reporterCounts) complete() bool { return p.final && p.counts.Sum() >= p.total }

// NewCounter returns an empty Counter.
func NewCounter() *Counter { return &Counter{windows: make(map[Window]map[Reporter]*reporterCounts)} }

// getOrAdd returns the counts of a reporter in a window and adds them if there are none; nil if the
// window has maxReporters already.
func (c *Counter) getOrAdd(w Window, from Reporter) *reporterCounts {
	reporters := c.windows[w]
	if reporters == nil {
		reporters = make(map[Reporter]*reporterCounts)
		c.windows[w] = reporters
	}
	p := reporters[from]
	if p == nil && len(reporters) < maxReporters {
		p = &reporterCounts{counts: make(Counts)}
		reporters[from] = p
	}
	return p
}

// Add counts one request of a workspace. It drops the request without an error if maxReporters or
// maxWorkspaces is exceeded.
func (c *Counter) Add(from Reporter, w Window, workspace string) {
	if p := c.getOrAdd(w, from); p != nil {
		p.raise(workspace, p.counts[workspace]+1)
	}
}

// raise sets the count of a workspace to n unless it is higher already. It ignores workspaces
// beyond maxWorkspaces.
func (p *reporterCounts) raise(workspace string, n uint64) {
	if _, ok := p.counts[workspace]; ok || len(p.counts) < maxWorkspaces {
		p.counts[workspace] = max(p.counts[workspace], n)
	}
}

// Merge merges a report received from a router, in the window now. It ignores reports of windows
// that are not stored: those more than one ahead of now, and those maxWindows or more behind it.
func (c *Counter) Merge(r Report, now Window) {
	if r.Window > now+1 || r.Window <= now-maxWindows {
		return
	}
	p := c.getOrAdd(r.Window, r.Reporter)
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
func (c *Counter) Report(from Reporter, w Window, final bool) Report {
	r := Report{Reporter: from, Window: w, Final: final, Counts: Counts{}}
	if p := c.windows[w][from]; p != nil {
		r.Counts = maps.Clone(p.counts)
	}
	if final {
		r.Total = r.Counts.Sum()
	}
	return r
}

// Complete reports whether all counts of one incarnation of a router in a window are known.
func (c *Counter) Complete(from Reporter, w Window) bool {
	p := c.windows[w][from]
	return p != nil && p.complete()
}

// Missing returns, in order, the names of those routers whose counts in a window are not all known:
// no incarnation of the router has reported the window, or one of them not completely.
func (c *Counter) Missing(w Window, routers []string) (missing []string) {
	reported, incomplete := make(map[string]bool), make(map[string]bool)
	for from, p := range c.windows[w] {
		reported[from.Router] = true
		incomplete[from.Router] = incomplete[from.Router] || !p.complete()
	}
	for _, name := range routers {
		if !reported[name] || incomplete[name] {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return missing
}

// Sum returns the known counts of a window, added over all routers.
func (c *Counter) Sum(w Window) Counts {
	sum := make(Counts)
	for _, p := range c.windows[w] {
		for workspace, n := range p.counts {
			sum[workspace] += n
		}
	}
	return sum
}

// Expire drops the windows that Merge would ignore in the window now.
func (c *Counter) Expire(now Window) {
	maps.DeleteFunc(c.windows, func(w Window, _ map[Reporter]*reporterCounts) bool { return w <= now-maxWindows || w > now+1 })
}
