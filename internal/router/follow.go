// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/mirror"
	"github.com/traildrift/traildrift/internal/peers"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/config"
)

const (
	// configWatchTimeout is how long a watch of the configuration waits. Its answers
	// prove that the table is current: at this wait the proof is at most 1 s
	// old at a router that asks the store.
	configWatchTimeout = config.Span(500 * time.Millisecond)
	// endpointWait, trialWait, verdictWait and closingWatchTimeout are as long as a lost connection to the
	// store may go unnoticed: bounds hold again 3 s after a cut has healed, and the closing
	// of a zone, which has 5 s, comes 4 s after its connection fell silent at the latest.
	closingWatchTimeout  = config.Span(2500 * time.Millisecond)
	endpointWatchTimeout = config.Span(2500 * time.Millisecond)
	trialWatchTimeout    = config.Span(2500 * time.Millisecond)
	verdictWatchTimeout  = config.Span(2500 * time.Millisecond)
	// routerWatchTimeout may be long, as nothing breaks for want of a peer.
	routerWatchTimeout = config.Span(8 * time.Second)
	// changeBatchDelay gathers changes that come together, as when a fleet starts;
	// leaving endpoints have to be left within 2 s.
	changeBatchDelay = config.Span(150 * time.Millisecond)
)

// follow keeps the mirror in step with the store, directly or through peers.
// Endpoints come after roll-outs, closed availability zones and quarantined requests, so that
// none gets requests before it is known that it may.
func (r *Router) follow(ctx context.Context) {
	w := r.wire
	for _, f := range []struct {
		kind                     string
		watchTimeout, batchDelay config.Span
		after                    []string
	}{
		{w.ConfigKind, configWatchTimeout, 0, nil},
		{w.ClosingKind, closingWatchTimeout, 0, nil},
		{w.VerdictKind, verdictWatchTimeout, 0, nil},
		{w.TrialKind, trialWatchTimeout, 0, []string{w.ClosingKind}},
		{w.EndpointKind, endpointWatchTimeout, changeBatchDelay, []string{w.TrialKind, w.VerdictKind}},
		{w.RouterKind, routerWatchTimeout, changeBatchDelay, nil},
	} {
		follower := &mirror.Follower{Log: r.Log, Source: w.Source, Mirror: r.mirror, Kind: f.kind, WatchTimeout: f.watchTimeout, BatchDelay: f.batchDelay, AwaitTurn: r.awaitTurn(f.kind, f.after...), RetrySlowly: r.asker.Patient}
		r.tasks.Go(ctx, "store "+f.kind, follower.Run)
	}
	r.tasks.Go(ctx, "peers", r.asker.Run)
	r.tasks.Go(ctx, "register", r.register)
	r.tasks.Go(ctx, "verdicts", r.storeVerdicts)
}

// awaitTurn returns a function that waits until the store should be asked for a kind:
// not before other kinds are known.
func (r *Router) awaitTurn(kind string, after ...string) func(ctx context.Context) bool {
	unknown := func(kind string) bool { return r.mirror.Revision(kind) < 0 }
	return func(ctx context.Context) bool {
		for slices.ContainsFunc(after, unknown) && ctx.Err() == nil {
			tasks.Pause(ctx, dependencyPollInterval.After(time.Now()))
		}
		return r.asker.Turn(ctx, kind)
	}
}

// applyChange hands a change to whom it concerns.
func (r *Router) applyChange(kind string, c mirror.Change) {
	var err error
	switch kind {
	case r.wire.ConfigKind:
		err = r.applyTable(c)
	case r.wire.TrialKind:
		err = r.applyTrial(c)
	case r.wire.EndpointKind:
		err = r.applyEndpoint(c)
	case r.wire.ClosingKind:
		r.applyClosing(c)
	case r.wire.VerdictKind:
		err = r.applyVerdict(c)
	case r.wire.RouterKind:
		err = r.applyRouter(c)
	}
	if err != nil {
		// What is known of the object stays.
		r.Log.Error("router: A stored object could not be decoded.", zap.String("kind", kind), zap.String("name", c.Name),
			zap.Int64("revision", c.Revision), logs.Err(err))
	}
}

func (r *Router) applyTable(c mirror.Change) error {
	if c.Removed {
		return nil
	}
	t, err := r.wire.Table(c.Object)
	if err != nil || t == nil {
		return err
	}
	r.Engine.TakeTable(t)
	r.configOnce.Do(func() { close(r.configured) })
	return nil
}

