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
	// finalizeDelay is how long after the end of a window requests that were sent in it may still be
	// counted in it. Requests are counted once an endpoint has answered, which takes less than this
	// time for all but streams; streams count in the window of their first event.
	finalizeDelay = config.Span(300 * time.Millisecond)
	// finalizeStagger is the delay between the final reports of two routers of a fleet, so that the
	// links of the receivers are not overloaded.
	finalizeStagger = 4 * time.Millisecond
	// resendInterval is how long a router waits for the acknowledgement of a final report before it
	// sends the report again.
	resendInterval = config.Span(500 * time.Millisecond)
	// minSendInterval is the minimum interval at which a router sends its counts of the current window.
	// maxReportsPerSecond is the maximum number of such reports that a receiver gets from the fleet;
	// in larger fleets each router therefore sends less often.
	minSendInterval     = time.Second
	maxReportsPerSecond = 32
	// standbys is the number of routers that receive the same reports as the holder, so that they can
	// replace it.
	standbys = 2
	// settleFraction is the part of duties.dueAfter after which a window is settled without the
	// routers whose final reports are missing. lateSettleFraction applies if most of them are missing.
	settleFraction     = 0.4
	lateSettleFraction = 0.7
	// minLoggedStep is the shortest step of the estimate of the true time that is logged.
	minLoggedStep = 250 * time.Millisecond
	// maxWindowsBack is the number of past windows that a new holder reports.
	maxWindowsBack = 16
)

// finalReportKey identifies a final report by its receiver and window.
type finalReportKey struct {
	router string
	window usage.Window
}

// finalReportState is the state of a final report.
type finalReportState struct {
	// lastSentAt is when the report was last sent, by the steady clock. acknowledged is set once the
	// receiver has acknowledged all counts.
	lastSentAt   time.Time
	acknowledged bool
}

// countRequest counts a request of a workspace that began to run at the time at.
func (d *duties) countRequest(workspace string, at time.Time) {
	now := d.clock.Now()
	w := d.windows.At(now.Add(-max(time.Since(at), 0)))
	d.mu.Lock()
	defer d.mu.Unlock()
	if !now.Before(finalizeDelay.After(d.windows.End(w))) {
		// The final report of the window may have been sent; the request counts in the current one.
		w = d.windows.At(now)
		d.scope.Counter("usage_requests_late").Inc(1)
	}
	d.counter.Add(d.self, w, workspace)
}

// sendReports sends usage reports to other routers until ctx is done.
func (d *duties) sendReports(ctx context.Context) error {
	for ctx.Err() == nil {
		d.sendDue()
		tasks.Pause(ctx, dutyPollInterval.After(time.Now()))
	}
	return nil
}

// sendDue sends the reports that are due: those of the current window at sendInterval, and the final
// reports of past windows until they are acknowledged or dueAfter has passed.
func (d *duties) sendDue() {
	d.mu.Lock()
	type sending struct {
		report peers.UsageReport
		to     peers.Peer
	}
	var due []sending
	now, steady := d.clock.Now(), d.clock.Steady()
	current := d.windows.At(now)
	d.counter.Expire(current)
	d.logHolder(steady)
	d.logClock(now, steady)
	targets := d.targets()
	sendCurrent := !steady.Before(d.lastSentAt.Add(d.sendInterval()))
	if sendCurrent {
		d.lastSentAt = steady
	}
	for w := current; w > current-maxWindowsBack && now.Before(d.dueAfter.After(d.windows.End(w))); w-- {
		for _, p := range targets {
			if w < current && d.claimFinalReport(finalReportKey{p.Name, w}, now, steady) || w == current && sendCurrent {
				report := peers.UsageReport{Report: d.counter.Report(d.self, w, w < current || d.stopping), Gossip: d.machine.Gossip(steady), WallTime: d.clock.Settled()}
				due = append(due, sending{report, p})
			}
		}
	}
	d.expireFinalReports(current)
	d.mu.Unlock()
	for _, s := range due {
		d.transport.SendUsageReport(s.report, s.to)
	}
}

