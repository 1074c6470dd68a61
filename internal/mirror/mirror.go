// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package mirror

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/traildrift/traildrift/pkg/epoch"
)

// Object is a stored object.
type Object struct {
	Name string `json:"name"`
	// Revision is the store's revision at the last change of the object.
	Revision epoch.Revision `json:"revision"`
	// Spec is the desired state as its writer set it, and Status the observed state.
	Spec   json.RawMessage `json:"spec,omitempty"`
	Status json.RawMessage `json:"status,omitempty"`
}

// Change is the creation, update or removal of an object.
type Change struct {
	Object
	// Removed is set if the object was removed. Only its Name and Revision are then valid.
	Removed bool
	// LapsesAt is when the removal takes effect; the zero time for at once. It lies ahead if the
	// object may have been removed only because its owner could not reach the store. A removal is
	// reported again, with an earlier time, if it turns out that the store was not away.
	LapsesAt time.Time
	// Restored is set if the change was found by the first list of a new epoch. The store may have lost
	// a later state of the object, which its writer will write again.
	Restored bool
}

// Mirror holds copies of several kinds of objects. It must be created with New and is safe for
// concurrent use.
type Mirror struct {
	// OnChange is called for each change of a copy, in the order in which the changes of a kind are
	// applied. The mirror is locked meanwhile: the function must be short and must not call the
	// mirror. It must be set before the first change.
	OnChange func(kind string, c Change)
	// OnEpoch is called when a later epoch of the store is observed, under the same conditions.
	OnEpoch func(e int64)
	mu      sync.Mutex
	kinds   map[string]*kindCopy
	// changed is closed and replaced whenever a revision increases, or a copy is confirmed again
	// after minConfirmationGap.
	changed chan struct{}
	// epoch is the newest epoch of the store that was observed. It never decreases. epochBegun is
	// closed and replaced whenever it increases.
	epoch      int64
	epochBegun chan struct{}
	// store tells outages of the store from losses of this router alone.
	store availability
	// suspected is closed and replaced by SuspectConnections, and answered by RecordAnswer.
	suspected, answered chan struct{}
}

// kindCopy is the copy of one kind.
type kindCopy struct {
	// revision is the revision up to which the copy includes all changes; epoch.None before the
	// first list. It never decreases. All objects and tombstones are of its epoch.
	revision epoch.Revision
	// confirmedAt is a time at which the copy is known to have been current. It never decreases.
	confirmedAt time.Time
	objects     map[string]Object
	// tombstones holds the removals from the revision deltaFloor on, by object name. A copy with a
	// lower revision than deltaFloor needs the full list.
	tombstones map[string]Change
	deltaFloor epoch.Revision
}

// maxTombstones is the maximum number of tombstones of a kind. Once it is reached, the next removal
// drops all of them and raises deltaFloor.
const maxTombstones = 1024

// New returns a mirror with empty copies of the named kinds.
func New(kinds ...string) *Mirror {
	m := &Mirror{OnChange: func(string, Change) {}, OnEpoch: func(int64) {}, kinds: make(map[string]*kindCopy), changed: make(chan struct{}), epochBegun: make(chan struct{}), suspected: make(chan struct{}), answered: make(chan struct{})}
	for _, k := range kinds {
		m.kinds[k] = &kindCopy{revision: epoch.None, objects: make(map[string]Object), tombstones: make(map[string]Change)}
	}
	return m
}

// Revision returns the revision up to which the copy of a kind includes all changes; epoch.None before
// the first list.
func (m *Mirror) Revision(kind string) epoch.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kinds[kind].revision
}

// ConfirmedAt returns the last time at which the copy of a kind is known to have been current; the
// zero time before the first list.
func (m *Mirror) ConfirmedAt(kind string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kinds[kind].confirmedAt
}

// HasKind reports whether the mirror has a copy of a kind, which may not have been listed yet.
func (m *Mirror) HasKind(kind string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kinds[kind] != nil
}

// HasObject reports whether the copy of a kind has an object.
func (m *Mirror) HasObject(kind, name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.kinds[kind].objects[name]
	return ok
}

