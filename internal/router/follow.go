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
	// configWait is how long a watch of the configuration waits. Its answers
	// prove that the table is current: at this wait the proof is at most 1 s
	// old at a router that asks the store.
	configWait = config.Span(500 * time.Millisecond)
	// endpointWait, trialWait, verdictWait and closingWait are as long as a lost connection to the
	// store may go unnoticed: bounds hold again 3 s after a cut has healed, and the closing
	// of a zone, which has 5 s, comes 4 s after its connection fell silent at the latest.
	closingWait  = config.Span(2500 * time.Millisecond)
	endpointWait = config.Span(2500 * time.Millisecond)
	trialWait    = config.Span(2500 * time.Millisecond)
	verdictWait  = config.Span(2500 * time.Millisecond)
	// routerWait may be long, as nothing breaks for want of a peer.
	routerWait = config.Span(8 * time.Second)
	// changeRest gathers changes that come together, as when a fleet starts;
	// leaving endpoints have to be left within 2 s.
	changeRest = config.Span(150 * time.Millisecond)
)

// follow keeps the mirror in step with the store, directly or through peers.
// Endpoints come after roll-outs, closed availability zones and quarantined requests, so that
// none gets requests before it is known that it may.
func (r *Router) follow(ctx context.Context) {
	w := r.wire
	for _, f := range []struct {
		kind       string
		wait, rest config.Span
		after      []string
	}{
		{w.ConfigKind, configWait, 0, nil},
		{w.ClosingKind, closingWait, 0, nil},
		{w.VerdictKind, verdictWait, 0, nil},
		{w.TrialKind, trialWait, 0, []string{w.ClosingKind}},
		{w.EndpointKind, endpointWait, changeRest, []string{w.TrialKind, w.VerdictKind}},
		{w.RouterKind, routerWait, changeRest, nil},
	} {
		follower := &mirror.Follower{Log: r.Log, Source: w.Source, Mirror: r.mirror, Kind: f.kind, Wait: f.wait, Rest: f.rest, Turn: r.turn(f.kind, f.after...), Patient: r.asker.RetriesSlowly}
		r.tasks.Go(ctx, "store "+f.kind, follower.Run)
	}
	r.tasks.Go(ctx, "peers", r.asker.Run)
	r.tasks.Go(ctx, "register", r.register)
	r.tasks.Go(ctx, "verdicts", r.storeVerdicts)
}

// turn returns a function that waits until the store should be asked for a kind:
// not before other kinds are known.
func (r *Router) turn(kind string, after ...string) func(ctx context.Context) bool {
	unknown := func(kind string) bool { return r.mirror.Revision(kind) < 0 }
	return func(ctx context.Context) bool {
		for slices.ContainsFunc(after, unknown) && ctx.Err() == nil {
			tasks.Pause(ctx, registerPoll.After(time.Now()))
		}
		return r.asker.WaitToReadStore(ctx, kind)
	}
}

// take hands a change to whom it concerns.
func (r *Router) take(kind string, c mirror.Change) {
	var err error
	switch kind {
	case r.wire.ConfigKind:
		err = r.takeTable(c)
	case r.wire.TrialKind:
		err = r.takeTrial(c)
	case r.wire.EndpointKind:
		err = r.takeEndpoint(c)
	case r.wire.ClosingKind:
		r.takeClosing(c)
	case r.wire.VerdictKind:
		err = r.takeVerdict(c)
	case r.wire.RouterKind:
		err = r.takeRouter(c)
	}
	if err != nil {
		// What is known of the object stays.
		r.Log.Error("router: A stored object could not be decoded.", zap.String("kind", kind), zap.String("name", c.Name),
			zap.Int64("revision", c.Revision), logs.Err(err))
	}
}

func (r *Router) takeTable(c mirror.Change) error {
	if c.Gone {
		return nil
	}
	t, err := r.wire.Table(c.Object)
	if err != nil || t == nil {
		return err
	}
	r.Engine.TakeTable(t)
	r.onceConfig.Do(func() { close(r.configured) })
	return nil
}

