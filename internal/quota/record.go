// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package quota

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// Recorder counts the events of accounts and logs them, a line for each recordInterval at most. It must be created with
// Record.
type Recorder struct {
	doors []*Door
	// accounts are those of the doors.
	accounts []*Account
	log      *zap.Logger
	scope    tally.Scope
	mu       sync.Mutex
	// unlogged counts the events since the last line.
	unlogged map[Event]int64
}

// recordInterval is the time between two log lines, and between two values of the gauges.
const recordInterval = time.Second

// Record returns the recorder of doors and their accounts. None may accept connections yet.
func Record(log *zap.Logger, scope tally.Scope, doors ...*Door) *Recorder {
	r := &Recorder{doors: doors, log: log, scope: scope, unlogged: make(map[Event]int64)}
	for _, d := range doors {
		if !slices.Contains(r.accounts, d.a) {
			r.accounts = append(r.accounts, d.a)
			d.a.OnEvent = r.count
		}
	}
	return r
}

func (r *Recorder) count(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlogged[Event{Door: e.Door, What: e.What}]++
}

// Run writes metrics and log lines until ctx is done.
func (r *Recorder) Run(ctx context.Context) error {
	t := time.NewTicker(recordInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.flush()
		case <-ctx.Done():
			r.flush()
			return nil
		}
	}
}

func (r *Recorder) flush() {
	for _, a := range r.accounts {
		r.scope.Tagged(map[string]string{"account": a.name}).Gauge("callers_bytes").Update(float64(a.UsedBytes()))
	}
	for _, d := range r.doors {
		r.scope.Tagged(map[string]string{"door": d.name}).Gauge("callers_connections").Update(float64(d.Conns()))
	}
	r.mu.Lock()
	events := r.unlogged
	r.unlogged = make(map[Event]int64)
	r.mu.Unlock()
	if len(events) == 0 {
		return
	}
	var fields []zap.Field
	for _, a := range r.accounts {
		fields = append(fields, zap.Int64(a.name+"HeldBytes", a.UsedBytes()), zap.Int64(a.name+"MaxBytes", a.maxBytes))
	}
	for e, n := range events {
		r.scope.Tagged(map[string]string{"door": e.Door, "what": string(e.What)}).Counter("callers_limited").Inc(n)
		fields = append(fields, zap.Int64(e.Door+"."+string(e.What), n))
	}
	r.log.Warn("quota: Connections were refused or gave way, as callers hold all that they may.", fields...)
}