// Epoch returns the newest epoch of the store that was observed.
func (m *Mirror) Epoch() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch
}

// ObserveEpoch records that the store, or a copy of it, was in an epoch.
func (m *Mirror) ObserveEpoch(e int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeEpoch(e)
}

// observeEpoch is ObserveEpoch. The caller holds mu.
func (m *Mirror) observeEpoch(e int64) {
	if e > m.epoch {
		m.epoch = e
		close(m.epochBegun)
		m.epochBegun = make(chan struct{})
		m.OnEpoch(e)
	}
}

// IsCurrent reports whether those copies of some kinds that have been listed are of the newest epoch that was
// observed.
func (m *Mirror) IsCurrent(kinds ...string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, kind := range kinds {
		if c := m.kinds[kind]; c.revision >= 0 && c.revision.Epoch() < m.epoch {
			return false
		}
	}
	return true
}

// epochAfter returns a channel that is closed once an epoch after e was observed.
func (m *Mirror) epochAfter(e int64) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.epoch > e {
		begun := make(chan struct{})
		close(begun)
		return begun
	}
	return m.epochBegun
}

// SuspectConnections makes all followers ask the store on new connections, as an open connection has gone silent.
func (m *Mirror) SuspectConnections() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.suspected)
	m.suspected = make(chan struct{})
}

// connectionsSuspected returns a channel that is closed by the next SuspectConnections.
func (m *Mirror) connectionsSuspected() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspected
}

// Replace replaces the copy of a kind by the full list of its objects as of a revision, which was
// requested at the time at. Objects that are not in the list are removed with the given lapsesAt, or
// after lapseGrace if the list is the first one of an epoch: their owners may write them again. A list
// with a lower revision than the copy is ignored; Replace reports whether the list was applied.
func (m *Mirror) Replace(kind string, objects []Object, revision epoch.Revision, at, lapsesAt time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[kind]
	if revision < c.revision {
		return false
	}
	m.observeEpoch(revision.Epoch())
	restored := c.revision >= 0 && revision.Epoch() > c.revision.Epoch()
	if restored {
		if grace := lapseGrace.After(at); grace.After(lapsesAt) {
			lapsesAt = grace
		}
		clear(c.tombstones)
	}
	if restored || c.revision < 0 {
		c.deltaFloor = revision
	}
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
		m.apply(kind, c, Change{Object: o, Restored: restored})
	}
	for name := range c.objects {
		if !listed[name] {
			m.apply(kind, c, Change{Object: Object{Name: name, Revision: revision}, Removed: true, LapsesAt: lapsesAt, Restored: restored})
		}
	}
	m.advance(c, revision, at)
	return true
}

// Apply applies the changes of a kind up to a revision, which were requested at the time at. Changes
// that are older than the copy, or of another epoch, are ignored.
func (m *Mirror) Apply(kind string, changes []Change, revision epoch.Revision, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeEpoch(revision.Epoch())
	c := m.kinds[kind]
	if revision.Epoch() != c.revision.Epoch() {
		return
	}
	for _, ch := range changes {
		m.apply(kind, c, ch)
	}
	m.advance(c, revision, at)
}

// apply applies a change unless the copy has that change or a later one of the object. The caller
// holds mu.
func (m *Mirror) apply(kind string, c *kindCopy, ch Change) {
	if o, ok := c.objects[ch.Name]; ok && ch.Revision <= o.Revision {
		return
	}
	if g, ok := c.tombstones[ch.Name]; ok && ch.Revision <= g.Revision {
		return
	}
	if !ch.Removed {
		delete(c.tombstones, ch.Name)
		c.objects[ch.Name] = ch.Object
		m.OnChange(kind, ch)
		return
	}
	if !ch.Restored {
		ch.LapsesAt = m.store.revise(ch.LapsesAt, time.Now())
	}
	if len(c.tombstones) >= maxTombstones {
		clear(c.tombstones)
		c.deltaFloor = ch.Revision
	}
	// The tombstone is also kept for an object that the copy does not have: an older change of the
	// object that arrives later must not add it.
	c.tombstones[ch.Name] = ch
	if _, ok := c.objects[ch.Name]; ok {
		delete(c.objects, ch.Name)
		m.OnChange(kind, ch)
	}
}

