// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"time"

	"github.com/traildrift/traildrift/pkg/epoch"
)

// zone is the state of an availability zone, which all its endpoints share. The zero value is open.
type zone struct {
	// closed is set while no requests are sent to the zone.
	closed bool
	// revision is that of the last order about the zone; it only grows.
	revision epoch.Revision
	// changesAt is when the state changes unless another order comes before; zero if it does not.
	changesAt time.Time
	// openedAt is when the zone was reopened; zero if it was never closed.
	openedAt time.Time
}

// zone returns the state of an availability zone.
func (b *Book) zone(name string) *zone {
	z, ok := b.zones[name]
	if !ok {
		z = new(zone)
		b.zones[name] = z
	}
	return z
}

// CloseZone applies an order to stop sending requests to an availability zone, which may have no
// endpoints. It reports whether the zone was closed by it: false for one that is closed already, and for
// an order that is older than the last one applied.
func (b *Book) CloseZone(name string, revision epoch.Revision) bool {
	return b.CloseZoneAt(name, revision, time.Time{}, time.Time{})
}

// CloseZoneAt is CloseZone for an order with which a store came back from an older copy: a zone that was
// reopened since is closed at the time at, if that is after now, unless another order comes before.
func (b *Book) CloseZoneAt(name string, revision epoch.Revision, now, at time.Time) bool {
	z := b.zone(name)
	if revision < z.revision {
		return false
	}
	z.revision, z.changesAt = revision, time.Time{}
	switch {
	case z.closed:
		return false
	case now.Before(at) && !z.openedAt.IsZero():
		z.changesAt = at
		return false
	}
	z.closed = true
	return true
}

// OpenZone applies an order to send requests to an availability zone again. Its endpoints count as warming
// up from now on, until a later entry of theirs reports otherwise. It reports whether the zone was reopened.
func (b *Book) OpenZone(name string, revision epoch.Revision, now time.Time) bool {
	return b.OpenZoneAt(name, revision, now, time.Time{})
}

// OpenZoneAt is OpenZone for a zone whose closing the store may have lost: the zone is reopened at the time
// at, if that is after now, unless another order comes before.
func (b *Book) OpenZoneAt(name string, revision epoch.Revision, now, at time.Time) bool {
	z := b.zone(name)
	if revision < z.revision {
		return false
	}
	z.changesAt = time.Time{}
	if !z.closed {
		return false
	}
	z.revision = revision
	if now.Before(at) {
		z.changesAt = at
		return false
	}
	z.open(now)
	return true
}

func (z *zone) open(now time.Time) { z.closed, z.openedAt = false, now }

// ExpireZones applies the orders that were due later than they came. It returns the names of the zones whose
// state has changed.
func (b *Book) ExpireZones(now time.Time) (changed []string) {
	for name, z := range b.zones {
		if z.changesAt.IsZero() || now.Before(z.changesAt) {
			continue
		}
		z.changesAt = time.Time{}
		if z.closed {
			z.open(now)
		} else {
			z.closed = true
		}
		changed = append(changed, name)
	}
	return changed
}

// IsClosed reports whether an availability zone is closed.
func (b *Book) IsClosed(name string) bool {
	z, ok := b.zones[name]
	return ok && z.closed
}

// ClosedZones returns the number of closed availability zones.
func (b *Book) ClosedZones() (n int) {
	for _, z := range b.zones {
		if z.closed {
			n++
		}
	}
	return n
}

// InZone returns the number of endpoints in an availability zone.
func (b *Book) InZone(name string) (n int) {
	for _, p := range b.byID {
		if p.Zone == name {
			n++
		}
	}
	return n
}
