// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/peers"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/duty"
	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/usage"
)

const (
	// finalizeDelay is how long after a window's end what was sent in it may still be counted in
	// it: answers of what is not a stream come within that.
	finalizeDelay = config.Span(300 * time.Millisecond)
	// finalizeStagger is how much later each router of a fleet tells the end of a window than the one
	// before, so that the hearers' links bear it.
	finalizeStagger = 4 * time.Millisecond
	// resendInterval is how long a router waits for the answer to the end of a window.
	resendInterval = config.Span(500 * time.Millisecond)
	// minSendInterval is how often a router tells of the window under way, and toldPerSecond how many
	// such reports each hearer gets at most: larger fleets tell more seldom.
	minSendInterval     = time.Second
	maxReportsPerSecond = 32
	// standbys is how many routers hear what the holder hears, to take its place.
	standbys = 2
	// settleFraction is the part of the time for a report after which it does without routers that
	// have not told, and settleLast where most have not.
	settleFraction     = 0.4
	lateSettleFraction = 0.7
	// maxWindowsBack is how many windows back a new holder reports.
	maxWindowsBack = 16
)

// sentEndKey names what a router is told of.
type sentEndKey struct {
	router string
	window usage.Window
}

// sentEnd is how far a router was told of a window that has ended.
type sentEnd struct {
	// lastSentAt is when it was told last; complete says that it has answered that it knows all.
	lastSentAt   time.Time
	acknowledged bool
}

// countRequest counts a request that countRequest to run at a time.
func (d *duties) countRequest(workspace string, at time.Time) {
	now := d.clock.Now()
	w := d.windows.At(now.Add(-max(time.Since(at), 0)))
	d.mu.Lock()
	defer d.mu.Unlock()
	if !now.Before(finalizeDelay.After(d.windows.End(w))) {
		// The end of its window was told.
		w = d.windows.At(now)
	}
	d.counter.Add(d.self, w, workspace)
}

// sendReports tells other routers of usage until ctx is done.
func (d *duties) sendReports(ctx context.Context) error {
	for ctx.Err() == nil {
		d.sendDue()
		tasks.Pause(ctx, dutyPollInterval.After(time.Now()))
	}
	return nil
}

// sendDue tells what is due.
func (d *duties) sendDue() {
	d.mu.Lock()
	type sending struct {
		report peers.UsageReport
		to     peers.Peer
	}
	var due []sending
	now, own := d.clock.Now(), d.clock.Local()
	current := d.windows.At(now)
	d.counter.Expire(current)
	d.logHolder(own)
	targets := d.targets()
	running := !own.Before(d.lastSentAt.Add(d.sendInterval()))
	if running {
		d.lastSentAt = own
	}
	for w := current; w > current-maxWindowsBack && now.Before(d.dueAfter.After(d.windows.End(w))); w-- {
		for _, p := range targets {
			if w < current && d.claimEndSend(sentEndKey{p.Name, w}, now, own) || w == current && running {
				report := peers.UsageReport{Report: d.counter.Report(d.self, w, w < current || d.stopping), Word: d.machine.Gossip(own), Clock: own}
				due = append(due, sending{report, p})
			}
		}
	}
	d.expireSentEnds(current)
	d.mu.Unlock()
	for _, s := range due {
		d.notes.SendUsage(s.report, s.to)
	}
}

// targets returns the routers that hear of usage: the holder and those that would follow it; mu
// is held.
func (d *duties) targets() []peers.Peer {
	list := d.fleet.Firsts(time.Now(), standbys)
	rec, known := d.machine.Record()
	isHolder := func(p peers.Peer) bool { return p.Name == rec.Holder }
	if !known || rec.Holder == d.self.Router || slices.ContainsFunc(list, isHolder) {
		return list
	}
	if p, ok := d.fleet.Named(rec.Holder); ok {
		list = append(list, p)
	}
	return list
}

