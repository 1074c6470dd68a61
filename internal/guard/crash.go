// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

const (
	// maxCrashes bounds the runs that are told to entries as having been under way when the
	// endpoint crashed: those of an engine with 64 slots.
	maxCrashes = 64
	// crashTTL is how long they are told. Entries that lost their link are back sooner.
	crashTTL = 10 * time.Second
	// crashProbeTimeout bounds the question whether the endpoint beside the guard has crashed,
	// which a failed run waits for: on one VM a port answers or refuses at once.
	crashProbeTimeout = 100 * time.Millisecond
	// crashBatchDelay is how long word of a crash waits for the other runs that it broke off.
	crashBatchDelay = config.Span(5 * time.Millisecond)
)

// crash is a run that was under way when the endpoint crashed.
type crash struct {
	seq         uint64
	fingerprint string
	at          time.Time
	age         time.Duration
}

// detectCrash finds out whether a run that broke off did so as the endpoint crashed: its port
// refuses. If so all entries are told under which request, as it may be the cause, and its
// repeats may come to any of them. r.work is still there.
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
	// Until it is seen alive again no entry sends it anything, which would be refused.
	g.down = true
	g.crashSeq++
	g.crashes = append(g.crashes, crash{g.crashSeq, r.work.Fingerprint, now, now.Sub(startedAt)})
	g.crashes = g.crashes[max(len(g.crashes)-maxCrashes, 0):]
	g.Log.Warn("guard: The endpoint has crashed under a run.", zap.String("run", runID(r.key)), zap.String("fingerprint", r.work.Fingerprint))
	select {
	case g.crashSignal <- struct{}{}:
	default:
	}
}

// recentCrashes returns the crashes as they are told; g.mu is held.
func (g *Guard) recentCrashes(now time.Time) (crashes []wire.Crash) {
	g.crashes = slices.DeleteFunc(g.crashes, func(c crash) bool { return now.Sub(c.at) > crashTTL })
	for _, c := range g.crashes {
		crashes = append(crashes, wire.Crash{Seq: c.seq, Fingerprint: c.fingerprint, CrashAgeMs: now.Sub(c.at).Milliseconds(), RunAgeMs: c.age.Milliseconds()})
	}
	return crashes
}

// broadcastCrashes tells all entries of crashes at once until ctx is done.
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

// broadcastLoad tells all entries the load.
func (g *Guard) broadcastLoad(ctx context.Context) {
	g.mu.Lock()
	notice := wire.LoadNotice{Stamp: g.Stamp(), Load: g.currentLoad()}
	links := g.entryLinks()
	g.mu.Unlock()
	for _, l := range links {
		// An entry whose link is broken hears of it with its next heartbeat.
		if err := l.conn.Notify(ctx, wire.MethodLoad, notice); err != nil {
			g.Log.Debug("guard: An entry was not told of the load.", zap.String("vm", l.conn.Peer.VM), zap.Error(err))
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
