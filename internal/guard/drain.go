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

// leave refuses everything that has no slot yet.
func (g *Guard) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	for _, r := range g.runs {
		if r.phase == phaseQueued && g.queue.Remove(r.queueID()) {
			g.tombstone(r, g.refusal(fault.Stopping, "The endpoint is leaving."))
		}
	}
	g.Log.Info("guard: Leaving.", zap.Int("running", g.queue.Running()))
	g.broadcastLoadAsync()
}

// broadcastLoadAsync tells all entries the load without waiting for them; g.mu is held.
func (g *Guard) broadcastLoadAsync() {
	notice := wire.LoadNotice{Stamp: g.Stamp(), Load: g.currentLoad()}
	for _, l := range g.entryLinks() {
		g.Tasks.Go(g.kill, "load notice", func(ctx context.Context) error {
			return l.conn.Notify(ctx, wire.MethodLoad, notice)
		})
	}
}

// drain waits for the running runs and writes the bills.
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
			return errors.Newf("guard: %d runs were cut off", running)
		}
	}
	g.billAll()
	return g.bills.Flush(kill)
}

// busy returns how many runs have a slot, and how many entries may still send
// one.
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