// sendInterval returns how long after telling of the window under way a router does so again.
func (d *duties) sendInterval() time.Duration {
	if d.fleet.Before(time.Now(), "") <= standbys {
		return minSendInterval
	}
	return max(minSendInterval, time.Duration(d.fleet.Len())*time.Second/maxReportsPerSecond)
}

// claimEndSend reports whether a router is to be told the end of a window now, and notes that it is;
// mu is held.
func (d *duties) claimEndSend(k sentEndKey, now, own time.Time) bool {
	stagger := time.Duration(pool.HashOf(d.self.Router)%uint64(max(d.fleet.Len(), 1))) * finalizeStagger
	if now.Before(finalizeDelay.After(d.windows.End(k.window)).Add(stagger)) {
		return false
	}
	t := d.sentEnds[k]
	if t == nil {
		t = new(sentEnd)
		d.sentEnds[k] = t
	}
	if t.acknowledged || own.Before(resendInterval.After(t.lastSentAt)) {
		return false
	}
	t.lastSentAt = own
	return true
}

// expireSentEnds forgets what was told of windows that are over; mu is held.
func (d *duties) expireSentEnds(current usage.Window) {
	for k := range d.sentEnds {
		if k.window <= current-maxWindowsBack {
			delete(d.sentEnds, k)
		}
	}
}

// receiveReport takes over the report of another router.
func (d *duties) receiveReport(r peers.UsageReport) (peers.UsageAnswer, bool) {
	d.clock.Observe(r.Reporter.Router, r.Clock)
	now, own := d.clock.Now(), d.clock.Local()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counter.Merge(r.Report, d.windows.At(now))
	d.machine.ReceiveGossip(own, r.Reporter.Router, r.Word)
	return peers.UsageAnswer{
		Router: d.self.Router, Life: r.Reporter.Incarnation, Window: r.Window, Complete: d.counter.Complete(r.Reporter, r.Window), Word: d.machine.Gossip(own), Clock: now,
	}, true
}

// receiveAnswer takes over the answer of another router.
func (d *duties) receiveAnswer(a peers.UsageAnswer) {
	d.clock.Observe(a.Router, a.Clock)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.ReceiveGossip(d.clock.Local(), a.Router, a.Word)
	if t := d.sentEnds[sentEndKey{a.Router, a.Window}]; t != nil && a.Complete && a.Life == d.self.Incarnation {
		t.acknowledged = true
	}
}

// ready returns the reports of the windows before current that may be settled; mu is held.
func (d *duties) ready(current usage.Window) (list []duty.Report) {
	now, first := d.clock.Now(), max(d.machine.Settled()+1, current-maxWindowsBack+1)
	ended := func(w usage.Window) bool { return w < current && !now.Before(finalizeDelay.After(d.windows.End(w))) }
	if !ended(first) {
		return nil
	}
	routers := d.fleet.Names()
	for w := first; ended(w); w++ {
		end := d.windows.End(w)
		d.counter.Merge(d.counter.Report(d.self, w, true), current)
		missing := d.counter.Missing(w, routers)
		fraction := settleFraction
		if 2*len(missing) > len(routers) {
			fraction = lateSettleFraction
		}
		if len(missing) > 0 && now.Before(end.Add(time.Duration(fraction*float64(d.dueAfter)))) {
			break
		}
		r := duty.Report{Window: w, Counts: d.counter.Sum(w)}
		list = append(list, r)
		if w <= d.loggedSettled {
			continue
		}
		d.loggedSettled = w
		d.scope.Gauge("usage_routers_missing").Update(float64(len(missing)))
		d.log.Info("router: The usage of a window is settled.", zap.Int64("window", int64(w)), zap.Uint64("requests", r.Counts.Sum()),
			zap.Int("workspaces", len(r.Counts)), zap.Int("routers", len(routers)), zap.Strings("missing", missing[:min(len(missing), maxLoggedRouters)]), zap.Time("ended", end))
	}
	return list
}

// maxLoggedRouters bounds the routers that a log line names.
const maxLoggedRouters = 8
