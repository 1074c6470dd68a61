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
	"github.com/traildrift/traildrift/internal/relay"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/config"
)

const (
	// configWatchTimeout bounds a watch of the configuration. Each answer confirms that the table is
	// current. With this timeout the confirmation is at most 1 s old at a router that calls the store.
	configWatchTimeout = config.Span(500 * time.Millisecond)
	// closingWatchTimeout, endpointWatchTimeout, trialWatchTimeout and verdictWatchTimeout limit how
	// long the loss of a connection to the store may stay undetected. Bounds hold again 3 s after a
	// network partition has healed. The closing of an availability zone, which must take effect
	// within 5 s, is received at most 4 s after the connection stopped working.
	closingWatchTimeout  = config.Span(2500 * time.Millisecond)
	endpointWatchTimeout = config.Span(2500 * time.Millisecond)
	trialWatchTimeout    = config.Span(2500 * time.Millisecond)
	verdictWatchTimeout  = config.Span(2500 * time.Millisecond)
	// routerWatchTimeout may be long, as no bound depends on peers becoming known early.
	routerWatchTimeout = config.Span(8 * time.Second)
	// changeBatchDelay lets one call return many changes that come together, as at the start of a
	// fleet. It must stay short, as endpoints that leave must get no requests after 2 s.
	changeBatchDelay = config.Span(150 * time.Millisecond)
)

// follow starts the tasks that keep the mirror current, from the store and from peers, and those that
// write to the store. Endpoints are read after roll-outs, closed availability zones and quarantined
// requests, so that no endpoint gets a request before it is known that it may.
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
		follower := &mirror.Follower{Log: r.Log, Source: w.Source, Mirror: r.mirror, Kind: f.kind, WatchTimeout: f.watchTimeout, BatchDelay: f.batchDelay, AwaitTurn: r.awaitTurn(f.kind, f.after...), RetrySlowly: r.puller.RetriesSlowly, AskPeers: r.puller.AskPeers}
		r.tasks.Go(ctx, "store "+f.kind, follower.Run)
	}
	r.tasks.Go(ctx, "peers", r.puller.Run)
	r.tasks.Go(ctx, "register", r.register)
	r.tasks.Go(ctx, "verdicts", r.storeVerdicts)
}

// awaitTurn returns a function for Follower.AwaitTurn that waits until this router should call the
// store for a kind, and not before the kinds in after have been listed.
func (r *Router) awaitTurn(kind string, after ...string) func(ctx context.Context) bool {
	unknown := func(kind string) bool { return r.mirror.Revision(kind) < 0 }
	return func(ctx context.Context) bool {
		for slices.ContainsFunc(after, unknown) && ctx.Err() == nil {
			tasks.Pause(ctx, dependencyPollInterval.After(time.Now()))
		}
		return r.puller.WaitToReadStore(ctx, kind)
	}
}

// applyChange decodes a change of a stored object and passes it to the engine or the fleet. An object
// that cannot be decoded is logged and ignored.
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
		// The previous state of the object stays in force.
		r.reportUnreadable(Unreadable{Kind: kind, Name: c.Name, Err: err})
	} else {
		r.unreadable.Forget(kind, c.Name)
	}
}

// applyTable puts a configuration in force. The removal of the object changes nothing.
func (r *Router) applyTable(c mirror.Change) error {
	if c.Removed {
		return nil
	}
	t, err := r.wire.Table(c.Object)
	if err != nil || t == nil {
		return err
	}
	if c.Restored {
		r.Engine.SetRestoredTable(t)
	} else {
		r.Engine.SetTable(t)
	}
	r.configOnce.Do(func() { close(r.configured) })
	return t.Unreadable
}

// applyTrial passes a roll-out to the engine.
func (r *Router) applyTrial(c mirror.Change) error {
	if c.Removed {
		r.Engine.RemoveTrial(c.Name, c.Revision, c.Restored)
		return nil
	}
	t, err := r.wire.Trial(c.Object, time.Now())
	switch {
	case err != nil:
	case c.Restored:
		r.Engine.PutRestoredTrial(t)
	default:
		r.Engine.PutTrial(t)
	}
	return err
}

// applyClosing closes or reopens the availability zone that the object is named after.
func (r *Router) applyClosing(c mirror.Change) {
	if c.Removed {
		r.Engine.OpenZone(c.Name, c.Revision, c.Restored)
	} else {
		r.Engine.CloseZone(c.Name, c.Revision, c.Restored)
	}
}

// applyEndpoint passes an endpoint to the engine. A removed one is kept until LapsesAt.
func (r *Router) applyEndpoint(c mirror.Change) error {
	if c.Removed {
		r.Engine.RemoveEndpoint(c.Name, c.Revision, c.LapsesAt)
		return nil
	}
	p, err := r.wire.Endpoint(c.Object, time.Now())
	if err == nil {
		p.Restored = c.Restored
		r.Engine.PutEndpoint(p)
	}
	return err
}

