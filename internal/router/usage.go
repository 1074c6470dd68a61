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
	// finalAfter is how long after a window's end what was sent in it may still be counted in
	// it: answers of what is not a stream come within that.
	finalAfter = config.Span(300 * time.Millisecond)
	// finalStep is how much later each router of a fleet tells the end of a window than the one
	// before, so that the hearers' links bear it.
	finalStep = 4 * time.Millisecond
	// tellAgain is how long a router waits for the answer to the end of a window.
	tellAgain = config.Span(500 * time.Millisecond)
	// tellEvery is how often a router tells of the window under way, and toldPerSecond how many
	// such reports each hearer gets at most: larger fleets tell more seldom.
	tellEvery     = time.Second
	toldPerSecond = 32
	// deputies is how many routers hear what the holder hears, to take its place.
	deputies = 2
	// settleMost is the part of the time for a report after which it does without routers that
	// have not told, and settleLast where most have not.
	settleMost = 0.4
	settleLast = 0.7
	// backMost is how many windows back a new holder reports.
	backMost = 16
)

// tellKey names what a router is told of.
type tellKey struct {
	router string
	window usage.Window
}

// telling is how far a router was told of a window that has ended.
type telling struct {
	// at is when it was told last; complete says that it has answered that it knows all.
	at       time.Time
	complete bool
}

// began counts a request that began to run at a time.
func (d *duties) began(workspace string, at time.Time) {
	now := d.clock.Now()
	w := d.windows.At(now.Add(-max(time.Since(at), 0)))
	d.mu.Lock()
	defer d.mu.Unlock()
	if !now.Before(finalAfter.After(d.windows.End(w))) {
		// The end of its window was told.
		w = d.windows.At(now)
	}
	d.book.Add(d.self, w, workspace)
}

// tell tells other routers of usage until ctx is done.
func (d *duties) tell(ctx context.Context) error {
	for ctx.Err() == nil {
		d.tellDue()
		tasks.Pause(ctx, dutyPoll.After(time.Now()))
	}
	return nil
}

// tellDue tells what is due.
func (d *duties) tellDue() {
	d.mu.Lock()
	type sending struct {
		report peers.UsageReport
		to     peers.Peer
	}
	var due []sending
	now, own := d.clock.Now(), d.clock.Local()
	current := d.windows.At(now)
	d.book.Expire(current)
	d.logHolder(own)
	targets := d.targets()
	running := !own.Before(d.toldAt.Add(d.tellPause()))
	if running {
		d.toldAt = own
	}
	for w := current; w > current-backMost && now.Before(d.late.After(d.windows.End(w))); w-- {
		for _, p := range targets {
			if w < current && d.tellsEnd(tellKey{p.Name, w}, now, own) || w == current && running {
				report := peers.UsageReport{Report: d.book.Report(d.self, w, w < current || d.stops), Gossip: d.machine.Gossip(own), LocalTime: own}
				due = append(due, sending{report, p})
			}
		}
	}
	d.forgetTold(current)
	d.mu.Unlock()
	for _, s := range due {
		d.notes.SendUsageReport(s.report, s.to)
	}
}

// targets returns the routers that hear of usage: the holder and those that would follow it; mu
// is held.
func (d *duties) targets() []peers.Peer {
	list := d.fleet.TopRanked(time.Now(), deputies)
	rec, known := d.machine.Record()
	told := func(p peers.Peer) bool { return p.Name == rec.Holder }
	if !known || rec.Holder == d.self.Router || slices.ContainsFunc(list, told) {
		return list
	}
	if p, ok := d.fleet.Get(rec.Holder); ok {
		list = append(list, p)
	}
	return list
}

// tellPause returns how long after telling of the window under way a router does so again.
func (d *duties) tellPause() time.Duration {
	if d.fleet.RankExcept(time.Now(), "") <= deputies {
		return tellEvery
	}
	return max(tellEvery, time.Duration(d.fleet.Len())*time.Second/toldPerSecond)
}

// tellsEnd reports whether a router is to be told the end of a window now, and notes that it is;
// mu is held.
func (d *duties) tellsEnd(k tellKey, now, own time.Time) bool {
	apart := time.Duration(pool.HashOf(d.self.Router)%uint64(max(d.fleet.Len(), 1))) * finalStep
	if now.Before(finalAfter.After(d.windows.End(k.window)).Add(apart)) {
		return false
	}
	t := d.told[k]
	if t == nil {
		t = new(telling)
		d.told[k] = t
	}
	if t.complete || own.Before(tellAgain.After(t.at)) {
		return false
	}
	t.at = own
	return true
}

// forgetTold forgets what was told of windows that are over; mu is held.
func (d *duties) forgetTold(current usage.Window) {
	for k := range d.told {
		if k.window <= current-backMost {
			delete(d.told, k)
		}
	}
}

// heard takes over the report of another router.
func (d *duties) heard(r peers.UsageReport) (peers.UsageAck, bool) {
	d.clock.Observe(r.Reporter.Router, r.LocalTime)
	now, own := d.clock.Now(), d.clock.Local()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Merge(r.Report, d.windows.At(now))
	d.machine.ReceiveGossip(own, r.Reporter.Router, r.Gossip)
	return peers.UsageAck{
		Router: d.self.Router, Incarnation: r.Reporter.Incarnation, Window: r.Window, Complete: d.book.Complete(r.Reporter, r.Window), Gossip: d.machine.Gossip(own), TrueTime: now,
	}, true
}

// answered takes over the answer of another router.
func (d *duties) answered(a peers.UsageAck) {
	d.clock.Observe(a.Router, a.TrueTime)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.ReceiveGossip(d.clock.Local(), a.Router, a.Gossip)
	if t := d.told[tellKey{a.Router, a.Window}]; t != nil && a.Complete && a.Incarnation == d.self.Incarnation {
		t.complete = true
	}
}

// ready returns the reports of the windows before current that may be settled; mu is held.
func (d *duties) ready(current usage.Window) (list []duty.Report) {
	now, first := d.clock.Now(), max(d.machine.Settled()+1, current-backMost+1)
	ended := func(w usage.Window) bool { return w < current && !now.Before(finalAfter.After(d.windows.End(w))) }
	if !ended(first) {
		return nil
	}
	routers := d.fleet.Names()
	for w := first; ended(w); w++ {
		end := d.windows.End(w)
		d.book.Merge(d.book.Report(d.self, w, true), current)
		missing := d.book.Missing(w, routers)
		waits := settleMost
		if 2*len(missing) > len(routers) {
			waits = settleLast
		}
		if len(missing) > 0 && now.Before(end.Add(time.Duration(waits*float64(d.late)))) {
			break
		}
		r := duty.Report{Window: w, Counts: d.book.Sum(w)}
		list = append(list, r)
		if w <= d.toldSettled {
			continue
		}
		d.toldSettled = w
		d.scope.Gauge("usage_routers_missing").Update(float64(len(missing)))
		d.log.Info("router: The usage of a window is settled.", zap.Int64("window", int64(w)), zap.Uint64("requests", r.Counts.Sum()),
			zap.Int("workspaces", len(r.Counts)), zap.Int("routers", len(routers)), zap.Strings("missing", missing[:min(len(missing), missingTold)]), zap.Time("ended", end))
	}
	return list
}

// missingTold bounds the routers that a log line names.
const missingTold = 8