// logClock records how far the estimate of the true time is ahead of the VM's wall clock and logs when it was
// stepped. The caller holds mu.
func (d *duties) logClock(now, steady time.Time) {
	wall := d.clock.Wall().Round(0)
	d.scope.Gauge("clock_ahead_seconds").Update(now.Sub(wall).Seconds())
	if moved := now.Sub(steady) - d.loggedAhead; moved.Abs() >= minLoggedStep {
		d.loggedAhead += moved
		d.log.Info("router: The clock of usage windows was stepped.", zap.Int64("byMs", moved.Milliseconds()), zap.Time("now", now), zap.Time("wall", wall))
	}
}

// targets returns the routers that receive usage reports: the holder and the standbys. The caller holds
// mu.
func (d *duties) targets() []peers.Peer {
	list := d.fleet.TopRanked(time.Now(), standbys)
	rec, known := d.machine.Record()
	isHolder := func(p peers.Peer) bool { return p.Name == rec.Holder }
	if !known || rec.Holder == d.self.Router || slices.ContainsFunc(list, isHolder) {
		return list
	}
	if p, ok := d.fleet.Get(rec.Holder); ok {
		list = append(list, p)
	}
	return list
}

// sendInterval returns the interval at which this router sends its counts of the current window. It is
// minSendInterval for the first routers in rank, whatever the size of the fleet.
func (d *duties) sendInterval() time.Duration {
	if d.fleet.RankExcept(time.Now(), "") <= standbys {
		return minSendInterval
	}
	return max(minSendInterval, time.Duration(d.fleet.Len())*time.Second/maxReportsPerSecond)
}

// claimFinalReport reports whether a final report is to be sent now, and if so records the time as that
// of its last sending. The caller holds mu.
func (d *duties) claimFinalReport(k finalReportKey, now, steady time.Time) bool {
	stagger := time.Duration(pool.HashOf(d.self.Router)%uint64(max(d.fleet.Len(), 1))) * finalizeStagger
	if now.Before(finalizeDelay.After(d.windows.End(k.window)).Add(stagger)) {
		return false
	}
	t := d.finalReports[k]
	if t == nil {
		t = new(finalReportState)
		d.finalReports[k] = t
	}
	if t.acknowledged || steady.Before(resendInterval.After(t.lastSentAt)) {
		return false
	}
	t.lastSentAt = steady
	return true
}

// expireFinalReports removes the state of the final reports of windows that are no longer reported.
// The caller holds mu.
func (d *duties) expireFinalReports(current usage.Window) {
	for k := range d.finalReports {
		if k.window <= current-maxWindowsBack {
			delete(d.finalReports, k)
		}
	}
}

// receiveReport merges the usage report of another router and returns its acknowledgement, which is
// always to be sent (true).
func (d *duties) receiveReport(r peers.UsageReport) (peers.UsageAck, bool) {
	d.clock.ObserveWall(r.Reporter.Router, r.WallTime)
	now, steady := d.clock.Now(), d.clock.Steady()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counter.Merge(r.Report, d.windows.At(now))
	d.machine.ReceiveGossip(steady, r.Reporter.Router, r.Gossip)
	return peers.UsageAck{
		Router: d.self.Router, Incarnation: r.Reporter.Incarnation, Window: r.Window, Complete: d.counter.Complete(r.Reporter, r.Window), Gossip: d.machine.Gossip(steady), TrueTime: now,
	}, true
}

// receiveAck processes the acknowledgement of a usage report by another router.
func (d *duties) receiveAck(a peers.UsageAck) {
	d.clock.ObserveEstimate(a.Router, a.TrueTime)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.ReceiveGossip(d.clock.Steady(), a.Router, a.Gossip)
	if t := d.finalReports[finalReportKey{a.Router, a.Window}]; t != nil && a.Complete && a.Incarnation == d.self.Incarnation {
		t.acknowledged = true
	}
}

// ready returns the reports of the windows before current that may be settled, in the order of windows.
// The caller holds mu.
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

// maxLoggedRouters is the maximum number of routers named in a log line.
const maxLoggedRouters = 8
