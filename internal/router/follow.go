// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/follow"
	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/pool"
)

const (
	// configWait is how long a watch of the configuration waits. Its answers
	// prove that the table is current: at this wait the proof is at most 2 s
	// old, and keys may be served for 5 s after they were taken away.
	configWait = config.Span(time.Second)
	// endpointWait and trialWait are as long as a lost connection to the store
	// may go unnoticed: bounds hold again 3 s after a cut has healed.
	endpointWait = config.Span(2 * time.Second)
	trialWait    = config.Span(2 * time.Second)
)

// follow keeps the core in step with the store. Endpoints come after roll-outs,
// so that no endpoint of a new version gets requests before its roll-out is known.
func (r *Router) follow(ctx context.Context) {
	f := func(kind string, wait config.Span) *follow.Follower {
		return &follow.Follower{Log: r.Log, Source: r.wire.Source, Kind: kind, Wait: wait}
	}
	table := f(r.wire.ConfigKind, configWait)
	table.OnList = func(objects []follow.Object, _ int64, _ time.Time) {
		for _, o := range objects {
			r.takeTable(o)
		}
	}
	table.OnChange = func(c follow.Change, _ time.Time) {
		if !c.Gone {
			r.takeTable(c.Object)
		}
	}
	table.OnProven = r.Engine.Prove
	r.tasks.Go(ctx, "configuration", table.Run)

	trials := f(r.wire.TrialKind, trialWait)
	trials.OnList = func(objects []follow.Object, _ int64, _ time.Time) {
		for _, o := range objects {
			r.takeTrial(o)
		}
		r.onceRoll.Do(func() { close(r.trialled) })
	}
	trials.OnChange = func(c follow.Change, _ time.Time) {
		if c.Gone {
			r.Engine.DropTrial(c.Name, c.Revision)
			return
		}
		r.takeTrial(c.Object)
	}
	r.tasks.Go(ctx, "rollouts", trials.Run)

	endpoints := f(r.wire.EndpointKind, endpointWait)
	endpoints.OnList = r.takeEndpoints
	endpoints.OnChange = r.takeEndpoint
	r.tasks.Go(ctx, "endpoints", func(ctx context.Context) error {
		select {
		case <-r.trialled:
		case <-ctx.Done():
		}
		return endpoints.Run(ctx)
	})
}

func (r *Router) takeTable(o follow.Object) {
	t, err := r.wire.Table(o)
	if err != nil {
		r.undecoded(o, err)
		return
	}
	if t == nil {
		return
	}
	r.Engine.TakeTable(t)
	r.onceConfig.Do(func() { close(r.configured) })
}

func (r *Router) takeTrial(o follow.Object) {
	t, err := r.wire.Trial(o, time.Now())
	if err != nil {
		r.undecoded(o, err)
		return
	}
	r.Engine.TakeTrial(t)
}

func (r *Router) takeEndpoints(objects []follow.Object, revision int64, lapsesAt time.Time) {
	list := make([]pool.Entry, 0, len(objects))
	for _, o := range objects {
		p, err := r.wire.Endpoint(o)
		if err != nil {
			r.undecoded(o, err)
			continue
		}
		list = append(list, p)
	}
	r.Engine.TakeEndpoints(list, revision, lapsesAt)
}

func (r *Router) takeEndpoint(c follow.Change, lapsesAt time.Time) {
	if c.Gone {
		r.Engine.DropEndpoint(c.Name, c.Revision, lapsesAt)
		return
	}
	p, err := r.wire.Endpoint(c.Object)
	if err != nil {
		r.undecoded(c.Object, err)
		return
	}
	r.Engine.TakeEndpoint(p)
}

// undecoded tells of a stored object that makes no sense; what is known stays.
func (r *Router) undecoded(o follow.Object, err error) {
	r.Log.Error("router: A stored object could not be decoded.", zap.String("name", o.Name), zap.Int64("revision", o.Revision), logs.Err(err))
}
