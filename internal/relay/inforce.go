// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/config"
)

// RestoreGrace is how long the state that a store has lost when it came back from an older copy stays in force
// unless its writer writes it again.
const RestoreGrace = config.Span(5 * time.Second)

// SetTable puts a configuration in force unless it is not newer than the present one.
func (e *Engine) SetTable(t *Table) { e.setTable(t, false) }

// SetRestoredTable is SetTable for a configuration that the store came back with from an older copy. An older
// one than the present is in force after RestoreGrace, unless the operator writes the present one or a newer one
// again: the store has lost the present one.
func (e *Engine) SetRestoredTable(t *Table) { e.setTable(t, true) }

func (e *Engine) setTable(t *Table, restored bool) {
	e.mu.Lock()
	old := e.table.Load()
	switch {
	case old == nil || t.Version > old.Version:
		e.olderTable = nil
		e.table.Store(t)
		e.mu.Unlock()
		e.recordTable(t)
		return
	case t.Version == old.Version:
		e.olderTable = nil
	case e.olderTable != nil:
		e.olderTable = t
	case restored:
		e.olderTable, e.olderTableAt = t, RestoreGrace.After(e.Now())
		e.Log.Warn("relay: The store has lost the configuration in force.", zap.Int64("version", old.Version), zap.Int64("stored", t.Version))
	}
	e.mu.Unlock()
}

// expireLostTable puts the stored configuration in force if the store has lost the one in force and nobody has
// written it again.
func (e *Engine) expireLostTable() {
	e.mu.Lock()
	t := e.olderTable
	if t == nil || e.Now().Before(e.olderTableAt) {
		e.mu.Unlock()
		return
	}
	e.olderTable = nil
	e.table.Store(t)
	e.mu.Unlock()
	e.recordTable(t)
}

// recordTable applies what depends on the table in force, which was replaced by t.
func (e *Engine) recordTable(t *Table) {
	e.setWarmups()
	e.Log.Info("relay: A configuration is in force.", zap.Int64("version", t.Version), zap.Int("workspaces", len(t.Workspaces)))
}
