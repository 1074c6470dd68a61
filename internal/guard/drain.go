// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/fault"
)

// leave begins a planned stop: it refuses the queued runs and all later ones, and
// sends the load to all entries.
func (g *Guard) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	for _, r := range g.runs {
		if r.phase == phaseQueued && g.queue.Remove(r.queueID()) {
			g.tombstone(r, g.refusal(fault.Stopping, "The endpoint is leaving."))
		}
	}
	g.Log.Info("guard: Leaving; new runs are refused.", zap.Int("running", g.queue.Running()))
	g.broadcastLoadAsync()
}

// broadcastLoadAsync sends the load to all entries concurrently and does not wait
// for them; g.mu is held.
func (g *Guard) broadcastLoadAsync() {
	notice := wire.LoadNotice{Stamp: g.Stamp(), Load: g.currentLoad()}
	for _, l := range g.entryLinks() {
		g.Tasks.Go(g.kill, "load notice", func(ctx context.Context) error {
			return l.conn.Notify(ctx, wire.MethodLoad, notice)
		})
	}
}

// drain waits until the running runs have ended and every linked entry has released
// the guard, for the latter at most releaseTimeout. Then it writes the bill lines
// that are left. It returns an error if kill is done first.
func (g *Guard) drain(kill context.Context) error {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	linger := releaseTimeout.After(time.Now())
	for {
		running, linked := g.busy()
		if running > 0 {
			linger = releaseTimeout.After(time.Now())
		} else if linked == 0 || time.Now().After(linger) {
			break
		}
		select {
		case <-tick.C:
		case <-kill.Done():
			return errors.Newf("guard: killed with %d runs in progress", running)
		}
	}
	return g.flushBills(kill)
}

// busy returns the number of runs that hold a slot, and the number of linked entries
// that have not released the guard and so may still send a run.
func (g *Guard) busy() (running, linked int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.links {
		if !l.released && !tasks.IsDone(l.conn.Done()) && l.conn.Peer.Role == store.RoleEntry {
			linked++
		}
	}
	return g.queue.Running(), linked
}