// applyRouter passes the registration of a router to the fleet. A router whose registration the store has lost
// remains in the fleet for relay.RestoreGrace, as it registers again; but this router registers at once.
func (r *Router) applyRouter(c mirror.Change) error {
	if c.Removed {
		if c.Restored && c.Name != r.settings.VM {
			r.setLost(c.Name, relay.RestoreGrace.After(time.Now()))
			return nil
		}
		r.setLost(c.Name, time.Time{})
		r.fleet.Remove(c.Name)
		return nil
	}
	r.setLost(c.Name, time.Time{})
	p, err := r.wire.Peer(c.Object)
	if err != nil {
		return err
	}
	if c.Name == r.settings.VM && !r.isOwnRegistration(p) {
		// An earlier process of this VM left the registration behind.
		r.fleet.Remove(c.Name)
		return nil
	}
	r.fleet.Put(p)
	return nil
}

const (
	// dependencyPollInterval is the interval at which a follower checks whether the kinds that it
	// waits for have been listed.
	dependencyPollInterval = config.Span(20 * time.Millisecond)
	// registrationCheckInterval is the interval at which a router checks whether it is still
	// registered. minRegisterBackoff and maxRegisterBackoff bound the pause after a failed
	// registration, which doubles with each failure until the router is registered.
	registrationCheckInterval = config.Span(2 * time.Second)
	minRegisterBackoff        = config.Span(100 * time.Millisecond)
	maxRegisterBackoff        = config.Span(800 * time.Millisecond)
)

// register registers this router whenever it is not registered, until ctx is done, and removes the
// registrations of peers that have been silent for long.
func (r *Router) register(ctx context.Context) error {
	pause := minRegisterBackoff
	for ctx.Err() == nil {
		if r.stopping.Load() || r.fleet.Registered() {
			pause = minRegisterBackoff
			r.checkRegistration()
			r.removeLostPeers(time.Now())
			r.removeSilentPeers(ctx)
			tasks.Pause(ctx, registrationCheckInterval.After(time.Now()))
			continue
		}
		if err := r.joinFleet(ctx); err != nil {
			r.Log.Warn("router: The registration in the store failed; retrying.", logs.Err(err))
			tasks.Pause(ctx, pause.After(time.Now()))
			pause = min(2*pause, maxRegisterBackoff)
		}
	}
	return nil
}

// firstStartDelay is how long a router of a fleet that starts for the first time waits for the other
// routers to register. VMs start within 0.3 s of each other, and the first requests arrive seconds
// later.
const firstStartDelay = config.Span(500 * time.Millisecond)

// checkRegistration removes this router from the fleet, so that it registers again, if the store has come back from
// an older copy without its registration. The copy of the registrations may not have had it before, so that no
// change tells.
func (r *Router) checkRegistration() {
	e := r.mirror.Revision(r.wire.RouterKind).Epoch()
	if e > r.registeredIn && !r.mirror.HasObject(r.wire.RouterKind, r.settings.VM) {
		r.fleet.Remove(r.settings.VM)
	}
	r.registeredIn = max(r.registeredIn, e)
}

// joinFleet registers this router, adds its neighbours to the fleet, records for the puller that
// peers are known, and queries peers for the verdicts and notices that a starting router needs.
func (r *Router) joinFleet(ctx context.Context) error {
	p, err := r.wire.Register(ctx, r.registration())
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.self = p
	r.mu.Unlock()
	r.registeredIn = r.mirror.Epoch()
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
	r.puller.SetPeersKnown()
	r.transport.QueryState(p.Token)
	r.Log.Info("router: Registered.", zap.Bool("continued", p.Revision > 0), zap.Int("neighbours", len(list)))
	return nil
}

// registration returns the registration of this router.
func (r *Router) registration() peers.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// isOwnRegistration reports whether a registration of this VM is that of this process.
func (r *Router) isOwnRegistration(p peers.Peer) bool { return p.Token == r.registration().Token }

// setLost records until when a router whose registration the store has lost remains in the fleet; the zero time
// for one whose registration is known.
func (r *Router) setLost(name string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.IsZero() {
		delete(r.lostPeers, name)
	} else {
		r.lostPeers[name] = until
	}
}

// removeLostPeers removes from the fleet the routers whose registration the store has lost and that have not
// registered again.
func (r *Router) removeLostPeers(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, at := range r.lostPeers {
		if now.After(at) {
			r.fleet.Remove(name)
			delete(r.lostPeers, name)
		}
	}
}

// removeSilentPeers removes the registrations of peers that have been silent for long. Only the routers
// that call the store for the fleet do so. They ask a peer before, as they may not have pulled from it since
// one answer was lost.
func (r *Router) removeSilentPeers(ctx context.Context) {
	if !r.fleet.ReadsStore(time.Now()) {
		return
	}
	for _, p := range r.fleet.Unresponsive(time.Now()) {
		if r.puller.Answers(ctx, p) {
			continue
		}
		err := r.wire.Unregister(ctx, p)
		r.Log.Info("router: A silent peer's registration was removed.", zap.String("peer", p.Name), zap.Stringer("revision", p.Revision), logs.Err(err))
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			// A router that is cut off from all others receives nothing from them. It must keep them
			// in its list, or it would use their shares of the bounds as its own.
			continue
		}
		r.fleet.Remove(p.Name)
	}
}
