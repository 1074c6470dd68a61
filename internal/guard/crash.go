// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

const (
	// maxCrashes is the maximum number of runs that are reported to entries as in progress when
	// the endpoint crashed. It is enough for one crash of an engine with 64 slots.
	maxCrashes = 64
	// crashTTL is how long a crash is reported. Entries that lost their link reconnect sooner.
	crashTTL = 10 * time.Second
	// crashProbeTimeout is the timeout of the probe that tells whether the endpoint has crashed. The
	// failed run waits for it. On the same VM a port accepts or refuses a connection at once.
	crashProbeTimeout = 100 * time.Millisecond
	// crashBatchDelay is the delay before a crash is reported, so that one report covers all the
	// runs that the crash interrupted.
	crashBatchDelay = config.Span(5 * time.Millisecond)
)

// crash is a run that was in progress when the endpoint crashed.
type crash struct {
	// seq numbers the crashes of this guard incarnation from 1.
	seq uint64
	// fingerprint is the fingerprint of the run's request.
	fingerprint string
	// at is when the crash was detected.
	at time.Time
	// age is the time from the start of the run to at.
	age time.Duration
}

// detectCrash probes the endpoint after a run that was interrupted with err. If the port refuses the
// connection, the endpoint has crashed, and the fingerprint of the request is reported to all entries:
// the request may be the cause, and any entry may receive a repeat of it. A probe that times out counts
// as no crash. It must be called before end, which drops the work.
func (g *Guard) detectCrash(r *record, startedAt time.Time, err *fault.Error) {
	if err == nil || err.Kind != fault.EndpointLost || err.Run == fault.NotRun || r.work.Fingerprint == "" {
		return
	}
	ctx, cancel := context.WithTimeout(g.kill, crashProbeTimeout)
	defer cancel()
	if _, alive := g.endpoint.Probe(ctx); alive == nil || ctx.Err() != nil {
		return
	}
	now := g.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	// The endpoint would refuse connections, so entries send no run until a probe succeeds.
	g.down, g.lostAt = true, now
	g.crashSeq++
	g.crashes = append(g.crashes, crash{g.crashSeq, r.work.Fingerprint, now, now.Sub(startedAt)})
	g.crashes = g.crashes[max(len(g.crashes)-maxCrashes, 0):]
	g.Log.Warn("guard: The endpoint has crashed during a run.", zap.String("run", runID(r.key)), zap.String("fingerprint", r.work.Fingerprint))
	select {
	case g.crashSignal <- struct{}{}:
	default:
	}
}

// detectRefusal records that the endpoint refused the connection of a run, so that no further run is
// sent there until a probe succeeds.
func (g *Guard) detectRefusal(err *fault.Error) {
	if err == nil || err.Kind != fault.EndpointLost || !errors.Is(err.Cause, syscall.ECONNREFUSED) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down, g.lostAt = true, g.Now()
}

// announceDown sends the load to the entry of a run that failed or was refused if the endpoint is down.
// It precedes the reply on the same link, so that the entry does not choose this endpoint again, nor
// count it among the maximum number of attempts of the next request. Other entries get the load a moment
// later: from broadcastCrashes, in reply to a heartbeat, or before the refusal of their next run.
func (g *Guard) announceDown(owner *link.Conn) {
	g.mu.Lock()
	down := g.down
	notice := wire.LoadNotice{Stamp: g.Stamp(), Load: g.currentLoad()}
	g.mu.Unlock()
	if !down {
		return
	}
	if err := owner.Notify(g.kill, wire.MethodLoad, notice); err != nil {
		g.Log.Debug("guard: The load could not be sent to an entry.", zap.String("vm", owner.Peer.VM), zap.Error(err))
	}
}

// recentCrashes removes the crashes older than crashTTL and returns the others as reported to entries;
// g.mu is held.
func (g *Guard) recentCrashes(now time.Time) (crashes []wire.Crash) {
	g.crashes = slices.DeleteFunc(g.crashes, func(c crash) bool { return now.Sub(c.at) > crashTTL })
	for _, c := range g.crashes {
		crashes = append(crashes, wire.Crash{Seq: c.seq, Fingerprint: c.fingerprint, CrashAgeMs: now.Sub(c.at).Milliseconds(), RunAgeMs: c.age.Milliseconds()})
	}
	return crashes
}

// broadcastCrashes sends the load to all entries crashBatchDelay after each crash, until ctx is done.
func (g *Guard) broadcastCrashes(ctx context.Context) error {
	for {
		select {
		case <-g.crashSignal:
			tasks.Pause(ctx, crashBatchDelay.After(time.Now()))
			g.broadcastLoad(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// broadcastLoad sends the load to all entries, one after the other.
func (g *Guard) broadcastLoad(ctx context.Context) {
	g.mu.Lock()
	notice := wire.LoadNotice{Stamp: g.Stamp(), Load: g.currentLoad()}
	links := g.entryLinks()
	g.mu.Unlock()
	for _, l := range links {
		// An entry whose link is broken receives the load in reply to its next heartbeat.
		if err := l.conn.Notify(ctx, wire.MethodLoad, notice); err != nil {
			g.Log.Debug("guard: The load could not be sent to an entry.", zap.String("vm", l.conn.Peer.VM), zap.Error(err))
		}
	}
}

// entryLinks returns the newest links of all entries; g.mu is held.
func (g *Guard) entryLinks() (links []*peerLink) {
	for _, l := range g.links {
		if l.conn.Peer.Role == store.RoleEntry {
			links = append(links, l)
		}
	}
	return links
}