func (r *Router) applyTrial(c mirror.Change) error {
	if c.Removed {
		r.Engine.DropTrial(c.Name, c.Revision)
		return nil
	}
	t, err := r.wire.Trial(c.Object, time.Now())
	if err == nil {
		r.Engine.TakeTrial(t)
	}
	return err
}

func (r *Router) applyClosing(c mirror.Change) {
	if c.Removed {
		r.Engine.OpenZone(c.Name, c.Revision)
	} else {
		r.Engine.CloseZone(c.Name, c.Revision)
	}
}

func (r *Router) applyEndpoint(c mirror.Change) error {
	if c.Removed {
		r.Engine.DropEndpoint(c.Name, c.Revision, c.LapsesAt)
		return nil
	}
	p, err := r.wire.Endpoint(c.Object, time.Now())
	if err == nil {
		r.Engine.TakeEndpoint(p)
	}
	return err
}

func (r *Router) applyRouter(c mirror.Change) error {
	if c.Removed {
		r.fleet.Remove(c.Name)
		return nil
	}
	p, err := r.wire.Peer(c.Object)
	if err != nil {
		return err
	}
	if c.Name == r.settings.VM && !r.isOwnRegistration(p) {
		// An earlier life of this router left it behind.
		r.fleet.Remove(c.Name)
		return nil
	}
	r.fleet.Put(p)
	return nil
}

const (
	// dependencyPollInterval is how often a follower looks whether what it waits for is known.
	dependencyPollInterval = config.Span(20 * time.Millisecond)
	// registrationCheckInterval is how often a router looks whether it is still registered, and
	// registerFirst and registerMost bound the pauses between tries that fail, which
	// double.
	registrationCheckInterval = config.Span(2 * time.Second)
	minRegisterBackoff        = config.Span(100 * time.Millisecond)
	maxRegisterBackoff        = config.Span(800 * time.Millisecond)
)

// register keeps this router registered until ctx is done, makes it known to some peers, and
// removes peers that have been silent for long.
func (r *Router) register(ctx context.Context) error {
	pause := minRegisterBackoff
	for ctx.Err() == nil {
		if r.stopping.Load() || r.fleet.Registered() {
			r.removeSilentPeers(ctx)
			tasks.Pause(ctx, registrationCheckInterval.After(time.Now()))
			continue
		}
		if err := r.joinFleet(ctx); err != nil {
			r.Log.Warn("router: The registration failed.", logs.Err(err))
			tasks.Pause(ctx, pause.After(time.Now()))
			pause = min(2*pause, maxRegisterBackoff)
		}
	}
	return nil
}

// firstStartDelay is how long a router of a fleet that starts for the first time waits for the
// others to register: VMs start within 0.3 s of each other, and callers come seconds later.
const firstStartDelay = config.Span(500 * time.Millisecond)

// joinFleet registers this router and takes over the peers around it.
func (r *Router) joinFleet(ctx context.Context) error {
	p, err := r.wire.Register(ctx, r.registration())
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.self = p
	r.mu.Unlock()
	r.secret.Set(p.Token)
	if r.settings.FirstStart {
		tasks.Pause(ctx, firstStartDelay.After(time.Now()))
	}
	list, err := r.wire.Neighbours(ctx, p.Name)
	if err != nil {
		return err
	}
	for _, q := range list {
		if q.Name != p.Name {
			r.fleet.Put(q)
		}
	}
	r.fleet.Put(p)
	r.asker.Introduce()
	r.notes.AskStarting(p.Token)
	r.Log.Info("router: Registered.", zap.Bool("continued", p.Revision > 0), zap.Int("neighbours", len(list)))
	return nil
}

// registration returns this router's registration.
func (r *Router) registration() peers.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// isOwnRegistration reports whether a registration of this VM is this router's.
func (r *Router) isOwnRegistration(p peers.Peer) bool { return p.Token == r.registration().Token }

// removeSilentPeers removes peers that have been silent for long; the first routers do that for all.
func (r *Router) removeSilentPeers(ctx context.Context) {
	if !r.fleet.Asker(time.Now()) {
		return
	}
	for _, p := range r.fleet.Gone(time.Now()) {
		err := r.wire.Unregister(ctx, p)
		r.Log.Info("router: A silent peer's registration was removed.", zap.String("peer", p.Name), zap.Int64("revision", p.Revision), logs.Err(err))
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			// A router that is cut off from all hears nobody: the others stay in its list, or
			// it would take the shares of all for its own.
			continue
		}
		r.fleet.Remove(p.Name)
	}
}