// advance raises the revision of a copy and the time of its confirmation, if the given ones are
// higher. The caller holds mu.
func (m *Mirror) advance(c *kindCopy, revision epoch.Revision, at time.Time) {
	afterGap := false
	if at.After(c.confirmedAt) && revision >= c.revision {
		afterGap = at.Sub(c.confirmedAt) > minConfirmationGap
		c.confirmedAt = at
	}
	if revision > c.revision || afterGap {
		c.revision = revision
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// minConfirmationGap is the time between two confirmations of a copy above which the second wakes the
// goroutines that wait for a confirmation. Such a gap means that the store did not answer for a while.
const minConfirmationGap = time.Second

// Delta is the difference between an older copy of a kind and a newer one.
type Delta struct {
	// Revision and ConfirmedAt are those of the newer copy.
	Revision    epoch.Revision
	ConfirmedAt time.Time
	// Full is set if Changes holds all objects of the newer copy. Objects that are not among them
	// were removed, and no removals are listed.
	Full    bool
	Changes []Change
}

// Since returns the difference between a copy of a kind at a revision and the copy of this mirror. It
// holds all objects if that copy is of an earlier epoch, and none if it is of a later one. ok is false if
// the mirror has not listed the kind yet.
func (m *Mirror) Since(kind string, revision epoch.Revision) (d Delta, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[kind]
	if c == nil || c.revision < 0 {
		return Delta{}, false
	}
	d = Delta{Revision: c.revision, ConfirmedAt: c.confirmedAt, Full: revision < c.deltaFloor}
	for _, o := range c.objects {
		if d.Full || o.Revision > revision {
			d.Changes = append(d.Changes, Change{Object: o})
		}
	}
	for _, g := range c.tombstones {
		if !d.Full && g.Revision > revision {
			d.Changes = append(d.Changes, g)
		}
	}
	return d, true
}

// AwaitChange blocks until a copy has changes after the revision that have holds for its kind, but
// no later than the time until or until ctx is done.
func (m *Mirror) AwaitChange(ctx context.Context, have map[string]epoch.Revision, until time.Time) {
	m.await(ctx, until, func() bool { return m.changedSince(have) })
}

// AwaitChangeOrConfirmation is like AwaitChange, but also returns once the copy of the given kind
// was confirmed to be current later than after.
func (m *Mirror) AwaitChangeOrConfirmation(ctx context.Context, have map[string]epoch.Revision, kind string, after, until time.Time) {
	m.await(ctx, until, func() bool { return m.changedSince(have) || m.kinds[kind].confirmedAt.After(after) })
}

// changedSince reports whether a copy has changes after the revision that have holds for its kind.
// The caller holds mu.
func (m *Mirror) changedSince(have map[string]epoch.Revision) bool {
	for kind, revision := range have {
		if c := m.kinds[kind]; c != nil && c.changedSince(revision) {
			return true
		}
	}
	return false
}

// AwaitConfirmation blocks until the copy of a kind was confirmed to be current later than after,
// but no later than the time until or until ctx is done.
func (m *Mirror) AwaitConfirmation(ctx context.Context, kind string, after, until time.Time) {
	m.await(ctx, until, func() bool { return m.kinds[kind].confirmedAt.After(after) })
}

// await blocks until cond returns true, but no later than the time until or until ctx is done. It
// evaluates cond with mu held, at once and each time changed is closed.
func (m *Mirror) await(ctx context.Context, until time.Time, cond func() bool) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for {
		m.mu.Lock()
		changed, done := m.changed, cond()
		m.mu.Unlock()
		if done {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// changedSince reports whether the copy has changes after a revision. A higher revision alone is no
// change, as it may stem from other kinds.
func (c *kindCopy) changedSince(revision epoch.Revision) bool {
	if c.revision <= revision {
		return false
	}
	if revision < c.deltaFloor {
		return true
	}
	for _, o := range c.objects {
		if o.Revision > revision {
			return true
		}
	}
	for _, g := range c.tombstones {
		if g.Revision > revision {
			return true
		}
	}
	return false
}