func (r *Router) takeTrial(c mirror.Change) error {
	if c.Gone {
		r.Engine.DropTrial(c.Name, c.Revision)
		return nil
	}
	t, err := r.wire.Trial(c.Object, time.Now())
	if err == nil {
		r.Engine.TakeTrial(t)
	}
	return err
}

func (r *Router) takeClosing(c mirror.Change) {
	if c.Gone {
		r.Engine.OpenZone(c.Name, c.Revision)
	} else {
		r.Engine.CloseZone(c.Name, c.Revision)
	}
}

func (r *Router) takeEndpoint(c mirror.Change) error {
	if c.Gone {
		r.Engine.DropEndpoint(c.Name, c.Revision, c.LapsesAt)
		return nil
	}
	p, err := r.wire.Endpoint(c.Object, time.Now())
	if err == nil {
		r.Engine.TakeEndpoint(p)
	}
	return err
}

func (r *Router) takeRouter(c mirror.Change) error {
	if c.Gone {
		r.fleet.Remove(c.Name)
		return nil
	}
	p, err := r.wire.Peer(c.Object)
	if err != nil {
		return err
	}
	if c.Name == r.settings.VM && !r.standing(p) {
		// An earlier life of this router left it behind.
		r.fleet.Remove(c.Name)
		return nil
	}
	r.fleet.Put(p)
	return nil
}

const (
	// registerPoll is how often a follower looks whether what it waits for is known.
	registerPoll = config.Span(20 * time.Millisecond)
	// registeredEvery is how often a router looks whether it is still registered, and
	// registerFirst and registerMost bound the pauses between tries that fail, which
	// double.
	registeredEvery = config.Span(2 * time.Second)
	registerFirst   = config.Span(100 * time.Millisecond)
	registerMost    = config.Span(800 * time.Millisecond)
)

// register keeps this router registered until ctx is done, makes it known to some peers, and
// removes peers that have been silent for long.
func (r *Router) register(ctx context.Context) error {
	pause := registerFirst
	for ctx.Err() == nil {
		if r.stopping.Load() || r.fleet.Registered() {
			r.removeGone(ctx)
			tasks.Pause(ctx, registeredEvery.After(time.Now()))
			continue
		}
		if err := r.introduce(ctx); err != nil {
			r.Log.Warn("router: The registration failed.", logs.Err(err))
			tasks.Pause(ctx, pause.After(time.Now()))
			pause = min(2*pause, registerMost)
		}
	}
	return nil
}

// firstTogether is how long a router of a fleet that starts for the first time waits for the
// others to register: VMs start within 0.3 s of each other, and callers come seconds later.
const firstTogether = config.Span(500 * time.Millisecond)

// introduce registers this router and takes over the peers around it.
func (r *Router) introduce(ctx context.Context) error {
	p, err := r.wire.Register(ctx, r.registration())
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.self = p
	r.mu.Unlock()
	r.secret.Set(p.Token)
	if r.settings.FirstStart {
		tasks.Pause(ctx, firstTogether.After(time.Now()))
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
	r.asker.SetPeersKnown()
	r.notes.QueryState(p.Token)
	r.Log.Info("router: Registered.", zap.Bool("continued", p.Revision > 0), zap.Int("neighbours", len(list)))
	return nil
}

// registration returns this router's registration.
func (r *Router) registration() peers.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// standing reports whether a registration of this VM is this router's.
func (r *Router) standing(p peers.Peer) bool { return p.Token == r.registration().Token }

// removeGone removes peers that have been silent for long; the first routers do that for all.
func (r *Router) removeGone(ctx context.Context) {
	if !r.fleet.ReadsStore(time.Now()) {
		return
	}
	for _, p := range r.fleet.Unresponsive(time.Now()) {
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
