// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package mirror

import (
	"context"
	"encoding/json"
	"sync"
	"time"
)

// Object is one stored object.
type Object struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	// Spec is what its writer wants, Status what came of it.
	Spec   json.RawMessage `json:"spec,omitempty"`
	Status json.RawMessage `json:"status,omitempty"`
}

// Change is a change of an object.
type Change struct {
	Object
	// Removed says that the object was removed; only name and revision count.
	Removed bool
	// LapsesAt is when a removed object counts as gone: later than now where
	// it may have been removed for want of contact with the store.
	LapsesAt time.Time
}

// Mirror is a copy of some kinds. Use New.
type Mirror struct {
	// OnChange is called for each change, in order of its kind; it must be
	// short and not call the mirror. It is set before the first change.
	OnChange func(kind string, c Change)
	mu       sync.Mutex
	kinds    map[string]*kindCopy
	// changed is closed and made anew at each change.
	changed chan struct{}
}

// kindCopy is the copy of one kind.
type kindCopy struct {
	// revision is up to which the copy goes; -1 before the first list. It
	// never goes back.
	revision int64
	// confirmedAt is when the copy was the newest, for sure.
	confirmedAt time.Time
	objects     map[string]Object
	// tombstones holds the removed objects since floor; a copy that is older than
	// floor needs the whole list.
	tombstones map[string]Change
	deltaFloor int64
}

// maxTombstones bounds how many removed objects of a kind are remembered.
const maxTombstones = 1024

// New returns an empty mirror of the named kinds.
func New(kinds ...string) *Mirror {
	m := &Mirror{OnChange: func(string, Change) {}, kinds: make(map[string]*kindCopy), changed: make(chan struct{})}
	for _, k := range kinds {
		m.kinds[k] = &kindCopy{revision: -1, objects: make(map[string]Object), tombstones: make(map[string]Change)}
	}
	return m
}

// Revision returns up to which the copy of a kind goes; -1 before the first list.
func (m *Mirror) Revision(kind string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kinds[kind].revision
}

// ConfirmedAt returns when the copy of a kind was the newest, for sure.
func (m *Mirror) ConfirmedAt(kind string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kinds[kind].confirmedAt
}

// Replace takes over all objects of a kind as they were at a revision, read after
// the time at. Those that are missing were removed; they count as gone at
// lapsesAt. A list that is older than the copy changes nothing.
func (m *Mirror) Replace(kind string, objects []Object, revision int64, at, lapsesAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[kind]
	if revision < c.revision {
		return
	}
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
		m.apply(kind, c, Change{Object: o})
	}
	for name := range c.objects {
		if !listed[name] {
			m.apply(kind, c, Change{Object: Object{Name: name, Revision: revision}, Removed: true, LapsesAt: lapsesAt})
		}
	}
	if c.revision < 0 {
		c.deltaFloor = revision
	}
	m.advance(c, revision, at)
}

// Apply takes over the changes of a kind up to a revision, asked for after the
// time at.
func (m *Mirror) Apply(kind string, changes []Change, revision int64, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[kind]
	for _, ch := range changes {
		m.apply(kind, c, ch)
	}
	m.advance(c, revision, at)
}

// apply takes over one change, unless the copy has a newer one; mu is held.
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
	if len(c.tombstones) >= maxTombstones {
		clear(c.tombstones)
		c.deltaFloor = ch.Revision
	}
	// Also of an object that was never known here: a late word of it must not
	// bring it in.
	c.tombstones[ch.Name] = ch
	if _, ok := c.objects[ch.Name]; ok {
		delete(c.objects, ch.Name)
		m.OnChange(kind, ch)
	}
}

// advance notes up to where the copy goes; mu is held.
func (m *Mirror) advance(c *kindCopy, revision int64, at time.Time) {
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

// minConfirmationGap is how much newer a proof is that is told at once to those who wait for one: it
// follows a time without word of the store.
const minConfirmationGap = time.Second

// Delta is what a copy of one kind lacks.
type Delta struct {
	Revision    int64
	ConfirmedAt time.Time
	// Full says that Changes holds every object, and others are gone.
	Full    bool
	Changes []Change
}

// Since returns what a copy that goes up to a revision lacks; ok is false if
// this mirror has no copy itself.
func (m *Mirror) Since(kind string, revision int64) (d Delta, ok bool) {
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

// AwaitChange returns when the copy of a kind goes further than have says, at the time
// until, or when ctx is done.
func (m *Mirror) AwaitChange(ctx context.Context, have map[string]int64, until time.Time) {
	m.await(ctx, until, func() bool { return m.changedSince(have) })
}

// AwaitChangeOrConfirmation is Await, but that it returns too when the copy of a kind was proven to be the newest
// after a time.
func (m *Mirror) AwaitChangeOrConfirmation(ctx context.Context, have map[string]int64, kind string, after, until time.Time) {
	m.await(ctx, until, func() bool { return m.changedSince(have) || m.kinds[kind].confirmedAt.After(after) })
}

// changedSince reports whether the copy of a kind goes further than have says; mu is held.
func (m *Mirror) changedSince(have map[string]int64) bool {
	for kind, revision := range have {
		if c := m.kinds[kind]; c != nil && c.changedSince(revision) {
			return true
		}
	}
	return false
}

// AwaitConfirmation returns when the copy of a kind was proven to be the newest after a time, at the
// time until, or when ctx is done.
func (m *Mirror) AwaitConfirmation(ctx context.Context, kind string, after, until time.Time) {
	m.await(ctx, until, func() bool { return m.kinds[kind].confirmedAt.After(after) })
}

// await returns when a condition holds, which is looked at with mu held after each change, at
// the time until, or when ctx is done.
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

// changedSince reports whether a copy up to a revision lacks a change, not only a
// newer revision of other kinds.
func (c *kindCopy) changedSince(revision int64) bool {
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
